/** Refuses an ask for overload, with a hint that grows with the backlog. */

import { ErrorKind } from "@chestnuthatch/wire/shared_types";
import type { WaitingAsk } from "./blackboard.ts";
import { refuseAsk } from "./grant_account.ts";
import { spreadRetryHint } from "./retry_hint.ts";
import { lanesOfTier, type QueuedWork } from "./shard_queue.ts";
import { holdGrantsBelow, raiseFloor } from "./shed_floor.ts";
import type { ShardView } from "./shard_view.ts";
import { estimateWaitMs, NO_WORK } from "./wait_estimate.ts";

/**
 * Refuses an ask for overload.
 *
 * @param view The shard.
 * @param ask The ask.
 * @param reason Why, in words.
 */
export function refuseOverloaded(
  view: ShardView,
  ask: WaitingAsk,
  reason: string,
): void {
  if (ask.detail.spreadOver === 1) {
    raiseFloor(view, ask.detail.tierRank);
  } else {
    holdGrantsBelow(view, ask.detail.tierRank);
  }
  const { retryAfterMs } = view.policyOf(ask.detail);
  const backlogMs = estimateWaitMs(view, ask, backlogOf(view, ask));
  const hintMs = Number.isFinite(backlogMs) ? backlogMs : 0;
  refuseAsk(view, ask, {
    error: ErrorKind.Overloaded,
    retryAfterMs: spreadRetryHint(view.turn, Math.max(retryAfterMs, hintMs)),
    reason,
  });
}

function backlogOf(view: ShardView, ask: WaitingAsk): QueuedWork {
  const { tierRank, workspace } = ask.detail;
  return lanesOfTier(view.shard, tierRank)
    .find((lane) => lane.workspace === workspace) ?? NO_WORK;
}
