/** Claims: a non-idempotent request with a key runs under a row of its own. */

import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import { startAsking } from "./ask_flow.ts";
import type { HeldRequest } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { isAlive } from "./coordinators.ts";
import { EffectKind } from "./effects.ts";
import { ClaimOutcome, type EventKind, type EventOf } from "./events.ts";
import { readKeptAnswer } from "./kept_answer.ts";
import { answerKeyOf, claimKeyOf, claimRowOf } from "./claim_rows.ts";
import { deliverKeptAnswer, endRequest, runStateOf } from "./outcomes.ts";
import { noteStep } from "./refusals.ts";
import { RequestState } from "./request.ts";
import { spreadRetryHint } from "./retry_hint.ts";

/** How often the other holder's answer is looked for. */
const LOOK_AGAIN_MS = 500;

const HANDLER_BY_OUTCOME: Record<
  ClaimOutcome,
  (
    event: EventOf<EventKind.ClaimAnswered>,
    turn: Turn,
    request: HeldRequest,
  ) => void
> = {
  [ClaimOutcome.Held]: onHeld,
  [ClaimOutcome.HeldElsewhere]: onHeldElsewhere,
  [ClaimOutcome.Unknown]: (_event, turn, request) =>
    refuseStoreAway(turn, request),
};

/**
 * Asks the platform's table for the request's claim row.
 *
 * @param turn The turn it happens in.
 * @param request A request with an idempotency key.
 */
export function startClaim(turn: Turn, request: HeldRequest): void {
  const { requestId } = request.spec;
  const key = claimKeyOf(request.spec);
  request.claim = { key, askedAtMs: turn.nowMs, held: false };
  turn.emit({
    kind: EffectKind.WriteClaim,
    requestId,
    key,
    row: claimRowOf(turn, request),
  });
}

/**
 * Handles what became of a claim.
 *
 * @param event How the write or its read-back ended.
 * @param turn The turn it happens in.
 */
export function onClaimAnswered(
  event: EventOf<EventKind.ClaimAnswered>,
  turn: Turn,
): void {
  const request = claimingRequest(turn, event.requestId);
  if (request !== undefined) {
    HANDLER_BY_OUTCOME[event.outcome](event, turn, request);
  }
}

/**
 * Handles what the object store has for a key that another holder claimed.
 *
 * @param event What was read.
 * @param turn The turn it happens in.
 */
export function onKeptAnswerRead(
  event: EventOf<EventKind.KeptAnswerRead>,
  turn: Turn,
): void {
  const request = claimingRequest(turn, event.requestId);
  const row = request?.claim?.foundElsewhere;
  if (request === undefined || row === undefined) {
    return;
  }
  const kept = event.content === undefined
    ? undefined
    : readKeptAnswer(event.content);
  if (kept !== undefined && kept.contentHash === request.spec.contentHash) {
    deliverKeptAnswer(turn, request, kept.answer);
    return;
  }
  const holder = turn.board.members.byId.get(row.holderId);
  const holderLives = holder !== undefined &&
    holder.incarnation === row.holderIncarnation &&
    isAlive(turn.board, holder, turn.nowMs);
  if (holderLives || event.unavailable) {
    request.claim!.lookAgainAtMs = turn.nowMs + LOOK_AGAIN_MS;
    return;
  }
  refuseHeldElsewhere(turn, request);
}

/**
 * Looks after a request that waits for its claim.
 *
 * @param turn The turn of a tick.
 * @param request A request in the Claiming state.
 */
export function tendClaim(turn: Turn, request: HeldRequest): void {
  const claim = request.claim!;
  const waitedMs = turn.nowMs - claim.askedAtMs;
  if (
    claim.foundElsewhere === undefined && waitedMs >= request.policy.claimWaitMs
  ) {
    refuseStoreAway(turn, request);
    return;
  }
  if (
    claim.lookAgainAtMs !== undefined && turn.nowMs >= claim.lookAgainAtMs
  ) {
    claim.lookAgainAtMs = undefined;
    lookForKeptAnswer(turn, request);
  }
}

function onHeld(
  _event: EventOf<EventKind.ClaimAnswered>,
  turn: Turn,
  request: HeldRequest,
): void {
  request.claim!.held = true;
  request.state = RequestState.Waiting;
  noteStep(turn, request, "Claim held");
  startAsking(turn, request);
}

function onHeldElsewhere(
  event: EventOf<EventKind.ClaimAnswered>,
  turn: Turn,
  request: HeldRequest,
): void {
  const found = event.found;
  if (found === undefined) {
    refuseStoreAway(turn, request);
    return;
  }
  request.claim!.foundElsewhere = found;
  if (found.contentHash !== request.spec.contentHash) {
    endRequest(turn, request, {
      error: ErrorKind.KeyReusedDifferently,
      ran: RunState.NotRun,
      path: "idempotencyKey",
      message:
        "This idempotency key belongs to a request with other content; use a new key.",
    });
    return;
  }
  noteStep(turn, request, `Claim held by ${found.holderId}`);
  lookForKeptAnswer(turn, request);
}

function lookForKeptAnswer(turn: Turn, request: HeldRequest): void {
  turn.emit({
    kind: EffectKind.ReadKeptAnswer,
    requestId: request.spec.requestId,
    key: answerKeyOf(request.spec),
  });
}

function refuseStoreAway(turn: Turn, request: HeldRequest): void {
  endRequest(turn, request, {
    error: ErrorKind.StoreUnavailable,
    ran: runStateOf(request),
    message:
      "The platform's table did not confirm the claim that keeps this request from running twice; this call was not run. Send it again with the same key.",
    retryAfterMs: spreadRetryHint(turn, request.policy.retryAfterMs),
  });
}

function refuseHeldElsewhere(turn: Turn, request: HeldRequest): void {
  const row = request.claim!.foundElsewhere!;
  endRequest(turn, request, {
    error: ErrorKind.ClaimHeldElsewhere,
    ran: RunState.MayHaveRun,
    message:
      `${row.holderId} claimed this key as ${row.requestId} and is gone; no answer was kept. Check by other means whether it ran.`,
    retryAfterMs: spreadRetryHint(turn, request.policy.retryAfterMs),
  });
}

function claimingRequest(
  turn: Turn,
  requestId: string,
): HeldRequest | undefined {
  const request = turn.board.requests.byId.get(requestId);
  return request?.state === RequestState.Claiming ? request : undefined;
}
