/** Builds refusals, sends them to callers and records a request's steps. */

import { type ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import type { HeldRequest, WaitingCall } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { ERROR_TABLE } from "./error_table.ts";
import { CounterName, EffectKind } from "./effects.ts";
import { type Refusal, RequestState } from "./request.ts";

/** The reason of a refusal, before it is addressed to a call. */
export interface RefusalCause {
  readonly error: ErrorKind;
  /** Whether the request may have run. */
  readonly ran: RunState;
  /** Text of the error, for the caller. */
  readonly message: string;
  /** Name of the field that is at fault. */
  readonly path?: string;
  /** Time to wait before the call is sent again. */
  readonly retryAfterMs?: number;
}

/**
 * Refuses a call that did not become a request of this instance.
 *
 * @param turn The turn of the current event.
 * @param callId Id of the call.
 * @param cause Why it is refused.
 */
export function refuseCall(
  turn: Turn,
  callId: string,
  cause: RefusalCause,
): void {
  emitRefusal(turn, callId, { cause, isRepeatable: true, callLog: [] });
}

/**
 * Refuses one of a request's calls; the request itself continues.
 *
 * @param turn The turn of the current event.
 * @param request The request.
 * @param options The call and why it is refused.
 */
export function refuseCallOfRequest(
  turn: Turn,
  request: HeldRequest,
  options: { call: WaitingCall; cause: RefusalCause },
): void {
  request.calls.delete(options.call.callId);
  turn.board.requests.requestIdByJoinedCall.delete(options.call.callId);
  emitRefusal(turn, options.call.callId, {
    cause: options.cause,
    isRepeatable: isRepeatable(request),
    tier: request.spec.tier,
    callLog: request.callLog,
  });
}

/**
 * Sets a request's outcome to a refusal, and refuses every call that waits.
 *
 * @param turn The turn of the current event.
 * @param request The request.
 * @param cause Why it is refused.
 */
export function refuseRequest(
  turn: Turn,
  request: HeldRequest,
  cause: RefusalCause,
): void {
  recordStep(turn, request, `Refused: ${cause.error}, ${cause.message}`);
  for (const call of [...request.calls.values()]) {
    refuseCallOfRequest(turn, request, { call, cause });
  }
  request.state = RequestState.Refused;
  request.outcome = {
    refusal: buildRefusal(request.spec.requestId, {
      cause,
      isRepeatable: isRepeatable(request),
      callLog: request.callLog,
    }),
  };
  request.finishedAtMs = turn.nowMs;
}

/**
 * Records a step of a request in its call log and its decisions.
 *
 * @param turn The turn of the current event.
 * @param request The request.
 * @param text Description of the step.
 */
export function recordStep(
  turn: Turn,
  request: HeldRequest,
  text: string,
): void {
  const afterMs = Math.round(turn.nowMs - request.arrivedAtMs);
  request.callLog.push(`${afterMs} ms: ${text}`);
  turn.recordDecision(request.spec.requestId, "holder", text);
}

interface RefusalContext {
  readonly cause: RefusalCause;
  /** Whether the call can be sent again without running twice. */
  readonly isRepeatable: boolean;
  /** Name of the tier; absent where the call became no request. */
  readonly tier?: string;
  readonly callLog: readonly string[];
}

/** With an idempotency key, a second call cannot run the request again. */
function isRepeatable(request: HeldRequest): boolean {
  return request.idempotent || request.spec.idempotencyKey !== undefined;
}

function emitRefusal(
  turn: Turn,
  callId: string,
  of: RefusalContext,
): void {
  const refusal = buildRefusal(callId, of);
  turn.count(CounterName.Refusals, {
    error: refusal.error,
    ran: refusal.ran,
    tier: of.tier ?? "",
  });
  turn.emit({ kind: EffectKind.RefuseCaller, requestId: callId, refusal });
}

function buildRefusal(requestId: string, of: RefusalContext): Refusal {
  const { cause } = of;
  const isSafeToRepeat = cause.ran === RunState.NotRun || of.isRepeatable;
  return {
    requestId,
    error: cause.error,
    ran: cause.ran,
    message: cause.message,
    path: cause.path,
    mayRetry: isSafeToRepeat && ERROR_TABLE[cause.error].mayRetry,
    retryAfterMs: cause.retryAfterMs,
    callLog: [...of.callLog],
  };
}
