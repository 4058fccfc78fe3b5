/** How requests end, and what is kept of them afterwards. */

import { type ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import { withdrawAsks } from "./ask_messages.ts";
import { cancelAttempt, countWaste, reportWorkDone } from "./attempts.ts";
import type { HeldRequest, WaitingCall } from "./blackboard.ts";
import { keepAnswer, voidClaim } from "./claim_rows.ts";
import type { Turn } from "./controller.ts";
import { CounterName, EffectKind } from "./effects.ts";
import { closeRequest } from "./held_requests.ts";
import { learnOutputLength } from "./output_length.ts";
import {
  noteStep,
  type RefusalCause,
  refuseOneCall,
  refuseRequest,
} from "./refusals.ts";
import { type Answer, RequestState } from "./request.ts";

/** Share of the expected answer from which a stream is worth finishing. */
const NEARLY_DONE_SHARE = 0.8;

/**
 * Ends a request with a refusal, and everything that was begun for it.
 *
 * @param turn The turn it happens in.
 * @param request The request.
 * @param cause Why it is refused.
 */
export function endRequest(
  turn: Turn,
  request: HeldRequest,
  cause: RefusalCause,
): void {
  withdrawAsks(turn, request);
  if (request.attempt === undefined || cause.ran === RunState.NotRun) {
    voidClaim(turn, request);
  }
  if (request.attempt !== undefined) {
    reportWorkDone(turn, request, true);
    countWaste(turn, request);
  }
  refuseRequest(turn, request, cause);
  closeRequest(turn, request);
}

/**
 * Ends a request with its whole answer.
 *
 * @param turn The turn it happens in.
 * @param request A dispatched request.
 * @param text The whole answer.
 */
export function deliverAnswer(
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
  noteStep(turn, request, `Answered whole by ${attempt.targetId}`);
  if (request.calls.size === 0) {
    countWaste(turn, request);
  }
  answerCalls(turn, request, answer);
  keepAnswer(turn, request, answer);
  reportWorkDone(turn, request, false);
  learnOutputLength(
    turn.board.requests,
    { ...request.spec, maxOutputTokens: request.maxOutputTokens },
    answer.outputTokens,
  );
  closeRequest(turn, request);
}

/**
 * Ends a request with an answer that another holder kept for its key.
 *
 * @param turn The turn it happens in.
 * @param request A request that never was dispatched here.
 * @param answer The kept answer.
 */
export function deliverKeptAnswer(
  turn: Turn,
  request: HeldRequest,
  answer: Answer,
): void {
  noteStep(turn, request, `Answered from the answer kept for its key`);
  answerCalls(turn, request, answer);
  closeRequest(turn, request);
}

/**
 * Answers one call, in the words of that call.
 *
 * @param turn The turn it happens in.
 * @param request The request that the call joined.
 * @param options The call, and the request's answer.
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
 * Takes a caller away whose time is over or who has gone; the request ends
 * when nobody waits for it and its work may be given up.
 *
 * @param turn The turn it happens in.
 * @param request The request.
 * @param options The caller, and why it goes.
 */
export function dropCaller(
  turn: Turn,
  request: HeldRequest,
  options: { call: WaitingCall; error: ErrorKind; message: string },
): void {
  // For the others that wait for it, the request may still run.
  const isShared = request.calls.size > 1;
  const cause: RefusalCause = {
    error: options.error,
    ran: isShared ? RunState.MayHaveRun : runStateOf(request),
    message: options.message,
    retryAfterMs: request.policy.retryAfterMs,
  };
  if (isShared) {
    refuseOneCall(turn, request, { call: options.call, cause });
    return;
  }
  if (request.state !== RequestState.Dispatched) {
    endRequest(turn, request, cause);
    return;
  }
  refuseOneCall(turn, request, { call: options.call, cause });
  if (isWorthFinishing(request)) {
    noteStep(turn, request, "Nobody waits; the answer is gathered for its key");
    return;
  }
  cancelAttempt(turn, request);
  endRequest(turn, request, cause);
}

/**
 * Tells truthfully whether a request ran. A request with a claim is its key:
 * until the claim is ours, an earlier call at another instance may have run.
 *
 * @param request The request.
 * @returns What its callers may rely on now.
 */
export function runStateOf(request: HeldRequest): RunState {
  const { attempt, claim, spec } = request;
  const keyInDoubt = claim !== undefined && !claim.held &&
    (!spec.firstAttempt || claim.foundElsewhere !== undefined);
  const inDoubt = attempt !== undefined || keyInDoubt;
  return inDoubt ? RunState.MayHaveRun : RunState.NotRun;
}

function isWorthFinishing(request: HeldRequest): boolean {
  if (!request.streams || !request.idempotent) {
    return true;
  }
  const attempt = request.attempt!;
  const nearlyDone = attempt.tokensReceived >=
    request.expectedOutputTokens * NEARLY_DONE_SHARE;
  return request.spec.idempotencyKey !== undefined && nearlyDone;
}

function answerCalls(turn: Turn, request: HeldRequest, answer: Answer): void {
  for (const callId of request.calls.keys()) {
    answerCall(turn, request, { callId, answer });
    turn.board.requests.joined.delete(callId);
  }
  request.calls.clear();
  request.state = RequestState.Answered;
  request.outcome = { answer };
  request.finishedAtMs = turn.nowMs;
}
