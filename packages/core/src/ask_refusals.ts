/**
 * The refusal of a request whose asks were all refused: which of the
 * coordinators' errors the caller receives.
 */

import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import type { HeldRequest } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { endWithRefusal } from "./outcomes.ts";
import { jitteredRetryAfterMs } from "./retry_hint.ts";

/**
 * Orders every domain that refused a request to shed all lower tiers, since no
 * lower tier may be served in place of the request. A single domain's refusal
 * does not cause this, since another domain may still serve the request.
 */
function sendShedBelow(turn: Turn, request: HeldRequest): void {
  const lowestRank = turn.board.settings.inForce!.tiers.length - 1;
  const tierRank = request.policy.rank;
  if (tierRank >= lowestRank) {
    return;
  }
  for (const { coordinatorId, failureDomain } of request.asks.values()) {
    if (coordinatorId !== "") {
      const { pool } = request.spec;
      turn.send(coordinatorId, {
        kind: PeerMessageKind.ShedBelow,
        pool,
        failureDomain,
        tierRank,
      });
    }
  }
}

/** Errors of refused asks by precedence: the first that occurs is reported. */
const ERRORS_BY_PRECEDENCE: readonly ErrorKind[] = [
  ErrorKind.Overloaded,
  ErrorKind.DeadlineUnreachable,
  ErrorKind.NoTarget,
];

/**
 * Ends a request with the error, reason and shortest retry hint of the asks
 * that coordinators refused.
 *
 * @param turn The turn of the current event.
 * @param request The request, all of whose asks were refused.
 */
export function endWithAskRefusals(turn: Turn, request: HeldRequest): void {
  const refusals = [...request.asks.values()].flatMap((ask) =>
    ask.refusal === undefined ? [] : [ask.refusal]
  );
  const error =
    ERRORS_BY_PRECEDENCE.find((kind) =>
      refusals.some((refusal) => refusal.error === kind)
    ) ?? ErrorKind.NoTarget;
  if (error === ErrorKind.Overloaded) {
    sendShedBelow(turn, request);
  }
  const reported = refusals.filter((refusal) => refusal.error === error);
  const retryHintsMs = reported.map((refusal) => refusal.retryAfterMs);
  endWithRefusal(turn, request, {
    error,
    ran: RunState.NotRun,
    message: reported[0]?.reason ??
      `Pool ${request.spec.pool} has no target within reach.`,
    retryAfterMs: retryHintsMs.length > 0
      ? Math.min(...retryHintsMs)
      : jitteredRetryAfterMs(turn, request.policy.retryAfterMs),
  });
}
