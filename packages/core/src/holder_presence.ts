/** Which holders a coordinator hears, and what goes when one is gone. */

import type { Blackboard, HolderSeen, Shard } from "./blackboard.ts";
import { isAlive } from "./coordinators.ts";
import { dropOverdueOrphans } from "./orphaned_work.ts";
import { removeWaiting } from "./shard_queue.ts";
import type { ShardView } from "./shard_view.ts";

/** Who sent a message, and its beat where it carried one. */
export interface HolderSender {
  readonly holderId: string;
  readonly incarnation: number;
  readonly holderBeat?: number;
}

/**
 * Notes that a holder was heard.
 *
 * @param shard The shard.
 * @param sender Who was heard.
 * @param nowMs The local time.
 * @returns What is known of it; undefined where the word is of an incarnation
 * that has been replaced.
 */
export function recordHolder(
  shard: Shard,
  sender: HolderSender,
  nowMs: number,
): HolderSeen | undefined {
  const existing = shard.holders.get(sender.holderId);
  if (existing !== undefined && existing.incarnation > sender.incarnation) {
    return undefined;
  }
  if (existing === undefined || existing.incarnation < sender.incarnation) {
    const created = {
      incarnation: sender.incarnation,
      beat: sender.holderBeat ?? 0,
      beatHeardAtMs: nowMs,
      reportBeat: -1,
    };
    shard.holders.set(sender.holderId, created);
    dropEarlierIncarnations(shard, { ...sender, nowMs });
    return created;
  }
  if (sender.holderBeat !== undefined && sender.holderBeat > existing.beat) {
    existing.beat = sender.holderBeat;
    existing.beatHeardAtMs = nowMs;
  }
  return existing;
}

/**
 * Drops the asks of holders that are gone, and asks not renewed for long.
 *
 * @param view The shard.
 */
export function dropStaleHolderState(view: ShardView): void {
  const { shard, nowMs, turn, settings } = view;
  for (const [holderId, holder] of [...shard.holders]) {
    if (isGone(turn.board, { holderId, seen: holder, nowMs })) {
      shard.holders.delete(holderId);
      dropEarlierIncarnations(shard, {
        holderId,
        incarnation: holder.incarnation + 1,
        nowMs,
      });
    }
  }
  for (const ask of [...shard.waiting.values()]) {
    if (nowMs - ask.renewedAtMs > settings.timing.askExpiryMs) {
      removeWaiting(shard, ask.detail.requestId);
    }
  }
  dropOverdueOrphans(view);
}

/** Forgets the asks of a holder's earlier incarnations, and orphans its work. */
function dropEarlierIncarnations(
  shard: Shard,
  holder: { holderId: string; incarnation: number; nowMs: number },
): void {
  const isEarlier = (owner: { holderId: string; holderIncarnation: number }) =>
    owner.holderId === holder.holderId &&
    owner.holderIncarnation < holder.incarnation;
  for (const ask of [...shard.waiting.values()]) {
    if (isEarlier(ask)) {
      removeWaiting(shard, ask.detail.requestId);
    }
  }
  for (const grant of shard.grants.values()) {
    if (isEarlier(grant)) {
      grant.orphanedAtMs ??= holder.nowMs;
    }
  }
}

function isGone(
  board: Blackboard,
  holder: { holderId: string; seen: HolderSeen; nowMs: number },
): boolean {
  const { holderId, seen, nowMs } = holder;
  const member = board.members.byId.get(holderId);
  if (member !== undefined && member.incarnation > seen.incarnation) {
    return true;
  }
  const timeoutMs = board.settings.inForce?.timing.memberTimeoutMs ?? Infinity;
  const isSilent = nowMs - seen.beatHeardAtMs > timeoutMs;
  return isSilent && (member === undefined || !isAlive(board, member, nowMs));
}
