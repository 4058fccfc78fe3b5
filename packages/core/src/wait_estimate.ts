/** Estimates of the time that an ask waits for a target. */

import type { WaitingAsk, WorkspaceQueue } from "./blackboard.ts";
import { shortage, slotsForTier } from "./capacity.ts";
import type { QueuedWork } from "./shard_queue.ts";
import type { ShardView } from "./shard_view.ts";

/** An empty amount of queued work. */
export const NO_WORK: QueuedWork = {
  costMs: 0,
  kvTokenMs: 0,
  prefillMs: 0,
};

/**
 * Estimates an ask's wait: the work ahead of it, from higher tiers, from its
 * own workspace and the fair share of other workspaces, divided by the slots,
 * the KV memory and the prefill capacity of the targets that could serve it.
 *
 * @param view The shard that the ask waits in.
 * @param ask The waiting ask.
 * @param ownAhead Work of the ask's own workspace that is placed before it.
 * @returns The wait in milliseconds; Infinity where no target could serve it.
 */
export function estimateWaitMs(
  view: ShardView,
  ask: WaitingAsk,
  ownAhead: QueuedWork,
): number {
  const demand = view.demandOf(ask);
  let slots = 0;
  let kvTokens = 0;
  let targetCount = 0;
  let untilFreeMs = Infinity;
  let untilPrefillMs = Infinity;
  for (const capacity of view.capacities) {
    if (!view.isCandidate(capacity, ask)) {
      continue;
    }
    slots += slotsForTier(capacity.slotsTotal, demand.headroomShare);
    kvTokens += capacity.kvTotalTokens;
    const isFree = shortage(capacity, demand, capacity.used) === undefined;
    targetCount += 1;
    untilFreeMs = Math.min(
      untilFreeMs,
      isFree ? 0 : timeToNextEndMs(view, capacity),
    );
    untilPrefillMs = Math.min(
      untilPrefillMs,
      capacity.prefillQueueMs(view.nowMs),
    );
  }
  const ahead = workAhead(view, ask, ownAhead);
  const slotWaitMs = slots > 0 ? ahead.costMs / slots : Infinity;
  const kvWaitMs = kvTokens > 0 ? ahead.kvTokenMs / kvTokens : 0;
  const prefillWaitMs = targetCount > 0 ? ahead.prefillMs / targetCount : 0;
  return Math.max(
    finiteOrZero(untilFreeMs) + Math.max(slotWaitMs, kvWaitMs),
    finiteOrZero(untilPrefillMs) + prefillWaitMs,
  );
}

function finiteOrZero(ms: number): number {
  return Number.isFinite(ms) ? ms : 0;
}

/**
 * Adds two amounts of queued work.
 *
 * @param a The first amount.
 * @param b The second amount.
 * @returns The sum of both.
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
  for (const queue of view.shard.workspaceQueues.values()) {
    if (queue.tierRank < tierRank) {
      ahead = addWork(ahead, queue);
    } else if (queue.tierRank === tierRank && queue.workspace !== workspace) {
      ahead = addWork(ahead, fairShareOf(view, queue, { ask, ownAhead }));
    }
  }
  return ahead;
}

/**
 * Returns the part of another workspace's queued work that fair shares put
 * before the ask.
 */
function fairShareOf(
  view: ShardView,
  queue: WorkspaceQueue,
  own: { ask: WaitingAsk; ownAhead: QueuedWork },
): QueuedWork {
  const ownWeight = view.policyOf(own.ask.detail).fairShareWeight;
  const queueWeight = view.policyOf(queue).fairShareWeight;
  const ownCostMs = own.ownAhead.costMs + own.ask.costMs;
  const fairCostMs = ownCostMs * queueWeight / Math.max(ownWeight, 0.001);
  const share = Math.min(1, fairCostMs / Math.max(queue.costMs, 0.001));
  return {
    costMs: queue.costMs * share,
    kvTokenMs: queue.kvTokenMs * share,
    prefillMs: queue.prefillMs * share,
  };
}

/** Returns the time until the next work on a target is expected to end. */
function timeToNextEndMs(
  view: ShardView,
  capacity: ShardView["capacities"][number],
): number {
  const ends = capacity.grants.map((grant) => grant.expectedEndMs - view.nowMs);
  return Math.max(0, Math.min(...ends));
}
