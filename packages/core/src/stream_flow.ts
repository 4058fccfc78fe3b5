/** Gathers a target's answer, whole or not at all. */

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
import { deliverAnswer, endRequest } from "./outcomes.ts";
import { noteStep } from "./refusals.ts";
import { RequestState } from "./request.ts";
import { spreadRetryHint } from "./retry_hint.ts";

/**
 * Delays before the tries to resume a broken stream on the same target; the
 * last one is repeated until the deadline, since a cut may last.
 */
const RESUME_DELAYS_MS: readonly number[] = [0, 250, 1000, 2000, 4000];
/** Tries where the connection is not what failed. */
const MAX_RESUMES_UNLESS_CUT = 3;

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
 * @param event The line, with the attempt its connection belongs to.
 * @param turn The turn it happens in.
 */
export function onStreamEvent(
  event: EventOf<EventKind.StreamEvent>,
  turn: Turn,
): void {
  const request = requestOfAttempt(turn, event);
  if (request === undefined || !namesAttempt(request, event.event)) {
    dropStray(turn);
    return;
  }
  const handler = HANDLER_BY_KIND[event.event.kind] as EventHandler<
    EngineEventKind
  >;
  handler(event.event, turn, request);
}

/**
 * Handles a plain service's answer.
 *
 * @param event The answer, with the attempt its connection belongs to.
 * @param turn The turn it happens in.
 */
export function onServiceAnswered(
  event: EventOf<EventKind.ServiceAnswered>,
  turn: Turn,
): void {
  const request = requestOfAttempt(turn, event);
  if (request === undefined) {
    dropStray(turn);
    return;
  }
  if (!namesAttempt(request, event.answered)) {
    dropStray(turn);
    refuseBroken(turn, request, "The target answered for another request.");
    return;
  }
  request.attempt!.firstTokenAtMs = turn.nowMs;
  deliverAnswer(turn, request, event.body);
}

/**
 * Handles the end of a connection to a target.
 *
 * @param event Which attempt's, and why.
 * @param turn The turn it happens in.
 */
export function onStreamClosed(
  event: EventOf<EventKind.StreamClosed>,
  turn: Turn,
): void {
  const request = requestOfAttempt(turn, event);
  if (request === undefined) {
    return;
  }
  const isCut = event.reason !== "" && !event.lost;
  const reason = event.reason === "" ? "closed before its end" : event.reason;
  breakStream(turn, request, { reason, isCut });
}

/**
 * Asks for the rest of a broken stream once its delay has passed.
 *
 * @param turn The turn of a tick.
 * @param request A dispatched request.
 */
export function tendStream(turn: Turn, request: HeldRequest): void {
  const attempt = request.attempt!;
  if (attempt.resumeAtMs !== undefined && turn.nowMs >= attempt.resumeAtMs) {
    resumeNow(turn, request, attempt);
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
    dropStray(turn);
    return;
  }
  if (event.index > attempt.tokensReceived) {
    const reason = `token ${attempt.tokensReceived} is missing`;
    breakStream(turn, request, { reason, isCut: false });
    return;
  }
  if (attempt.firstTokenAtMs === 0) {
    attempt.firstTokenAtMs = turn.nowMs;
  }
  attempt.pieces.push(event.text);
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
    breakStream(turn, request, { reason, isCut: false });
    return;
  }
  deliverAnswer(turn, request, attempt.pieces.join(""));
}

function onEngineError(
  event: Extract<EngineEvent, { kind: EngineEventKind.Error }>,
  turn: Turn,
  request: HeldRequest,
): void {
  const notRun = event.notRun && request.attempt!.tokensReceived === 0;
  endRequest(turn, request, {
    error: notRun ? ErrorKind.TargetRefused : ErrorKind.TargetFailed,
    ran: notRun ? RunState.NotRun : RunState.MayHaveRun,
    message: `${request.attempt!.targetId} said: ${event.message}`,
    retryAfterMs: spreadRetryHint(turn, request.policy.retryAfterMs),
  });
}

/** A cut may heal until the deadline; a target that has no more will not. */
function breakStream(
  turn: Turn,
  request: HeldRequest,
  { reason, isCut }: { reason: string; isCut: boolean },
): void {
  const attempt = request.attempt!;
  const isHopeless = !isCut && attempt.resumes >= MAX_RESUMES_UNLESS_CUT;
  if (!request.streams || isHopeless) {
    refuseBroken(turn, request, reason);
    return;
  }
  const delayMs = RESUME_DELAYS_MS[attempt.resumes] ??
    RESUME_DELAYS_MS.at(-1)!;
  noteStep(turn, request, `Stream broke (${reason}); to be resumed`);
  attempt.resumes += 1;
  attempt.resumeAtMs = turn.nowMs + delayMs;
  if (delayMs === 0) {
    resumeNow(turn, request, attempt);
  }
}

function resumeNow(turn: Turn, request: HeldRequest, attempt: Attempt): void {
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

function refuseBroken(turn: Turn, request: HeldRequest, reason: string): void {
  const { attempt } = request;
  const begun = attempt!.tokensReceived > 0;
  endRequest(turn, request, {
    error: begun ? ErrorKind.AnswerIncomplete : ErrorKind.TargetFailed,
    ran: RunState.MayHaveRun,
    message: `${attempt!.targetId} did not answer whole: ${reason}`,
    retryAfterMs: spreadRetryHint(turn, request.policy.retryAfterMs),
  });
}

function requestOfAttempt(
  turn: Turn,
  of: AttemptRef,
): HeldRequest | undefined {
  const request = turn.board.requests.byId.get(of.requestId);
  const isCurrent = request?.state === RequestState.Dispatched &&
    request.attempt?.attemptNonce === of.attemptNonce;
  return isCurrent ? request : undefined;
}

function namesAttempt(request: HeldRequest, named: AttemptRef): boolean {
  return named.requestId === request.spec.requestId &&
    named.attemptNonce === request.attempt!.attemptNonce;
}

function dropStray(turn: Turn): void {
  turn.count(CounterName.StrayAnswersDropped);
}
