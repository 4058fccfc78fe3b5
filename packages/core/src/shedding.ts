/**
 * Sheds under overload, the lowest tier first.
 *
 * An ask is refused for overload only when nothing of a lower tier waits in
 * the shard and nothing of a lower tier that may be cancelled runs there.
 */

import { ErrorKind } from "@chestnuthatch/wire/shared_types";
import type { WaitingAsk } from "./blackboard.ts";
import { refuseAsk } from "./grant_account.ts";
import { refuseOverloaded } from "./overload_refusal.ts";
import { spreadRetryHint } from "./retry_hint.ts";
import {
  lanesOfTier,
  latestStartMs,
  orderLane,
  queuedWorkOf,
  waitingTiers,
} from "./shard_queue.ts";
import type { ShardView } from "./shard_view.ts";
import { serveUrgent } from "./urgent_asks.ts";
import { addWork, estimateWaitMs, NO_WORK } from "./wait_estimate.ts";

/** How often the whole queue is looked through for hopeless asks. */
const QUEUE_CHECK_MS = 200;

/**
 * Share of its slack that an ask may be expected to wait. What waits longer is
 * refused while the refusal is early, and what is served is not served at the
 * last moment, when a slow answer would waste it.
 */
const MAX_WAIT_SHARE = 0.8;
const WAIT_MARGIN_MS = 100;

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
  const own = queuedWorkOf(ask);
  const waitMs = estimateWaitMs(view, ask, {
    costMs: lane.costMs - own.costMs,
    kvTokenMs: lane.kvTokenMs - own.kvTokenMs,
    prefillMs: lane.prefillMs - own.prefillMs,
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
        ahead = addWork(ahead, queuedWorkOf(ask));
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
  if (waitMs <= slackMs * MAX_WAIT_SHARE + WAIT_MARGIN_MS) {
    return false;
  }
  const wait = Math.round(waitMs);
  refuseOverloaded(view, ask, `a wait of ${wait} ms is expected`);
  return true;
}

/** Whether nothing of a lower tier waits or runs in the shard. */
function isLowestPresent(view: ShardView, tierRank: number): boolean {
  return [...view.shard.lanes.values()].every((lane) =>
    lane.tierRank <= tierRank
  ) && [...view.shard.grants.values()].every((grant) =>
    grant.work.tierRank <= tierRank
  );
}
