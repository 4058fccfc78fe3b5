/** Which of several coordinators' refusals a caller is told. */

import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import type { HeldRequest } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { endRequest } from "./outcomes.ts";
import { spreadRetryHint } from "./retry_hint.ts";

/**
 * Tells every domain that refused a request that it is now refused for good:
 * no lower tier may be served instead. A single domain's refusal is not yet
 * one, since another may still serve the request.
 */
function shedBelow(turn: Turn, request: HeldRequest): void {
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

/** Errors in the order in which they explain a refusal best. */
const TELLING_ERRORS: readonly ErrorKind[] = [
  ErrorKind.Overloaded,
  ErrorKind.DeadlineUnreachable,
  ErrorKind.NoTarget,
];

/**
 * Refuses a request for the reasons that its coordinators gave.
 *
 * @param turn The turn it happens in.
 * @param request A request whose asks were all refused.
 */
export function refuseForAsks(turn: Turn, request: HeldRequest): void {
  const refusals = [...request.asks.values()].flatMap((ask) =>
    ask.refusal === undefined ? [] : [ask.refusal]
  );
  const error =
    TELLING_ERRORS.find((kind) =>
      refusals.some((refusal) => refusal.error === kind)
    ) ?? ErrorKind.NoTarget;
  if (error === ErrorKind.Overloaded) {
    shedBelow(turn, request);
  }
  const telling = refusals.filter((refusal) => refusal.error === error);
  const hints = telling.map((refusal) => refusal.retryAfterMs);
  endRequest(turn, request, {
    error,
    ran: RunState.NotRun,
    message: telling[0]?.reason ??
      `Pool ${request.spec.pool} has no target within reach.`,
    retryAfterMs: hints.length > 0
      ? Math.min(...hints)
      : spreadRetryHint(turn, request.policy.retryAfterMs),
  });
}
