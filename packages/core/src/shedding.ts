/**
 * Sheds under overload, the lowest tier first.
 *
 * An ask is refused for overload only when nothing of a lower tier waits in
 * the shard and nothing of a lower tier that may be cancelled runs there.
 */

import { ErrorKind } from "@chestnuthatch/wire/work";
import type { WaitingAsk } from "./blackboard.ts";
import { preemptGrant, refuseAsk } from "./grant_account.ts";
import { isPreemptible, RoomPlan } from "./preemption.ts";
import { spreadRetryHint } from "./retry_hint.ts";
import {
  lanesOfTier,
  latestStartMs,
  orderLane,
  waitingTiers,
} from "./shard_queue.ts";
import type { ShardView } from "./shard_view.ts";
import {
  addWork,
  estimateWaitMs,
  NO_WORK,
  type WorkAhead,
  workOf,
} from "./wait_estimate.ts";

/** How long before its latest start an ask becomes urgent, as a slack share. */
const URGENT_SLACK_SHARE = 0.25;
const MIN_URGENT_MS = 250;
const MAX_URGENT_MS = 2000;

/** Within this time only room that is free or being freed counts. */
const LAST_CALL_MS = 200;

/** How often the whole queue is looked through for hopeless asks. */
const QUEUE_CHECK_MS = 200;

/** A predicted wait is clearly too long beyond the slack by this much. */
const CLEAR_FACTOR = 1.25;
const CLEAR_MARGIN_MS = 100;

/**
 * Sheds what cannot be served, after everything was placed that could be.
 *
 * @param view The shard.
 */
export function shedOverload(view: ShardView): void {
  refuseWhereNothingLives(view);
  serveUrgent(view);
  if (view.nowMs >= view.shard.nextQueueCheckMs) {
    view.shard.nextQueueCheckMs = view.nowMs + QUEUE_CHECK_MS;
    refuseHopelessOfLowestTier(view);
  }
}

/**
 * Refuses an ask on arrival where that is truthful already.
 *
 * @param view The shard.
 * @param ask The ask, which waits in the shard.
 * @returns Whether it was refused.
 */
export function refuseAtDoor(view: ShardView, ask: WaitingAsk): boolean {
  const lane = lanesOfTier(view.shard, ask.detail.tierRank)
    .find((each) => each.workspace === ask.detail.workspace);
  if (lane === undefined || !isLowestPresent(view, ask.detail.tierRank)) {
    return false;
  }
  const own = workOf(ask);
  const waitMs = estimateWaitMs(view, ask, {
    costMs: lane.costMs - own.costMs,
    kvTokenMs: lane.kvTokenMs - own.kvTokenMs,
  });
  return refuseIfHopeless(view, ask, waitMs);
}

/**
 * Refuses an ask that this shard could not serve even when idle.
 *
 * @param view The shard.
 * @param ask The ask; it need not wait yet.
 * @returns Whether it was refused.
 */
export function refuseUnservable(view: ShardView, ask: WaitingAsk): boolean {
  const { retryAfterMs } = view.policyOf(ask.detail);
  const hintMs = spreadRetryHint(view.turn, retryAfterMs);
  if (!view.rooms.some((room) => view.isPossible(room, ask))) {
    refuseAsk(view, ask, {
      error: ErrorKind.NoTarget,
      retryAfterMs: hintMs,
      reason: `no live target of ${view.shard.pool} in ` +
        `${view.shard.failureDomain} can hold it`,
    });
    return true;
  }
  if (view.nowMs > latestStartMs(ask)) {
    refuseAsk(view, ask, {
      error: ErrorKind.DeadlineUnreachable,
      retryAfterMs: hintMs,
      reason: `an idle target would need ${Math.round(ask.idleServiceMs)} ms`,
    });
    return true;
  }
  return false;
}

function refuseWhereNothingLives(view: ShardView): void {
  for (const ask of [...view.shard.waiting.values()]) {
    if (!view.rooms.some((room) => view.isPossible(room, ask))) {
      refuseUnservable(view, ask);
    }
  }
}

