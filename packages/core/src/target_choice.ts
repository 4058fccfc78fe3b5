/** Choice of the target for one ask, by earliest predicted completion. */

import type { WaitingAsk } from "./blackboard.ts";
import {
  PassedOverReason,
  type ResourceDemand,
  type TargetCapacity,
} from "./capacity.ts";
import type { ShardView } from "./shard_view.ts";
import type { Prediction } from "./service_prediction.ts";

/** Passed-over targets listed in a grant. */
const MAX_PASSED_OVER_LISTED = 4;

/**
 * Age up to which an ask counts as new. A new ask may get a target that is only
 * just fast enough, since its deadline is tight by the caller's choice and not
 * because of a long wait.
 */
const MAX_NEW_ASK_AGE_MS = 100;

/**
 * Longest prefill queue in front of a new ask that other failure domains may
 * serve as well, since a target there may be idle.
 */
const MAX_NEW_ASK_QUEUE_MS = 50;

/** A target that was not chosen for an ask, as `why` prints it. */
export interface PassedOverTarget {
  readonly targetId: string;
  /** A text of {@link PassedOverReason}, which may end with a prediction. */
  readonly reason: string;
}

/** An ask with the target chosen for it. */
export interface Placement {
  readonly ask: WaitingAsk;
  /** Resources that the ask occupies on the target. */
  readonly demand: ResourceDemand;
  /** Capacity of the chosen target. */
  readonly capacity: TargetCapacity;
  /** Predicted service time on the chosen target. */
  readonly prediction: Prediction;
  /** Some of the targets that were not chosen. */
  readonly passedOver: readonly PassedOverTarget[];
}

/**
 * Chooses the target with the earliest predicted completion of an ask.
 *
 * @param view The shard that the ask waits in.
 * @param ask The waiting ask.
 * @returns The placement; undefined where no target can serve the ask in time.
 */
export function chooseTarget(
  view: ShardView,
  ask: WaitingAsk,
): Placement | undefined {
  const demand = view.demandOf(ask);
  const passedOver: PassedOverTarget[] = [];
  let best: { capacity: TargetCapacity; prediction: Prediction } | undefined;
  for (const capacity of view.capacities) {
    const reason = passedOverReasonOf(view, ask, { capacity, demand });
    if (reason !== undefined) {
      passedOver.push({ targetId: capacity.targetId, reason });
      continue;
    }
    const prediction = view.predict(capacity, ask.detail);
    const isSooner = best === undefined ||
      prediction.totalMs < best.prediction.totalMs;
    const slower = isSooner ? best : { capacity, prediction };
    if (slower !== undefined) {
      passedOver.push(notSoonerTarget(slower));
    }
    best = isSooner ? { capacity, prediction } : best;
  }
  return best && {
    ask,
    demand,
    ...best,
    passedOver: passedOver.slice(0, MAX_PASSED_OVER_LISTED),
  };
}

function passedOverReasonOf(
  view: ShardView,
  ask: WaitingAsk,
  option: { capacity: TargetCapacity; demand: ResourceDemand },
): PassedOverReason | undefined {
  const { capacity, demand } = option;
  if (ask.detail.excludedTargetIds.includes(capacity.targetId)) {
    return PassedOverReason.Excluded;
  }
  if (view.isWarmingUp && capacity.hasUnaccountedWork) {
    return PassedOverReason.WorkUnknown;
  }
  const rejection = capacity.rejectionOf(demand);
  const isBackfill = rejection === PassedOverReason.Reserved &&
    endsBeforeReservation(view, ask, option);
  if (rejection !== undefined && !isBackfill) {
    return rejection;
  }
  const { totalMs, conservativeMs, prefillMs } = view.predict(
    capacity,
    ask.detail,
  );
  if (capacity.isPrefillBusy(view.nowMs, prefillMs)) {
    return PassedOverReason.PrefillBusy;
  }
  const hasWaited = view.nowMs - ask.arrivedAtMs > MAX_NEW_ASK_AGE_MS;
  const mayBeGrantedElsewhere = !hasWaited && ask.detail.spreadOver > 1;
  if (
    mayBeGrantedElsewhere &&
    capacity.prefillQueueMs(view.nowMs) > MAX_NEW_ASK_QUEUE_MS
  ) {
    return PassedOverReason.PrefillBusy;
  }
  const endAtMs = view.nowMs + (hasWaited ? conservativeMs : totalMs);
  return endAtMs > ask.deadlineAtMs ? PassedOverReason.TooLate : undefined;
}

function notSoonerTarget(
  slower: { capacity: TargetCapacity; prediction: Prediction },
): PassedOverTarget {
  const totalMs = Math.round(slower.prediction.totalMs);
  return {
    targetId: slower.capacity.targetId,
    reason: `${PassedOverReason.NotSooner}: in ${totalMs} ms`,
  };
}

/**
 * Whether the ask would end before the capacity reserved for others is expected
 * to be free. Such short work may use reserved capacity (backfilling).
 */
function endsBeforeReservation(
  view: ShardView,
  ask: WaitingAsk,
  option: { capacity: TargetCapacity; demand: ResourceDemand },
): boolean {
  const endAtMs = view.nowMs +
    view.predict(option.capacity, ask.detail).totalMs;
  return endAtMs <= option.capacity.reservedReadyAtMs(option.demand);
}
