/** Which holders a coordinator hears, and what goes when one is gone. */

import type { Blackboard, HolderRecord, Shard } from "./blackboard.ts";
import { isAlive } from "./coordinators.ts";
import { dropOverdueOrphans } from "./orphaned_work.ts";
import { dequeueAsk } from "./shard_queue.ts";
import type { ShardView } from "./shard_view.ts";

/** Who sent a message, and its beat where it carried one. */
export interface HolderWord {
  readonly holderId: string;
  readonly incarnation: number;
  readonly beat?: number;
}

/**
 * Notes that a holder was heard.
 *
 * @param shard The shard.
 * @param word Who was heard.
 * @param nowMs The local time.
 * @returns What is known of it; undefined where the word is of an incarnation
 * that has been replaced.
 */
export function hearHolder(
  shard: Shard,
  word: HolderWord,
  nowMs: number,
): HolderRecord | undefined {
  const known = shard.holders.get(word.holderId);
  if (known !== undefined && known.incarnation > word.incarnation) {
    return undefined;
  }
  if (known === undefined || known.incarnation < word.incarnation) {
    const seen = {
      incarnation: word.incarnation,
      beat: word.beat ?? 0,
      beatAdvancedAtMs: nowMs,
      lastReportBeat: -1,
    };
    shard.holders.set(word.holderId, seen);
    dropHolder(shard, { ...word, nowMs });
    return seen;
  }
  if (word.beat !== undefined && word.beat > known.beat) {
    known.beat = word.beat;
    known.beatAdvancedAtMs = nowMs;
  }
  return known;
}

/**
 * Drops the asks of holders that are gone, and asks not renewed for long.
 *
 * @param view The shard.
 */
export function dropGone(view: ShardView): void {
  const { shard, nowMs, turn, settings } = view;
  for (const [holderId, seen] of [...shard.holders]) {
    if (isGone(turn.board, { holderId, seen, nowMs })) {
      shard.holders.delete(holderId);
      dropHolder(shard, {
        holderId,
        incarnation: seen.incarnation + 1,
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

/** Forgets the asks of a holder's earlier incarnations, and orphans its work. */
function dropHolder(
  shard: Shard,
  holder: { holderId: string; incarnation: number; nowMs: number },
): void {
  const isOld = (owner: { holderId: string; holderIncarnation: number }) =>
    owner.holderId === holder.holderId &&
    owner.holderIncarnation < holder.incarnation;
  for (const ask of [...shard.waiting.values()]) {
    if (isOld(ask)) {
      dequeueAsk(shard, ask.detail.requestId);
    }
  }
  for (const grant of shard.grants.values()) {
    if (isOld(grant)) {
      grant.orphanedAtMs ??= holder.nowMs;
    }
  }
}

function isGone(
  board: Blackboard,
  holder: { holderId: string; seen: HolderRecord; nowMs: number },
): boolean {
  const { holderId, seen, nowMs } = holder;
  const member = board.members.byId.get(holderId);
  if (member !== undefined && member.incarnation > seen.incarnation) {
    return true;
  }
  const timeoutMs = board.settings.inForce?.timing.memberTimeoutMs ?? Infinity;
  const isSilent = nowMs - seen.beatAdvancedAtMs > timeoutMs;
  return isSilent && (member === undefined || !isAlive(board, member, nowMs));
}
