/** Estimates how long an ask will wait for a target. */

import type { WaitingAsk, WorkspaceQueue } from "./blackboard.ts";
import { shortage, slotsForTier } from "./capacity.ts";
import type { QueuedWork } from "./shard_queue.ts";
import type { ShardView } from "./shard_view.ts";

/** No work at all. */
export const NO_WORK: QueuedWork = {
  costMs: 0,
  kvTokenMs: 0,
  prefillMs: 0,
};

/**
 * Estimates an ask's wait: what higher tiers and its own fair turn put before
 * it, over the slots, the KV memory and the reading of prompts that serve it.
 *
 * @param view The shard.
 * @param ask The ask.
 * @param ownAhead Work of its own lane that goes before it.
 * @returns A duration in milliseconds; Infinity where nothing serves it.
 */
export function estimateWaitMs(
  view: ShardView,
  ask: WaitingAsk,
  ownAhead: QueuedWork,
): number {
  const need = view.needOf(ask);
  let slots = 0;
  let kvTokens = 0;
  let targets = 0;
  let firstFreeMs = Infinity;
  let firstReadMs = Infinity;
  for (const room of view.rooms) {
    if (!view.isPossible(room, ask)) {
      continue;
    }
    slots += slotsForTier(room.slotsTotal, need.headroomShare);
    kvTokens += room.kvTotalTokens;
    const isFree = shortage(room, need, room.used) === undefined;
    targets += 1;
    firstFreeMs = Math.min(firstFreeMs, isFree ? 0 : nextEndMs(view, room));
    firstReadMs = Math.min(firstReadMs, room.prefillQueueMs(view.nowMs));
  }
  const ahead = workAhead(view, ask, ownAhead);
  const slotWaitMs = slots > 0 ? ahead.costMs / slots : Infinity;
  const kvWaitMs = kvTokens > 0 ? ahead.kvTokenMs / kvTokens : 0;
  const readWaitMs = targets > 0 ? ahead.prefillMs / targets : 0;
  return Math.max(
    finite(firstFreeMs) + Math.max(slotWaitMs, kvWaitMs),
    finite(firstReadMs) + readWaitMs,
  );
}

function finite(ms: number): number {
  return Number.isFinite(ms) ? ms : 0;
}

/**
 * Adds up work.
 *
 * @param a Some work.
 * @param b Other work.
 * @returns Both together.
 */
export function addWork(a: QueuedWork, b: QueuedWork): QueuedWork {
  return {
    costMs: a.costMs + b.costMs,
    kvTokenMs: a.kvTokenMs + b.kvTokenMs,
    prefillMs: a.prefillMs + b.prefillMs,
  };
}

function workAhead(
  view: ShardView,
  ask: WaitingAsk,
  ownAhead: QueuedWork,
): QueuedWork {
  let ahead = ownAhead;
  const { tierRank, workspace } = ask.detail;
  for (const lane of view.shard.workspaceQueues.values()) {
    if (lane.tierRank < tierRank) {
      ahead = addWork(ahead, lane);
    } else if (lane.tierRank === tierRank && lane.workspace !== workspace) {
      ahead = addWork(ahead, fairTurnOf(view, lane, { ask, ownAhead }));
    }
  }
  return ahead;
}

/** Of another workspace's work, only its fair share goes before the ask. */
function fairTurnOf(
  view: ShardView,
  lane: WorkspaceQueue,
  own: { ask: WaitingAsk; ownAhead: QueuedWork },
): QueuedWork {
  const ownWeight = view.policyOf(own.ask.detail).fairShareWeight;
  const laneWeight = view.policyOf(lane).fairShareWeight;
  const ownCostMs = own.ownAhead.costMs + own.ask.costMs;
  const fairCostMs = ownCostMs * laneWeight / Math.max(ownWeight, 0.001);
  const share = Math.min(1, fairCostMs / Math.max(lane.costMs, 0.001));
  return {
    costMs: lane.costMs * share,
    kvTokenMs: lane.kvTokenMs * share,
    prefillMs: lane.prefillMs * share,
  };
}

function nextEndMs(
  view: ShardView,
  room: ShardView["rooms"][number],
): number {
  const ends = room.grants.map((grant) => grant.expectedEndMs - view.nowMs);
  return Math.max(0, Math.min(...ends));
}
