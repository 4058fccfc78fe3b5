/**
 * Receives a target's answer and resumes its stream after a failure. A request
 * is answered with a complete answer or refused.
 */

import {
  type EngineEvent,
  EngineEventKind,
} from "@chestnuthatch/wire/target_protocol";
import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import type { Attempt, HeldRequest } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { CounterName, EffectKind } from "./effects.ts";
import type { AttemptRef, EventKind, EventOf } from "./events.ts";
import { answerTimeLeftMs } from "./attempts.ts";
import { endWithAnswer, endWithRefusal } from "./outcomes.ts";
import { recordStep } from "./refusals.ts";
import { RequestState } from "./request.ts";
import { jitteredRetryAfterMs } from "./retry_hint.ts";

/**
 * Backoff delays before each resume of a broken stream on the same target. The
 * last one repeats until the deadline, since a network failure may last long.
 */
const RESUME_DELAYS_MS: readonly number[] = [0, 250, 1000, 2000, 4000];
/** Limit of resumes where the cause is not a failure of the connection. */
const MAX_RESUMES_WITHOUT_CONNECTION_FAILURE = 3;

type EventHandler<K extends EngineEventKind> = (
  event: Extract<EngineEvent, { kind: K }>,
  turn: Turn,
  request: HeldRequest,
) => void;

const HANDLER_BY_KIND: { [K in EngineEventKind]: EventHandler<K> } = {
  [EngineEventKind.Start]: onStart,
  [EngineEventKind.Token]: onToken,
  [EngineEventKind.End]: onEnd,
  [EngineEventKind.Error]: onEngineError,
};

/**
 * Handles one line of an engine's stream.
 *
 * @param event The line, and the attempt that its connection belongs to.
 * @param turn The turn of the current event.
 */
export function onStreamEvent(
  event: EventOf<EventKind.StreamEvent>,
  turn: Turn,
): void {
  const request = findDispatchedRequest(turn, event);
  if (request === undefined || !isCurrentAttempt(request, event.event)) {
    countStrayAnswer(turn);
    return;
  }
  const handler = HANDLER_BY_KIND[event.event.kind] as EventHandler<
    EngineEventKind
  >;
  handler(event.event, turn, request);
}

/**
 * Handles the answer of a service, which does not stream.
 *
 * @param event The answer, and the attempt that its connection belongs to.
 * @param turn The turn of the current event.
 */
export function onServiceAnswered(
  event: EventOf<EventKind.ServiceAnswered>,
  turn: Turn,
): void {
  const request = findDispatchedRequest(turn, event);
  if (request === undefined) {
    countStrayAnswer(turn);
    return;
  }
  if (!isCurrentAttempt(request, event.answered)) {
    countStrayAnswer(turn);
    refuseIncompleteAnswer(
      turn,
      request,
      "The target answered for another request.",
    );
    return;
  }
  request.attempt!.firstTokenAtMs = turn.nowMs;
  endWithAnswer(turn, request, event.body);
}

/**
 * Handles the end of the connection that an answer is streamed on. The stream
 * is broken, unless the answer is already complete.
 *
 * @param event The attempt, and why its connection ended.
 * @param turn The turn of the current event.
 */
export function onStreamClosed(
  event: EventOf<EventKind.StreamClosed>,
  turn: Turn,
): void {
  const request = findDispatchedRequest(turn, event);
  if (request === undefined) {
    return;
  }
  const isConnectionFailure = event.reason !== "" && !event.lost;
  const reason = event.reason === "" ? "closed before its end" : event.reason;
  onBrokenStream(turn, request, { reason, isConnectionFailure });
}

/**
 * Resumes a broken stream once its backoff delay has passed.
 *
 * @param turn The turn of a tick event.
 * @param request A dispatched request.
 */
export function resumeStreamWhenDue(turn: Turn, request: HeldRequest): void {
  const attempt = request.attempt!;
  if (attempt.resumeAtMs !== undefined && turn.nowMs >= attempt.resumeAtMs) {
    resumeStream(turn, request, attempt);
  }
}

function onStart(
  event: Extract<EngineEvent, { kind: EngineEventKind.Start }>,
  turn: Turn,
  request: HeldRequest,
): void {
  const attempt = request.attempt!;
  attempt.cachedTokens = event.cachedTokens;
  if (attempt.promptRead) {
    return;
  }
  attempt.promptRead = true;
  turn.send(attempt.coordinatorId, {
    kind: PeerMessageKind.PromptRead,
    requestId: request.spec.requestId,
    grantId: attempt.grantId,
    pool: request.spec.pool,
    failureDomain: attempt.failureDomain,
  });
}

