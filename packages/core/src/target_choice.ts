/** Chooses the target of one ask: the least predicted completion. */

import type { WaitingAsk } from "./blackboard.ts";
import { type Need, PassedOver, type TargetRoom } from "./capacity.ts";
import type { ShardView } from "./shard_view.ts";
import type { Prediction } from "./work_cost.ts";

/** Targets passed over that a grant tells of. */
const MAX_PASSED_OVER = 4;

/**
 * An ask this new gets a target that is only just fast enough: its deadline is
 * its caller's choice, not the end of a long wait.
 */
const NEW_ASK_MS = 100;

/** A new ask waits behind no more than this: other domains may be idle. */
const IDLE_QUEUE_MS = 50;

/** A target that was not chosen, for `why`. */
export interface PassedOverTarget {
  readonly targetId: string;
  readonly reason: string;
}

/** An ask with the target chosen for it. */
export interface Placement {
  readonly ask: WaitingAsk;
  readonly need: Need;
  readonly room: TargetRoom;
  readonly prediction: Prediction;
  readonly passedOver: readonly PassedOverTarget[];
}

/**
 * Chooses the target with the least predicted completion.
 *
 * @param view The shard.
 * @param ask The ask.
 * @returns The placement; undefined when no target can take it in time.
 */
export function choosePlace(
  view: ShardView,
  ask: WaitingAsk,
): Placement | undefined {
  const need = view.needOf(ask);
  const passedOver: PassedOverTarget[] = [];
  let best: { room: TargetRoom; prediction: Prediction } | undefined;
  for (const room of view.rooms) {
    const reason = reasonAgainst(view, ask, { room, need });
    if (reason !== undefined) {
      passedOver.push({ targetId: room.targetId, reason });
      continue;
    }
    const prediction = view.predict(room, ask.detail);
    const isBetter = best === undefined ||
      prediction.totalMs < best.prediction.totalMs;
    const loser = isBetter ? best : { room, prediction };
    if (loser !== undefined) {
      passedOver.push(targetNotSooner(loser));
    }
    best = isBetter ? { room, prediction } : best;
  }
  return best && {
    ask,
    need,
    ...best,
    passedOver: passedOver.slice(0, MAX_PASSED_OVER),
  };
}

function reasonAgainst(
  view: ShardView,
  ask: WaitingAsk,
  on: { room: TargetRoom; need: Need },
): PassedOver | undefined {
  const { room, need } = on;
  if (ask.detail.excludedTargetIds.includes(room.targetId)) {
    return PassedOver.Excluded;
  }
  if (view.isWarmingUp && room.hasUnknownWork) {
    return PassedOver.WorkUnknown;
  }
  const obstacle = room.obstacle(need);
  const isFilledIn = obstacle === PassedOver.Kept &&
    endsBeforeKeptRoom(view, ask, on);
  if (obstacle !== undefined && !isFilledIn) {
    return obstacle;
  }
  const { totalMs, cautiousMs, prefillMs } = view.predict(room, ask.detail);
  if (room.isPrefillBusy(view.nowMs, prefillMs)) {
    return PassedOver.PrefillBusy;
  }
  const hasWaited = view.nowMs - ask.arrivedAtMs > NEW_ASK_MS;
  const mayGoElsewhere = !hasWaited && ask.detail.spreadOver > 1;
  if (mayGoElsewhere && room.prefillQueueMs(view.nowMs) > IDLE_QUEUE_MS) {
    return PassedOver.PrefillBusy;
  }
  const endMs = view.nowMs + (hasWaited ? cautiousMs : totalMs);
  return endMs > ask.deadlineAtMs ? PassedOver.TooLate : undefined;
}

function targetNotSooner(
  loser: { room: TargetRoom; prediction: Prediction },
): PassedOverTarget {
  const endMs = Math.round(loser.prediction.totalMs);
  return {
    targetId: loser.room.targetId,
    reason: `${PassedOver.NotSooner}: in ${endMs} ms`,
  };
}

/** Short work may use kept room that is not expected to be ready before. */
function endsBeforeKeptRoom(
  view: ShardView,
  ask: WaitingAsk,
  on: { room: TargetRoom; need: Need },
): boolean {
  const endMs = view.nowMs + view.predict(on.room, ask.detail).totalMs;
  return endMs <= on.room.keptRoomReadyAtMs(on.need);
}
