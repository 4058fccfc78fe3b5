/**
 * Scheduling of urgent asks, whose latest start is near. They are allocated
 * capacity that is or becomes free; failing that, work of lower tiers is
 * cancelled for them; only if neither helps are they refused.
 */

import type { WaitingAsk } from "./blackboard.ts";
import { preemptGrant } from "./grant_lifecycle.ts";
import { refuseOverloaded } from "./overload_refusal.ts";
import { notifyOtherShards, preemptBelow } from "./shed_floor.ts";
import {
  CapacityPlan,
  highestPreemptedTier,
  isPreemptible,
} from "./preemption.ts";
import { latestStartAtMs, queuesOfTier, waitingTiers } from "./shard_queue.ts";
import type { ShardView } from "./shard_view.ts";

/**
 * Length of an ask's urgency window as a share of its slack. The window ends at
 * the ask's latest start; within it, capacity is planned for the ask.
 */
const URGENCY_WINDOW_SHARE = 0.25;
/** Bounds of the urgency window. */
const MIN_URGENCY_WINDOW_MS = 400;
const MAX_URGENCY_WINDOW_MS = 2000;

/** Time in which other failure domains may grant a new ask first. */
const OTHER_DOMAINS_GRACE_MS = 500;

/**
 * With less slack than this, work expected to end in time does not count as
 * ended: only capacity that is free or being freed by preemption does.
 */
const MIN_FORECAST_SLACK_MS = 200;

/**
 * Time for which an ask waits for the capacity of streams cancelled for it
 * before others are cancelled: load reports may still show the first ones.
 */
const PREEMPTION_TIMEOUT_MS = 300;

/**
 * Finds capacity for the asks whose latest start is near, and refuses those
 * whose latest start has passed. Higher tiers are handled first.
 *
 * @param view The shard, with the capacities left by placement.
 */
export function serveUrgentAsks(view: ShardView): void {
  const plan = new CapacityPlan(view);
  const maxPrefillQueueMs = Math.max(
    0,
    ...view.availableCapacities.map((capacity) =>
      capacity.prefillQueueMs(view.nowMs)
    ),
  );
  for (const tierRank of waitingTiers(view.shard)) {
    const urgent = queuesOfTier(view.shard, tierRank)
      .flatMap((queue) => [...queue.asks.values()])
      .filter((ask) => mayBeUrgent(view, ask, maxPrefillQueueMs))
      .map((ask) => ({ ask, slackMs: remainingSlackMs(view, ask) }))
      .filter(({ ask, slackMs }) => slackMs <= urgencyWindowMs(ask))
      .sort((a, b) => a.slackMs - b.slackMs);
    for (const { ask, slackMs } of urgent) {
      serveUrgentAsk(view, ask, { slackMs, plan });
    }
  }
}

function serveUrgentAsk(
  view: ShardView,
  ask: WaitingAsk,
  state: { slackMs: number; plan: CapacityPlan },
): void {
  const { slackMs, plan } = state;
  if (
    view.shard.waiting.get(ask.detail.requestId) !== ask ||
    mayBeGrantedElsewhere(view, ask)
  ) {
    return;
  }
  const endsByMs = slackMs > MIN_FORECAST_SLACK_MS
    ? view.nowMs + slackMs
    : -Infinity;
  if (plan.tryAllocate(ask, endsByMs) || awaitsPreemptedStreams(view, ask)) {
    return;
  }
  const mayPreempt = slackMs <= preemptionWindowMs(ask);
  const preemption = mayPreempt ? plan.planPreemption(ask) : undefined;
  if (preemption !== undefined) {
    shedBelowInAllDomains(view, highestPreemptedTier(preemption));
    const preemptor = describeAsk(ask);
    preemption.victims.forEach((grant) => preemptGrant(view, grant, preemptor));
    ask.lastPreemptionAtMs = view.nowMs;
    ask.reservation = {
      targetId: preemption.capacity.targetId,
      readyAtMs: view.nowMs,
    };
  } else if (slackMs < 0) {
    refuseLate(view, ask);
  }
}

/**
 * Whether another failure domain may still grant the ask. A domain with slow
 * targets must not shed work for an ask that other domains can serve.
 */
function mayBeGrantedElsewhere(view: ShardView, ask: WaitingAsk): boolean {
  return ask.detail.spreadOver > 1 &&
    view.nowMs - ask.arrivedAtMs < OTHER_DOMAINS_GRACE_MS;
}

