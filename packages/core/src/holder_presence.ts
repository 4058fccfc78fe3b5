/** Tracks the holders of a shard, and drops the state of failed ones. */

import type { Blackboard, HolderRecord, Shard } from "./blackboard.ts";
import { isAlive } from "./coordinators.ts";
import { dropOverdueOrphans } from "./orphaned_work.ts";
import { dequeueAsk } from "./shard_queue.ts";
import type { ShardView } from "./shard_view.ts";

/** The holder that sent a message, with its beat where the message has one. */
export interface HolderSender {
  readonly holderId: string;
  readonly incarnation: number;
  readonly holderBeat?: number;
}

/**
 * Records a message from a holder. A new incarnation replaces the earlier ones:
 * their asks are dropped and their grants orphaned.
 *
 * @param shard The shard.
 * @param sender The holder that sent the message.
 * @param nowMs The local time in milliseconds.
 * @returns The holder's record; undefined where the message is from an
 * incarnation that has been replaced.
 */
export function recordHolder(
  shard: Shard,
  sender: HolderSender,
  nowMs: number,
): HolderRecord | undefined {
  const existing = shard.holders.get(sender.holderId);
  if (existing !== undefined && existing.incarnation > sender.incarnation) {
    return undefined;
  }
  if (existing === undefined || existing.incarnation < sender.incarnation) {
    const created = {
      incarnation: sender.incarnation,
      beat: sender.holderBeat ?? 0,
      beatAdvancedAtMs: nowMs,
      lastReportBeat: -1,
    };
    shard.holders.set(sender.holderId, created);
    dropEarlierIncarnations(shard, { ...sender, nowMs });
    return created;
  }
  if (sender.holderBeat !== undefined && sender.holderBeat > existing.beat) {
    existing.beat = sender.holderBeat;
    existing.beatAdvancedAtMs = nowMs;
  }
  return existing;
}

/**
 * Drops the asks of holders that have failed and orphans their grants, drops
 * asks that expired without renewal, and closes overdue orphaned grants.
 *
 * @param view The shard.
 */
export function dropStaleHolderState(view: ShardView): void {
  const { shard, nowMs, turn, settings } = view;
  for (const [holderId, record] of [...shard.holders]) {
    if (hasFailed(turn.board, { holderId, record, nowMs })) {
      shard.holders.delete(holderId);
      dropEarlierIncarnations(shard, {
        holderId,
        incarnation: record.incarnation + 1,
        nowMs,
      });
    }
  }
  for (const ask of [...shard.waiting.values()]) {
    if (nowMs - ask.renewedAtMs > settings.timing.askExpiryMs) {
      dequeueAsk(shard, ask.detail.requestId);
    }
  }
  dropOverdueOrphans(view);
}

/** Drops the asks of a holder's earlier incarnations, orphans their grants. */
function dropEarlierIncarnations(
  shard: Shard,
  holder: { holderId: string; incarnation: number; nowMs: number },
): void {
  const isEarlier = (owner: { holderId: string; holderIncarnation: number }) =>
    owner.holderId === holder.holderId &&
    owner.holderIncarnation < holder.incarnation;
  for (const ask of [...shard.waiting.values()]) {
    if (isEarlier(ask)) {
      dequeueAsk(shard, ask.detail.requestId);
    }
  }
  for (const grant of shard.grants.values()) {
    if (isEarlier(grant)) {
      grant.orphanedAtMs ??= holder.nowMs;
    }
  }
}

function hasFailed(
  board: Blackboard,
  holder: { holderId: string; record: HolderRecord; nowMs: number },
): boolean {
  const { holderId, record, nowMs } = holder;
  const member = board.members.byId.get(holderId);
  if (member !== undefined && member.incarnation > record.incarnation) {
    return true;
  }
  const timeoutMs = board.settings.inForce?.timing.memberTimeoutMs ?? Infinity;
  const isSilent = nowMs - record.beatAdvancedAtMs > timeoutMs;
  return isSilent && (member === undefined || !isAlive(board, member, nowMs));
}
