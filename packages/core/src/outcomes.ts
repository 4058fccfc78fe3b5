/** Ends requests with an answer or a refusal; closes their asks and claims. */

import { type ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import { withdrawAsks } from "./ask_messages.ts";
import { cancelAttempt, countWastedTokens, sendWorkDone } from "./attempts.ts";
import type { HeldRequest, WaitingCall } from "./blackboard.ts";
import { keepAnswer, voidClaim } from "./claim_rows.ts";
import type { Turn } from "./controller.ts";
import { CounterName, EffectKind } from "./effects.ts";
import { closeRequest } from "./held_requests.ts";
import { recordOutputLength } from "./output_length.ts";
import {
  recordStep,
  type RefusalCause,
  refuseCallOfRequest,
  refuseRequest,
} from "./refusals.ts";
import { type Answer, RequestState } from "./request.ts";

/** Least share of the expected answer received to finish without callers. */
const MIN_SHARE_TO_FINISH = 0.8;

/**
 * Ends a request with a refusal: withdraws its asks, voids its claim if it did
 * not run, and reports a dispatched attempt as failed.
 *
 * @param turn The turn of the current event.
 * @param request The request.
 * @param cause Why it is refused.
 */
export function endWithRefusal(
  turn: Turn,
  request: HeldRequest,
  cause: RefusalCause,
): void {
  withdrawAsks(turn, request);
  if (request.attempt === undefined || cause.ran === RunState.NotRun) {
    voidClaim(turn, request);
  }
  if (request.attempt !== undefined) {
    sendWorkDone(turn, request, true);
    countWastedTokens(turn, request);
  }
  refuseRequest(turn, request, cause);
  closeRequest(turn, request);
}

/**
 * Ends a request with its complete answer.
 *
 * @param turn The turn of the current event.
 * @param request A dispatched request.
 * @param text The complete answer.
 */
export function endWithAnswer(
  turn: Turn,
  request: HeldRequest,
  text: string,
): void {
  const attempt = request.attempt!;
  const answer: Answer = {
    requestId: request.spec.requestId,
    text,
    outputTokens: attempt.tokensReceived,
    targetId: attempt.targetId,
    waitedMs: attempt.sentAtMs - request.arrivedAtMs,
    totalMs: turn.nowMs - request.arrivedAtMs,
  };
  recordStep(turn, request, `Answered whole by ${attempt.targetId}`);
  if (request.calls.size === 0) {
    countWastedTokens(turn, request);
  }
  answerCalls(turn, request, answer);
  keepAnswer(turn, request, answer);
  sendWorkDone(turn, request, false);
  recordOutputLength(
    turn.board.requests,
    { ...request.spec, maxOutputTokens: request.maxOutputTokens },
    answer.outputTokens,
  );
  closeRequest(turn, request);
}

/**
 * Ends a request with an answer that another holder kept for its key.
 *
 * @param turn The turn of the current event.
 * @param request A request that was not dispatched by this instance.
 * @param answer The kept answer.
 */
export function endWithKeptAnswer(
  turn: Turn,
  request: HeldRequest,
  answer: Answer,
): void {
  recordStep(turn, request, `Answered from the answer kept for its key`);
  answerCalls(turn, request, answer);
  closeRequest(turn, request);
}

/**
 * Answers one call under its own request id.
 *
 * @param turn The turn of the current event.
 * @param request The request that the call joined.
 * @param options Id of the call, and the request's answer.
 */
export function answerCall(
  turn: Turn,
  request: HeldRequest,
  options: { callId: string; answer: Answer },
): void {
  const { callId, answer } = options;
  const { tier, workspace } = request.spec;
  turn.count(CounterName.Answers, { tier, workspace });
  turn.emit({
    kind: EffectKind.AnswerCaller,
    requestId: callId,
    answer: { ...answer, requestId: callId },
  });
}

/**
 * Removes a caller whose deadline passed or who hung up. The request ends with
 * its last caller, unless it runs and is worth finishing.
 *
 * @param turn The turn of the current event.
 * @param request The request.
 * @param options The caller's call, and the error it is refused with.
 */
export function removeCaller(
  turn: Turn,
  request: HeldRequest,
  options: { call: WaitingCall; error: ErrorKind; message: string },
): void {
  // The request may still run for its other callers.
  const isShared = request.calls.size > 1;
  const cause: RefusalCause = {
    error: options.error,
    ran: isShared ? RunState.MayHaveRun : knownRunState(request),
    message: options.message,
    retryAfterMs: request.policy.retryAfterMs,
  };
  if (isShared) {
    refuseCallOfRequest(turn, request, { call: options.call, cause });
    return;
  }
  if (request.state !== RequestState.Dispatched) {
    endWithRefusal(turn, request, cause);
    return;
  }
  refuseCallOfRequest(turn, request, { call: options.call, cause });
  if (shouldRunToCompletion(request)) {
    recordStep(
      turn,
      request,
      "Nobody waits; the answer is gathered for its key",
    );
    return;
  }
  cancelAttempt(turn, request);
  endWithRefusal(turn, request, cause);
}

/**
 * Returns the run state that is certain for a request. Until its claim is
 * confirmed, an earlier call with its key may have run at another instance.
 *
 * @param request The request.
 * @returns `NotRun` only where it is certain that the request has not run.
 */
export function knownRunState(request: HeldRequest): RunState {
  const { attempt, claim, spec } = request;
  const keyMayHaveRun = claim !== undefined && !claim.held &&
    (!spec.firstAttempt || claim.conflictingRow !== undefined);
  const mayHaveRun = attempt !== undefined || keyMayHaveRun;
  return mayHaveRun ? RunState.MayHaveRun : RunState.NotRun;
}

/** A call of a service, and work that must not run twice, is not cancelled. */
function shouldRunToCompletion(request: HeldRequest): boolean {
  if (!request.isEngineStream || !request.idempotent) {
    return true;
  }
  const attempt = request.attempt!;
  const isNearlyDone = attempt.tokensReceived >=
    request.expectedOutputTokens * MIN_SHARE_TO_FINISH;
  return request.spec.idempotencyKey !== undefined && isNearlyDone;
}

function answerCalls(turn: Turn, request: HeldRequest, answer: Answer): void {
  for (const callId of request.calls.keys()) {
    answerCall(turn, request, { callId, answer });
    turn.board.requests.requestIdByJoinedCall.delete(callId);
  }
  request.calls.clear();
  request.state = RequestState.Answered;
  request.outcome = { answer };
  request.finishedAtMs = turn.nowMs;
}