function describeAsk({ detail }: WaitingAsk): string {
  return `${detail.requestId} of tier ${detail.tierRank}`;
}

/** Whether the ask still waits for streams recently cancelled for it. */
function awaitsPreemptedStreams(view: ShardView, ask: WaitingAsk): boolean {
  const sinceMs = view.nowMs - (ask.lastPreemptionAtMs ?? -Infinity);
  return sinceMs < PREEMPTION_TIMEOUT_MS;
}

/**
 * Refuses an ask that can no longer end in time. Lower tiers are shed first, so
 * that none of them is served while this ask is refused. For an ask that waits
 * in several failure domains, its holder orders this once all have refused it.
 */
function refuseLate(view: ShardView, ask: WaitingAsk): void {
  const { tierRank } = ask.detail;
  if (ask.detail.spreadOver === 1) {
    shedBelow(view, tierRank);
  }
  refuseOverloaded(view, ask, "it can no longer end before its deadline");
}

/** Sheds all tiers below one in every shard of the pool. */
function shedBelowInAllDomains(view: ShardView, tierRank: number): void {
  shedBelow(view, tierRank);
  notifyOtherShards(view, tierRank);
}

/**
 * Cancels the running streams and refuses the waiting asks of all tiers below
 * one, in one shard.
 *
 * @param view The shard that sheds the work.
 * @param tierRank Rank of the tier whose work is shed in any shard of the pool.
 */
export function shedBelow(view: ShardView, tierRank: number): void {
  preemptBelow(view, tierRank);
  refuseLowerTiers(view, tierRank);
}

/**
 * Refuses the waiting asks of all tiers below one, the lowest tier first. It
 * stops at a tier below which streams that may be cancelled still run.
 */
function refuseLowerTiers(view: ShardView, tierRank: number): void {
  const lowerRanks = waitingTiers(view.shard).filter((rank) => rank > tierRank);
  for (const rank of lowerRanks.reverse()) {
    if (hasPreemptibleWorkBelow(view, rank)) {
      return;
    }
    for (const queue of queuesOfTier(view.shard, rank)) {
      for (const ask of [...queue.asks.values()]) {
        refuseOverloaded(view, ask, "a higher tier needs all the room");
      }
    }
  }
}

function hasPreemptibleWorkBelow(view: ShardView, tierRank: number): boolean {
  return [...view.shard.grants.values()].some((grant) =>
    isPreemptible(view, grant, tierRank)
  );
}

/**
 * Whether the ask's slack may be within its urgency window. This bound is cheap
 * and excludes most asks from the exact computation.
 */
function mayBeUrgent(
  view: ShardView,
  ask: WaitingAsk,
  maxPrefillQueueMs: number,
): boolean {
  const minSlackMs = ask.deadlineAtMs - view.nowMs - ask.costMs -
    maxPrefillQueueMs;
  return minSlackMs <= urgencyWindowMs(ask) && view.isHolderResponsive(ask);
}

/**
 * Returns the time left until the ask could no longer end before its deadline
 * on any target at the current load.
 */
function remainingSlackMs(view: ShardView, ask: WaitingAsk): number {
  let minServiceMs = Infinity;
  for (const capacity of view.capacities) {
    if (view.isCandidate(capacity, ask)) {
      minServiceMs = Math.min(
        minServiceMs,
        view.predict(capacity, ask.detail).conservativeMs,
      );
    }
  }
  return ask.deadlineAtMs - view.nowMs - minServiceMs;
}

/**
 * Returns the slack below which streams are cancelled for an ask. Of the
 * domains in which an ask waits, each starts later than the nearer ones, so
 * that not all of them cancel work for the same ask.
 */
function preemptionWindowMs(ask: WaitingAsk): number {
  const { spreadIndex, spreadOver } = ask.detail;
  return urgencyWindowMs(ask) * (1 - spreadIndex / spreadOver);
}

function urgencyWindowMs(ask: WaitingAsk): number {
  const slackMs = latestStartAtMs(ask) - ask.arrivedAtMs;
  return Math.min(
    MAX_URGENCY_WINDOW_MS,
    Math.max(MIN_URGENCY_WINDOW_MS, slackMs * URGENCY_WINDOW_SHARE),
  );
}