function serveUrgent(view: ShardView): void {
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
  if (view.shard.waiting.get(ask.detail.requestId) !== ask) {
    return;
  }
  const byMs = spareMs > LAST_CALL_MS ? view.nowMs + spareMs : -Infinity;
  if (plan.promise(ask, byMs)) {
    return;
  }
  const preemption = plan.planVictims(ask);
  if (preemption !== undefined) {
    refuseLowerTiers(view, ask.detail.tierRank);
    preemption.victims.forEach((grant) => preemptGrant(view, grant));
    ask.reservation = {
      targetId: preemption.room.targetId,
      readyAtMs: view.nowMs,
    };
  } else if (spareMs < 0) {
    refuseLate(view, ask);
  }
}

/**
 * Refuses an ask that can no longer end in time. Whatever is lower goes first,
 * so that no lower tier is served while this one is refused.
 */
function refuseLate(view: ShardView, ask: WaitingAsk): void {
  const { tierRank } = ask.detail;
  refuseLowerTiers(view, tierRank);
  for (const grant of view.shard.grants.values()) {
    if (isPreemptible(view, grant, tierRank)) {
      preemptGrant(view, grant);
    }
  }
  refuseOverloaded(view, ask, "it can no longer end before its deadline");
}

function refuseLowerTiers(view: ShardView, tierRank: number): void {
  const lower = waitingTiers(view.shard).filter((rank) => rank > tierRank);
  for (const rank of lower.reverse()) {
    for (const lane of lanesOfTier(view.shard, rank)) {
      for (const ask of [...lane.asks.values()]) {
        refuseOverloaded(view, ask, "a higher tier needs all the room");
      }
    }
  }
}

function refuseHopelessOfLowestTier(view: ShardView): void {
  const tierRank = waitingTiers(view.shard).at(-1);
  if (tierRank === undefined || !isLowestPresent(view, tierRank)) {
    return;
  }
  for (const lane of lanesOfTier(view.shard, tierRank)) {
    let ahead = NO_WORK;
    for (const ask of orderLane(lane, view.nowMs)) {
      const waitMs = estimateWaitMs(view, ask, ahead);
      if (!refuseIfHopeless(view, ask, waitMs)) {
        ahead = addWork(ahead, workOf(ask));
      }
    }
  }
}

function refuseIfHopeless(
  view: ShardView,
  ask: WaitingAsk,
  waitMs: number,
): boolean {
  const slackMs = Math.max(0, ask.deadlineAtMs - view.nowMs - ask.costMs);
  if (waitMs <= slackMs * CLEAR_FACTOR + CLEAR_MARGIN_MS) {
    return false;
  }
  const wait = Math.round(waitMs);
  refuseOverloaded(view, ask, `a wait of ${wait} ms is expected`);
  return true;
}

function refuseOverloaded(
  view: ShardView,
  ask: WaitingAsk,
  reason: string,
): void {
  const { retryAfterMs } = view.policyOf(ask.detail);
  const backlogMs = estimateWaitMs(view, ask, backlogOf(view, ask));
  const hintMs = Number.isFinite(backlogMs) ? backlogMs : 0;
  refuseAsk(view, ask, {
    error: ErrorKind.Overloaded,
    retryAfterMs: spreadRetryHint(view.turn, Math.max(retryAfterMs, hintMs)),
    reason,
  });
}

function backlogOf(view: ShardView, ask: WaitingAsk): WorkAhead {
  const { tierRank, workspace } = ask.detail;
  return lanesOfTier(view.shard, tierRank)
    .find((lane) => lane.workspace === workspace) ?? NO_WORK;
}

/** Whether nothing of a lower tier waits or runs in the shard. */
function isLowestPresent(view: ShardView, tierRank: number): boolean {
  return [...view.shard.lanes.values()].every((lane) =>
    lane.tierRank <= tierRank
  ) && [...view.shard.grants.values()].every((grant) =>
    grant.work.tierRank <= tierRank
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
      bestMs = Math.min(bestMs, view.predict(room, ask.detail).totalMs);
    }
  }
  return ask.deadlineAtMs - view.nowMs - bestMs;
}

function urgentMsOf(ask: WaitingAsk): number {
  const slackMs = latestStartMs(ask) - ask.arrivedAtMs;
  return Math.min(
    MAX_URGENT_MS,
    Math.max(MIN_URGENT_MS, slackMs * URGENT_SLACK_SHARE),
  );
}
