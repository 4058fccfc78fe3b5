/** Refusals for overload, whose retry hint grows with the backlog. */

import { ErrorKind } from "@chestnuthatch/wire/shared_types";
import type { WaitingAsk } from "./blackboard.ts";
import { refuseAsk } from "./grant_lifecycle.ts";
import { jitteredRetryAfterMs } from "./retry_hint.ts";
import { type QueuedWork, queuesOfTier } from "./shard_queue.ts";
import { holdGrantsBelow, raiseFloor } from "./shed_floor.ts";
import type { ShardView } from "./shard_view.ts";
import { estimateWaitMs, NO_WORK } from "./wait_estimate.ts";

/**
 * Refuses an ask for overload, and keeps lower tiers from being served instead:
 * an ask sent to this shard only raises the shard's floor, one sent to several
 * domains holds back grants until the others have decided.
 *
 * @param view The shard that was asked.
 * @param ask The ask to refuse.
 * @param reason Explanation for the caller.
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
    retryAfterMs: jitteredRetryAfterMs(
      view.turn,
      Math.max(retryAfterMs, hintMs),
    ),
    reason,
  });
}

function backlogOf(view: ShardView, ask: WaitingAsk): QueuedWork {
  const { tierRank, workspace } = ask.detail;
  return queuesOfTier(view.shard, tierRank)
    .find((queue) => queue.workspace === workspace) ?? NO_WORK;
}
