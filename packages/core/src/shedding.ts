/**
 * Load shedding, the lowest tier first.
 *
 * An ask is refused for overload only when no ask of a lower tier waits in the
 * shard and no work of a lower tier that may be cancelled runs there.
 */

import { ErrorKind } from "@chestnuthatch/wire/shared_types";
import type { WaitingAsk } from "./blackboard.ts";
import { refuseAsk } from "./grant_lifecycle.ts";
import { refuseOverloaded } from "./overload_refusal.ts";
import { jitteredRetryAfterMs } from "./retry_hint.ts";
import {
  latestStartAtMs,
  queuedWorkOf,
  queuesOfTier,
  rankQueue,
  waitingTiers,
} from "./shard_queue.ts";
import type { ShardView } from "./shard_view.ts";
import { serveUrgentAsks } from "./urgent_asks.ts";
import { addWork, estimateWaitMs, NO_WORK } from "./wait_estimate.ts";

/** Interval at which the lowest tier's queue is checked for excessive waits. */
const QUEUE_CHECK_INTERVAL_MS = 200;

/**
 * Share of the time left before its latest start that an ask may be expected to
 * wait. Asks with a longer expected wait are refused early, and asks that are
 * served do not start so late that a slow answer would miss the deadline.
 */
const MAX_WAIT_SHARE = 0.8;
/** Expected wait accepted beyond that share, even without any slack. */
const WAIT_MARGIN_MS = 100;

/**
 * Refuses or preempts work that a shard cannot serve. It runs after placement,
 * so that only asks that could not be placed are left.
 *
 * @param view The shard, with the capacities left by placement.
 */
export function shedOverload(view: ShardView): void {
  refuseWithoutCandidates(view);
  serveUrgentAsks(view);
  if (view.nowMs >= view.shard.nextQueueCheckAtMs) {
    view.shard.nextQueueCheckAtMs = view.nowMs + QUEUE_CHECK_INTERVAL_MS;
    refuseExcessiveWaits(view);
  }
}

/**
 * Refuses an ask on arrival if its expected wait is too long and its tier is
 * the lowest active one in the shard.
 *
 * @param view The shard that was asked.
 * @param ask The ask, already queued in the shard.
 * @returns Whether the ask was refused.
 */
export function refuseOnArrival(view: ShardView, ask: WaitingAsk): boolean {
  const queue = queuesOfTier(view.shard, ask.detail.tierRank)
    .find((each) => each.workspace === ask.detail.workspace);
  if (queue === undefined || !isLowestActiveTier(view, ask.detail.tierRank)) {
    return false;
  }
  const ownWork = queuedWorkOf(ask);
  const waitMs = estimateWaitMs(view, ask, {
    costMs: queue.costMs - ownWork.costMs,
    kvTokenMs: queue.kvTokenMs - ownWork.kvTokenMs,
    prefillMs: queue.prefillMs - ownWork.prefillMs,
  });
  return refuseIfWaitTooLong(view, ask, waitMs);
}

/**
 * Refuses an ask that the shard could not serve even if it were idle.
 *
 * @param view The shard that was asked.
 * @param ask The ask; it need not be queued yet.
 * @returns Whether the ask was refused.
 */
export function refuseUnservable(view: ShardView, ask: WaitingAsk): boolean {
  const { retryAfterMs } = view.policyOf(ask.detail);
  const hintMs = jitteredRetryAfterMs(view.turn, retryAfterMs);
  if (!view.capacities.some((capacity) => view.isCandidate(capacity, ask))) {
    refuseAsk(view, ask, {
      error: ErrorKind.NoTarget,
      retryAfterMs: hintMs,
      reason: `no live target of ${view.shard.pool} in ` +
        `${view.shard.failureDomain} can hold it`,
    });
    return true;
  }
  if (view.nowMs > latestStartAtMs(ask)) {
    refuseAsk(view, ask, {
      error: ErrorKind.DeadlineUnreachable,
      retryAfterMs: hintMs,
      reason: `an idle target would need ${Math.round(ask.idleServiceMs)} ms`,
    });
    return true;
  }
  return false;
}

function refuseWithoutCandidates(view: ShardView): void {
  for (const ask of [...view.shard.waiting.values()]) {
    if (!view.capacities.some((capacity) => view.isCandidate(capacity, ask))) {
      refuseUnservable(view, ask);
    }
  }
}

function refuseExcessiveWaits(view: ShardView): void {
  const tierRank = waitingTiers(view.shard).at(-1);
  if (tierRank === undefined || !isLowestActiveTier(view, tierRank)) {
    return;
  }
  for (const queue of queuesOfTier(view.shard, tierRank)) {
    let workAhead = NO_WORK;
    for (const ask of rankQueue(queue, view.nowMs)) {
      const waitMs = estimateWaitMs(view, ask, workAhead);
      if (!refuseIfWaitTooLong(view, ask, waitMs)) {
        workAhead = addWork(workAhead, queuedWorkOf(ask));
      }
    }
  }
}

function refuseIfWaitTooLong(
  view: ShardView,
  ask: WaitingAsk,
  waitMs: number,
): boolean {
  const slackMs = Math.max(0, ask.deadlineAtMs - view.nowMs - ask.costMs);
  if (waitMs <= slackMs * MAX_WAIT_SHARE + WAIT_MARGIN_MS) {
    return false;
  }
  const roundedWaitMs = Math.round(waitMs);
  refuseOverloaded(view, ask, `a wait of ${roundedWaitMs} ms is expected`);
  return true;
}

/** Whether no work of a lower tier waits or runs in the shard. */
function isLowestActiveTier(view: ShardView, tierRank: number): boolean {
  return [...view.shard.workspaceQueues.values()].every((queue) =>
    queue.tierRank <= tierRank
  ) && [...view.shard.grants.values()].every((grant) =>
    grant.work.tierRank <= tierRank
  );
}
