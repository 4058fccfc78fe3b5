/** Builds truthful refusals and ends requests. */

import { type ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import type { HeldRequest, WaitingCall } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { ERROR_TABLE } from "./error_table.ts";
import { CounterName, EffectKind } from "./effects.ts";
import { type Refusal, RequestState } from "./request.ts";

/** What a refusal says, before it is put in a caller's words. */
export interface RefusalCause {
  readonly error: ErrorKind;
  readonly ran: RunState;
  readonly message: string;
  readonly path?: string;
  readonly retryAfterMs?: number;
}

/**
 * Refuses a call that never became a request here.
 *
 * @param turn The turn it happens in.
 * @param callId The call.
 * @param cause Why it is refused.
 */
export function refuseCall(
  turn: Turn,
  callId: string,
  cause: RefusalCause,
): void {
  emitRefusal(turn, callId, { cause, repeatable: true, callLog: [] });
}

/**
 * Refuses one of a request's callers; the request itself goes on.
 *
 * @param turn The turn it happens in.
 * @param request The request.
 * @param options The call and why it is refused.
 */
export function refuseOneCall(
  turn: Turn,
  request: HeldRequest,
  options: { call: WaitingCall; cause: RefusalCause },
): void {
  request.calls.delete(options.call.callId);
  turn.board.requests.joined.delete(options.call.callId);
  emitRefusal(turn, options.call.callId, {
    cause: options.cause,
    repeatable: isRepeatable(request),
    tier: request.spec.tier,
    callLog: request.callLog,
  });
}

/**
 * Ends a request with a refusal for every caller that still waits.
 *
 * @param turn The turn it happens in.
 * @param request The request.
 * @param cause Why it is refused.
 */
export function refuseRequest(
  turn: Turn,
  request: HeldRequest,
  cause: RefusalCause,
): void {
  noteStep(turn, request, `Refused: ${cause.error}, ${cause.message}`);
  for (const call of [...request.calls.values()]) {
    refuseOneCall(turn, request, { call, cause });
  }
  request.state = RequestState.Refused;
  request.outcome = {
    refusal: makeRefusal(request.spec.requestId, {
      cause,
      repeatable: isRepeatable(request),
      callLog: request.callLog,
    }),
  };
  request.finishedAtMs = turn.nowMs;
}

/**
 * Adds a step to a request's call log and its story.
 *
 * @param turn The turn it happens in.
 * @param request The request.
 * @param text What happened.
 */
export function noteStep(turn: Turn, request: HeldRequest, text: string): void {
  const afterMs = Math.round(turn.nowMs - request.arrivedAtMs);
  request.callLog.push(`${afterMs} ms: ${text}`);
  turn.decide(request.spec.requestId, "holder", text);
}

interface RefusalContext {
  readonly cause: RefusalCause;
  /** Whether the same call may be sent again without running twice. */
  readonly repeatable: boolean;
  /** Name of the tier, where the request was held. */
  readonly tier?: string;
  readonly callLog: readonly string[];
}

/** A key makes any request repeatable: a second call cannot run it again. */
function isRepeatable(request: HeldRequest): boolean {
  return request.idempotent || request.spec.idempotencyKey !== undefined;
}

function emitRefusal(turn: Turn, callId: string, of: RefusalContext): void {
  const refusal = makeRefusal(callId, of);
  turn.count(CounterName.Refusals, {
    error: refusal.error,
    ran: refusal.ran,
    tier: of.tier ?? "",
  });
  turn.emit({ kind: EffectKind.RefuseCaller, requestId: callId, refusal });
}

function makeRefusal(requestId: string, of: RefusalContext): Refusal {
  const { cause } = of;
  const safeToRepeat = cause.ran === RunState.NotRun || of.repeatable;
  return {
    requestId,
    error: cause.error,
    ran: cause.ran,
    message: cause.message,
    path: cause.path,
    mayRetry: safeToRepeat && ERROR_TABLE[cause.error].mayRetry,
    retryAfterMs: cause.retryAfterMs,
    callLog: [...of.callLog],
  };
}
