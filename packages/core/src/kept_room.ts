/** Room kept on a target for one ask that would starve without it. */

import type { WaitingAsk } from "./blackboard.ts";
import {
  type Need,
  PassedOver,
  shortage,
  type TargetRoom,
} from "./capacity.ts";
import { slackSpentShare } from "./shard_queue.ts";
import type { ShardView } from "./shard_view.ts";

/** Share of its slack after which room is kept for an ask that does not fit. */
const KEEP_ROOM_AFTER_SHARE = 0.25;

/**
 * Marks the room kept for waiting asks, and lets go of what is kept on targets
 * that are gone.
 *
 * @param view The shard.
 */
export function keepReservedRooms(view: ShardView): void {
  for (const ask of view.shard.waiting.values()) {
    const { reservation } = ask;
    if (reservation === undefined) {
      continue;
    }
    const room = view.rooms.find((each) =>
      each.targetId === reservation.targetId
    );
    if (room !== undefined && view.isPossible(room, ask)) {
      room.keep(view.needOf(ask), reservation.readyAtMs);
    } else {
      ask.reservation = undefined;
    }
  }
}

/**
 * Keeps room for an ask that has waited long and lacks KV memory, not slots:
 * others would go on taking each piece of memory that comes free.
 *
 * @param view The shard.
 * @param ask An ask that fits nowhere now.
 */
export function keepRoomWhenAged(view: ShardView, ask: WaitingAsk): void {
  if (
    ask.reservation !== undefined ||
    slackSpentShare(ask, view.nowMs) < KEEP_ROOM_AFTER_SHARE
  ) {
    return;
  }
  const need = view.needOf(ask);
  const candidates = view.rooms
    .filter((room) =>
      view.isPossible(room, ask) && !room.hasKept &&
      shortage(room, need, room.used) === PassedOver.NoKvMemory
    )
    .map((room) => ({ room, readyAtMs: roomReadyAtMs(room, need) }))
    .filter(({ readyAtMs }) => readyAtMs < Infinity)
    .sort((a, b) => a.readyAtMs - b.readyAtMs);
  const [best] = candidates;
  if (best !== undefined) {
    ask.reservation = {
      targetId: best.room.targetId,
      readyAtMs: best.readyAtMs,
    };
    best.room.keep(need, best.readyAtMs);
  }
}

/** When enough work is expected to have ended; Infinity where never. */
function roomReadyAtMs(room: TargetRoom, need: Need): number {
  const left = { ...room.used };
  const byEnd = [...room.grants].sort((a, b) =>
    a.expectedEndMs - b.expectedEndMs
  );
  for (const grant of byEnd) {
    left.slots -= 1;
    left.kvTokens -= grant.kvTokens;
    if (shortage(room, need, left) === undefined) {
      return grant.expectedEndMs;
    }
  }
  return Infinity;
}
