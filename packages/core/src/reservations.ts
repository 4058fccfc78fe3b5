/**
 * Reservations of capacity on a target, each for one ask that would starve
 * without it.
 */

import type { WaitingAsk } from "./blackboard.ts";
import {
  PassedOverReason,
  type ResourceDemand,
  shortage,
  type TargetCapacity,
} from "./capacity.ts";
import { slackUsedShare } from "./shard_queue.ts";
import type { ShardView } from "./shard_view.ts";

/**
 * Share of its slack after which an ask that fits on no target gets a
 * reservation.
 */
const RESERVE_AFTER_SLACK_SHARE = 0.25;

/**
 * Applies the reservations of waiting asks to the capacities of their targets,
 * and drops reservations on targets that are no longer candidates.
 *
 * @param view The shard whose capacities are updated.
 */
export function applyReservations(view: ShardView): void {
  for (const ask of view.shard.waiting.values()) {
    const { reservation } = ask;
    if (reservation === undefined) {
      continue;
    }
    const capacity = view.capacities.find((each) =>
      each.targetId === reservation.targetId
    );
    if (capacity !== undefined && view.isCandidate(capacity, ask)) {
      capacity.reserve(view.demandOf(ask), reservation.readyAtMs);
    } else {
      ask.reservation = undefined;
    }
  }
}

/**
 * Reserves capacity for an ask that has waited long and lacks KV memory rather
 * than a slot. Without a reservation, smaller asks would take all memory that
 * becomes free.
 *
 * @param view The shard that the ask waits in.
 * @param ask An ask that fits nowhere now.
 */
export function reserveWhenAged(view: ShardView, ask: WaitingAsk): void {
  if (
    ask.reservation !== undefined ||
    slackUsedShare(ask, view.nowMs) < RESERVE_AFTER_SLACK_SHARE
  ) {
    return;
  }
  const demand = view.demandOf(ask);
  const candidates = view.capacities
    .filter((capacity) =>
      view.isCandidate(capacity, ask) && !capacity.hasReservation &&
      shortage(capacity, demand, capacity.used) === PassedOverReason.NoKvMemory
    )
    .map((capacity) => ({
      capacity,
      readyAtMs: capacityReadyAtMs(capacity, demand),
    }))
    .filter(({ readyAtMs }) => readyAtMs < Infinity)
    .sort((a, b) => a.readyAtMs - b.readyAtMs);
  const [best] = candidates;
  if (best !== undefined) {
    ask.reservation = {
      targetId: best.capacity.targetId,
      readyAtMs: best.readyAtMs,
    };
    best.capacity.reserve(demand, best.readyAtMs);
  }
}

/**
 * Returns the local time at which enough work should have ended for the demand
 * to fit; Infinity where it never fits.
 */
function capacityReadyAtMs(
  capacity: TargetCapacity,
  demand: ResourceDemand,
): number {
  const remaining = { ...capacity.used };
  const byEnd = [...capacity.grants].sort((a, b) =>
    a.expectedEndMs - b.expectedEndMs
  );
  for (const grant of byEnd) {
    remaining.slots -= 1;
    remaining.kvTokens -= grant.kvTokens;
    if (shortage(capacity, demand, remaining) === undefined) {
      return grant.expectedEndMs;
    }
  }
  return Infinity;
}