function onToken(
  event: Extract<EngineEvent, { kind: EngineEventKind.Token }>,
  turn: Turn,
  request: HeldRequest,
): void {
  const attempt = request.attempt!;
  if (event.index < attempt.tokensReceived) {
    countStrayAnswer(turn);
    return;
  }
  if (event.index > attempt.tokensReceived) {
    const reason = `token ${attempt.tokensReceived} is missing`;
    onBrokenStream(turn, request, { reason, isConnectionFailure: false });
    return;
  }
  if (attempt.firstTokenAtMs === 0) {
    attempt.firstTokenAtMs = turn.nowMs;
  }
  attempt.textChunks.push(event.text);
  attempt.tokensReceived += event.tokens ?? 1;
  for (const call of request.calls.values()) {
    if (call.stream) {
      turn.emit({
        kind: EffectKind.StreamToCaller,
        requestId: call.callId,
        text: event.text,
      });
    }
  }
}

function onEnd(
  event: Extract<EngineEvent, { kind: EngineEventKind.End }>,
  turn: Turn,
  request: HeldRequest,
): void {
  const attempt = request.attempt!;
  if (event.outputTokens !== attempt.tokensReceived) {
    const reason =
      `${attempt.tokensReceived} of ${event.outputTokens} tokens came`;
    onBrokenStream(turn, request, { reason, isConnectionFailure: false });
    return;
  }
  endWithAnswer(turn, request, attempt.textChunks.join(""));
}

function onEngineError(
  event: Extract<EngineEvent, { kind: EngineEventKind.Error }>,
  turn: Turn,
  request: HeldRequest,
): void {
  const notRun = event.notRun && request.attempt!.tokensReceived === 0;
  endWithRefusal(turn, request, {
    error: notRun ? ErrorKind.TargetRefused : ErrorKind.TargetFailed,
    ran: notRun ? RunState.NotRun : RunState.MayHaveRun,
    message: `${request.attempt!.targetId} said: ${event.message}`,
    retryAfterMs: jitteredRetryAfterMs(turn, request.policy.retryAfterMs),
  });
}

/**
 * Resumes a broken stream after a backoff, or refuses the request. A connection
 * may recover until the deadline, so there is no limit for its failures; a
 * target that no longer has the answer will not recover.
 */
function onBrokenStream(
  turn: Turn,
  request: HeldRequest,
  { reason, isConnectionFailure }: {
    reason: string;
    isConnectionFailure: boolean;
  },
): void {
  const attempt = request.attempt!;
  const isOutOfResumes = !isConnectionFailure &&
    attempt.resumes >= MAX_RESUMES_WITHOUT_CONNECTION_FAILURE;
  if (!request.isEngineStream || isOutOfResumes) {
    refuseIncompleteAnswer(turn, request, reason);
    return;
  }
  const delayMs = RESUME_DELAYS_MS[attempt.resumes] ??
    RESUME_DELAYS_MS.at(-1)!;
  recordStep(turn, request, `Stream broke (${reason}); to be resumed`);
  attempt.resumes += 1;
  attempt.resumeAtMs = turn.nowMs + delayMs;
  if (delayMs === 0) {
    resumeStream(turn, request, attempt);
  }
}

function resumeStream(
  turn: Turn,
  request: HeldRequest,
  attempt: Attempt,
): void {
  attempt.resumeAtMs = undefined;
  turn.count(CounterName.StreamResumes);
  turn.emit({
    kind: EffectKind.ResumeStream,
    requestId: request.spec.requestId,
    attemptNonce: attempt.attemptNonce,
    targetId: attempt.targetId,
    fromToken: attempt.tokensReceived,
    answerTimeLeftMs: answerTimeLeftMs(turn, request),
  });
}

function refuseIncompleteAnswer(
  turn: Turn,
  request: HeldRequest,
  reason: string,
): void {
  const { attempt } = request;
  const hasText = attempt!.tokensReceived > 0;
  endWithRefusal(turn, request, {
    error: hasText ? ErrorKind.AnswerIncomplete : ErrorKind.TargetFailed,
    ran: RunState.MayHaveRun,
    message: `${attempt!.targetId} did not answer whole: ${reason}`,
    retryAfterMs: jitteredRetryAfterMs(turn, request.policy.retryAfterMs),
  });
}

function findDispatchedRequest(
  turn: Turn,
  of: AttemptRef,
): HeldRequest | undefined {
  const request = turn.board.requests.byId.get(of.requestId);
  const isCurrent = request?.state === RequestState.Dispatched &&
    request.attempt?.attemptNonce === of.attemptNonce;
  return isCurrent ? request : undefined;
}

function isCurrentAttempt(request: HeldRequest, ref: AttemptRef): boolean {
  return ref.requestId === request.spec.requestId &&
    ref.attemptNonce === request.attempt!.attemptNonce;
}

function countStrayAnswer(turn: Turn): void {
  turn.count(CounterName.StrayAnswersDropped);
}
