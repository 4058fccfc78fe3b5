/**
 * Sees to asks that cannot wait any longer: room that comes free is promised
 * to them, then lower tiers give way, and only then are they refused.
 */

import type { WaitingAsk } from "./blackboard.ts";
import { preemptGrant } from "./grant_account.ts";
import { refuseOverloaded } from "./overload_refusal.ts";
import { cancelBelow, tellOtherShards } from "./shed_floor.ts";
import { highestTierOf, isPreemptible, RoomPlan } from "./preemption.ts";
import { lanesOfTier, latestStartMs, waitingTiers } from "./shard_queue.ts";
import type { ShardView } from "./shard_view.ts";

/** How long before its latest start an ask becomes urgent, as a slack share. */
const URGENT_SLACK_SHARE = 0.25;
const MIN_URGENT_MS = 400;
const MAX_URGENT_MS = 2000;

/** Time that other domains have to grant a new ask. */
const ELSEWHERE_MS = 500;

/** Within this time only room that is free or being freed counts. */
const LAST_CALL_MS = 200;

/**
 * How long an ask waits for the room of streams cancelled for it before others
 * are cancelled: a load report may still show them.
 */
const PREEMPTION_PATIENCE_MS = 300;

/**
 * Finds room for the asks whose latest start is near, or refuses them when it
 * has passed, lower tiers first.
 *
 * @param view The shard, after everything was placed that could be.
 */
export function serveUrgent(view: ShardView): void {
  const plan = new RoomPlan(view);
  const longestQueueMs = Math.max(
    0,
    ...view.liveRooms.map((room) => room.prefillQueueMs(view.nowMs)),
  );
  for (const tierRank of waitingTiers(view.shard)) {
    const urgent = lanesOfTier(view.shard, tierRank)
      .flatMap((lane) => [...lane.asks.values()])
      .filter((ask) => mayBeUrgent(view, ask, longestQueueMs))
      .map((ask) => ({ ask, spareMs: spareMsOf(view, ask) }))
      .filter(({ ask, spareMs }) => spareMs <= urgentMsOf(ask))
      .sort((a, b) => a.spareMs - b.spareMs);
    for (const { ask, spareMs } of urgent) {
      serveUrgentAsk(view, ask, { spareMs, plan });
    }
  }
}

function serveUrgentAsk(
  view: ShardView,
  ask: WaitingAsk,
  state: { spareMs: number; plan: RoomPlan },
): void {
  const { spareMs, plan } = state;
  if (
    view.shard.waiting.get(ask.detail.requestId) !== ask ||
    mayYetGoElsewhere(view, ask)
  ) {
    return;
  }
  const byMs = spareMs > LAST_CALL_MS ? view.nowMs + spareMs : -Infinity;
  if (plan.promise(ask, byMs) || awaitsCancelled(view, ask)) {
    return;
  }
  const mayCancel = spareMs <= cancelMsOf(ask);
  const preemption = mayCancel ? plan.planVictims(ask) : undefined;
  if (preemption !== undefined) {
    shedBelowEverywhere(view, highestTierOf(preemption));
    const forWhom = describeAsk(ask);
    preemption.victims.forEach((grant) => preemptGrant(view, grant, forWhom));
    ask.lastPreemptionAtMs = view.nowMs;
    ask.reservation = {
      targetId: preemption.room.targetId,
      readyAtMs: view.nowMs,
    };
  } else if (spareMs < 0) {
    refuseLate(view, ask);
  }
}

/** A domain whose targets are slow must not shed for what others can serve. */
function mayYetGoElsewhere(view: ShardView, ask: WaitingAsk): boolean {
  return ask.detail.spreadOver > 1 &&
    view.nowMs - ask.arrivedAtMs < ELSEWHERE_MS;
}

function describeAsk({ detail }: WaitingAsk): string {
  return `${detail.requestId} of tier ${detail.tierRank}`;
}

function awaitsCancelled(view: ShardView, ask: WaitingAsk): boolean {
  const sinceMs = view.nowMs - (ask.lastPreemptionAtMs ?? -Infinity);
  return sinceMs < PREEMPTION_PATIENCE_MS;
}

/**
 * Refuses an ask that can no longer end in time. Whatever is lower goes first,
 * so that no lower tier is served while this one is refused.
 */
function refuseLate(view: ShardView, ask: WaitingAsk): void {
  const { tierRank } = ask.detail;
  if (ask.detail.spreadOver === 1) {
    shedBelow(view, tierRank);
  }
  refuseOverloaded(view, ask, "it can no longer end before its deadline");
}

/** Before work of a tier is cancelled, whatever is lower in reach gives way. */
function shedBelowEverywhere(view: ShardView, tierRank: number): void {
  shedBelow(view, tierRank);
  tellOtherShards(view, tierRank);
}

/**
 * Cancels and refuses what is below a tier, in this shard.
 *
 * @param view The shard.
 * @param tierRank The tier whose work is shed somewhere in reach.
 */
export function shedBelow(view: ShardView, tierRank: number): void {
  cancelBelow(view, tierRank);
  refuseLowerTiers(view, tierRank);
}

/**
 * Refuses waiting asks below a tier, the lowest first; a tier below which
 * streams that may be cancelled still run is left waiting.
 */
function refuseLowerTiers(view: ShardView, tierRank: number): void {
  const lower = waitingTiers(view.shard).filter((rank) => rank > tierRank);
  for (const rank of lower.reverse()) {
    if (runsPreemptible(view, rank)) {
      return;
    }
    for (const lane of lanesOfTier(view.shard, rank)) {
      for (const ask of [...lane.asks.values()]) {
        refuseOverloaded(view, ask, "a higher tier needs all the room");
      }
    }
  }
}

function runsPreemptible(view: ShardView, tierRank: number): boolean {
  return [...view.shard.grants.values()].some((grant) =>
    isPreemptible(view, grant, tierRank)
  );
}

/** A cheap test that spares most asks the exact one. */
function mayBeUrgent(
  view: ShardView,
  ask: WaitingAsk,
  longestQueueMs: number,
): boolean {
  const leastSpareMs = ask.deadlineAtMs - view.nowMs - ask.costMs -
    longestQueueMs;
  return leastSpareMs <= urgentMsOf(ask) && view.isHolderFresh(ask);
}

/** Time until the ask could no longer end in time on a target as it is now. */
function spareMsOf(view: ShardView, ask: WaitingAsk): number {
  let bestMs = Infinity;
  for (const room of view.rooms) {
    if (view.isPossible(room, ask)) {
      bestMs = Math.min(bestMs, view.predict(room, ask.detail).cautiousMs);
    }
  }
  return ask.deadlineAtMs - view.nowMs - bestMs;
}

/**
 * Time left at which streams are cancelled for an ask. An ask waits in several
 * domains; each begins after the nearer ones, lest all cancel for one ask.
 */
function cancelMsOf(ask: WaitingAsk): number {
  const { spreadIndex, spreadOver } = ask.detail;
  return urgentMsOf(ask) * (1 - spreadIndex / spreadOver);
}

function urgentMsOf(ask: WaitingAsk): number {
  const slackMs = latestStartMs(ask) - ask.arrivedAtMs;
  return Math.min(
    MAX_URGENT_MS,
    Math.max(MIN_URGENT_MS, slackMs * URGENT_SLACK_SHARE),
  );
}
