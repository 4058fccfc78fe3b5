/**
 * Claims of idempotency keys: a request that must not run twice waits until a
 * row in the platform's table confirms that its key is its own.
 */

import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import { startAsking } from "./ask_flow.ts";
import type { HeldRequest } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { isAlive } from "./coordinators.ts";
import { EffectKind } from "./effects.ts";
import { ClaimOutcome, type EventKind, type EventOf } from "./events.ts";
import { parseKeptAnswer } from "./kept_answer.ts";
import { buildClaimRow, claimRowKey, keptAnswerKey } from "./claim_rows.ts";
import {
  endWithKeptAnswer,
  endWithRefusal,
  knownRunState,
} from "./outcomes.ts";
import { recordStep } from "./refusals.ts";
import { RequestState } from "./request.ts";
import { jitteredRetryAfterMs } from "./retry_hint.ts";

/** Interval between reads of the answer that another holder may keep. */
const ANSWER_READ_INTERVAL_MS = 500;

const HANDLER_BY_OUTCOME: Record<
  ClaimOutcome,
  (
    event: EventOf<EventKind.ClaimAnswered>,
    turn: Turn,
    request: HeldRequest,
  ) => void
> = {
  [ClaimOutcome.Held]: onClaimHeld,
  [ClaimOutcome.HeldElsewhere]: onClaimHeldElsewhere,
  [ClaimOutcome.Unknown]: (_event, turn, request) =>
    refuseStoreUnavailable(turn, request),
};

/**
 * Requests the write of a request's claim row in the platform's table.
 *
 * @param turn The turn of the current event.
 * @param request A request with an idempotency key.
 */
export function startClaim(turn: Turn, request: HeldRequest): void {
  const { requestId } = request.spec;
  const key = claimRowKey(request.spec);
  request.claim = { key, requestedAtMs: turn.nowMs, held: false };
  turn.emit({
    kind: EffectKind.WriteClaim,
    requestId,
    key,
    row: buildClaimRow(turn, request),
  });
}

/**
 * Handles the result of writing a claim row.
 *
 * @param event Result of the write, or of reading the row back.
 * @param turn The turn of the current event.
 */
export function onClaimAnswered(
  event: EventOf<EventKind.ClaimAnswered>,
  turn: Turn,
): void {
  const request = findClaimingRequest(turn, event.requestId);
  if (request !== undefined) {
    HANDLER_BY_OUTCOME[event.outcome](event, turn, request);
  }
}

/**
 * Handles a read of the answer kept for a key that another holder claimed:
 * delivers the answer, reads again while that holder may still keep one, or
 * refuses the request.
 *
 * @param event The kept answer, if the object store has one.
 * @param turn The turn of the current event.
 */
export function onKeptAnswerRead(
  event: EventOf<EventKind.KeptAnswerRead>,
  turn: Turn,
): void {
  const request = findClaimingRequest(turn, event.requestId);
  const row = request?.claim?.conflictingRow;
  if (request === undefined || row === undefined) {
    return;
  }
  const keptAnswer = event.content === undefined
    ? undefined
    : parseKeptAnswer(event.content);
  if (
    keptAnswer !== undefined &&
    keptAnswer.contentHash === request.spec.contentHash
  ) {
    endWithKeptAnswer(turn, request, keptAnswer.answer);
    return;
  }
  const holder = turn.board.members.byId.get(row.holderId);
  const isHolderAlive = holder !== undefined &&
    holder.incarnation === row.holderIncarnation &&
    isAlive(turn.board, holder, turn.nowMs);
  if (isHolderAlive || event.unavailable) {
    request.claim!.nextAnswerReadAtMs = turn.nowMs + ANSWER_READ_INTERVAL_MS;
    return;
  }
  refuseHeldElsewhere(turn, request);
}

/**
 * Checks a request that waits for its claim: refuses it when the write of the
 * row timed out, and reads the other holder's answer again when that is due.
 *
 * @param turn The turn of a tick event.
 * @param request A request in the Claiming state.
 */
export function checkClaim(turn: Turn, request: HeldRequest): void {
  const claim = request.claim!;
  const waitedMs = turn.nowMs - claim.requestedAtMs;
  if (
    claim.conflictingRow === undefined && waitedMs >= request.policy.claimWaitMs
  ) {
    refuseStoreUnavailable(turn, request);
    return;
  }
  if (
    claim.nextAnswerReadAtMs !== undefined &&
    turn.nowMs >= claim.nextAnswerReadAtMs
  ) {
    claim.nextAnswerReadAtMs = undefined;
    requestKeptAnswer(turn, request);
  }
}

function onClaimHeld(
  _event: EventOf<EventKind.ClaimAnswered>,
  turn: Turn,
  request: HeldRequest,
): void {
  request.claim!.held = true;
  request.state = RequestState.Waiting;
  recordStep(turn, request, "Claim held");
  startAsking(turn, request);
}

function onClaimHeldElsewhere(
  event: EventOf<EventKind.ClaimAnswered>,
  turn: Turn,
  request: HeldRequest,
): void {
  const found = event.found;
  if (found === undefined) {
    refuseStoreUnavailable(turn, request);
    return;
  }
  request.claim!.conflictingRow = found;
  if (found.contentHash !== request.spec.contentHash) {
    endWithRefusal(turn, request, {
      error: ErrorKind.KeyReusedDifferently,
      ran: RunState.NotRun,
      path: "idempotencyKey",
      message:
        "This idempotency key belongs to a request with other content; use a new key.",
    });
    return;
  }
  recordStep(turn, request, `Claim held by ${found.holderId}`);
  requestKeptAnswer(turn, request);
}

function requestKeptAnswer(turn: Turn, request: HeldRequest): void {
  turn.emit({
    kind: EffectKind.ReadKeptAnswer,
    requestId: request.spec.requestId,
    key: keptAnswerKey(request.spec),
  });
}

function refuseStoreUnavailable(turn: Turn, request: HeldRequest): void {
  endWithRefusal(turn, request, {
    error: ErrorKind.StoreUnavailable,
    ran: knownRunState(request),
    message:
      "The platform's table did not confirm the claim that keeps this request from running twice; this call was not run. Send it again with the same key.",
    retryAfterMs: jitteredRetryAfterMs(turn, request.policy.retryAfterMs),
  });
}

function refuseHeldElsewhere(turn: Turn, request: HeldRequest): void {
  const row = request.claim!.conflictingRow!;
  endWithRefusal(turn, request, {
    error: ErrorKind.ClaimHeldElsewhere,
    ran: RunState.MayHaveRun,
    message:
      `${row.holderId} claimed this key as ${row.requestId} and is gone; no answer was kept. Check by other means whether it ran.`,
    retryAfterMs: jitteredRetryAfterMs(turn, request.policy.retryAfterMs),
  });
}

function findClaimingRequest(
  turn: Turn,
  requestId: string,
): HeldRequest | undefined {
  const request = turn.board.requests.byId.get(requestId);
  return request?.state === RequestState.Claiming ? request : undefined;
}
