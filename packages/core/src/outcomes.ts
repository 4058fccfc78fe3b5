/** How requests end, and what is kept of them afterwards. */

import { ErrorKind, RunState } from "@chestnuthatch/wire/work";
import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import { scopeKey } from "./admission.ts";
import { withdrawAsks } from "./ask_flow.ts";
import type { HeldRequest, WaitingCall } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { CounterName, EffectKind } from "./effects.ts";
import { keptAnswerOf } from "./kept_answer.ts";
import { learnOutputLength } from "./output_length.ts";
import {
  noteStep,
  type RefusalCause,
  refuseOneCall,
  refuseRequest,
} from "./refusals.ts";
import { type Answer, RequestState } from "./request.ts";

/** How long after its deadline an answer is still gathered for its key. */
const GATHER_BEYOND_MS = 60_000;

/** How long a finished request is kept for callers that ask again. */
const KEEP_FINISHED_MS = 60_000;
const FORGET_EVERY_MS = 1000;

/**
 * Tells whether a request has its final outcome.
 *
 * @param request The request.
 * @returns True once it is answered or refused.
 */
export function isFinished(request: HeldRequest): boolean {
  return request.state === RequestState.Answered ||
    request.state === RequestState.Refused;
}

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
  const cause: RefusalCause = {
    error: options.error,
    ran: runStateOf(request),
    message: options.message,
    retryAfterMs: request.policy.retryAfterMs,
  };
  if (request.calls.size > 1) {
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

/**
 * Tells how long an answer is gathered. One that will be kept for its key is
 * gathered beyond its callers' deadlines.
 *
 * @param turn The turn it happens in.
 * @param request A dispatched request.
 * @returns A duration in milliseconds, at least 1.
 */
export function answerTimeLeftMs(turn: Turn, request: HeldRequest): number {
  const beyondMs = request.claim === undefined ? 0 : GATHER_BEYOND_MS;
  return Math.max(1, request.deadlineAtMs - turn.nowMs) + beyondMs;
}

/**
 * Orders the target to stop a request's stream.
 *
 * @param turn The turn it happens in.
 * @param request A dispatched request.
 */
export function cancelAttempt(turn: Turn, request: HeldRequest): void {
  const attempt = request.attempt!;
  turn.emit({
    kind: EffectKind.CancelStream,
    requestId: request.spec.requestId,
    attemptNonce: attempt.attemptNonce,
    targetId: attempt.targetId,
  });
}

/**
 * Forgets finished requests that have been kept long enough.
 *
 * @param turn The turn of a tick.
 */
export function forgetOldRequests(turn: Turn): void {
  const { requests } = turn.board;
  if (turn.nowMs - requests.lastForgetAtMs < FORGET_EVERY_MS) {
    return;
  }
  requests.lastForgetAtMs = turn.nowMs;
  for (const request of requests.byId.values()) {
    const isOld = turn.nowMs - request.finishedAtMs >= KEEP_FINISHED_MS;
    if (isFinished(request) && isOld) {
      requests.byId.delete(request.spec.requestId);
      releaseKey(turn, request);
    }
  }
}

/**
 * Names an idempotency key within its workspace.
 *
 * @param workspace The workspace.
 * @param idempotencyKey The caller's key.
 * @returns The name used in the table, the object store and here.
 */
export function keyName(workspace: string, idempotencyKey: string): string {
  return `${encodeURIComponent(workspace)}/${
    encodeURIComponent(idempotencyKey)
  }`;
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

const NEARLY_DONE_SHARE = 0.8;

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

function keepAnswer(turn: Turn, request: HeldRequest, answer: Answer): void {
  const key = request.spec.idempotencyKey;
  if (key === undefined || request.claim === undefined) {
    return;
  }
  turn.emit({
    kind: EffectKind.KeepAnswer,
    requestId: request.spec.requestId,
    key: `answer/${keyName(request.spec.workspace, key)}`,
    content: keptAnswerOf(answer, request.spec.contentHash),
  });
}

function voidClaim(turn: Turn, request: HeldRequest): void {
  const { claim } = request;
  if (claim === undefined || claim.foundElsewhere !== undefined) {
    return;
  }
  turn.emit({
    kind: EffectKind.VoidClaim,
    requestId: request.spec.requestId,
    key: claim.key,
    row: claimRowOf(turn, request),
  });
}

/**
 * Writes a request's claim row.
 *
 * @param turn The turn, for who the holder is.
 * @param request The request.
 * @returns The row.
 */
export function claimRowOf(turn: Turn, request: HeldRequest) {
  return {
    nonce: request.nonce,
    holderId: turn.board.self.instanceId,
    holderIncarnation: turn.board.self.incarnation,
    requestId: request.spec.requestId,
    contentHash: request.spec.contentHash,
  };
}

function reportWorkDone(
  turn: Turn,
  request: HeldRequest,
  failed: boolean,
): void {
  const attempt = request.attempt!;
  const firstTokenAtMs = attempt.firstTokenAtMs || turn.nowMs;
  turn.send(attempt.coordinatorId, {
    kind: PeerMessageKind.WorkDone,
    requestId: request.spec.requestId,
    grantId: attempt.grantId,
    pool: request.spec.pool,
    failureDomain: attempt.failureDomain,
    targetId: attempt.targetId,
    failed,
    promptTokens: request.spec.promptTokens,
    cachedTokens: attempt.cachedTokens,
    outputTokens: attempt.tokensReceived,
    firstTokenMs: Math.max(0, firstTokenAtMs - attempt.sentAtMs),
    decodeMs: Math.max(0, turn.nowMs - firstTokenAtMs),
    blockHashes: [...request.spec.blockHashes],
  });
}

function countWaste(turn: Turn, request: HeldRequest): void {
  const { spec, attempt } = request;
  const read = Math.max(0, spec.promptTokens - (attempt?.cachedTokens ?? 0));
  turn.count(CounterName.PromptTokensWasted, { tier: spec.tier }, read);
}

function closeRequest(turn: Turn, request: HeldRequest): void {
  const { openByScope, unfinished } = turn.board.requests;
  unfinished.delete(request.spec.requestId);
  const key = scopeKey(request.spec);
  const open = (openByScope.get(key) ?? 1) - 1;
  if (open > 0) {
    openByScope.set(key, open);
  } else {
    openByScope.delete(key);
  }
  const refusal = request.outcome?.refusal;
  const mayRunAnew = refusal !== undefined &&
    (refusal.ran === RunState.NotRun || request.attempt === undefined ||
      request.idempotent);
  if (mayRunAnew) {
    releaseKey(turn, request);
  }
}

function releaseKey(turn: Turn, request: HeldRequest): void {
  const { byKey } = turn.board.requests;
  const { workspace, idempotencyKey, requestId } = request.spec;
  if (idempotencyKey === undefined) {
    return;
  }
  const name = keyName(workspace, idempotencyKey);
  if (byKey.get(name) === requestId) {
    byKey.delete(name);
  }
}
