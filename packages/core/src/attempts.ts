/** Operations on a request's current attempt: timeout, cancel and reports. */

import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import type { HeldRequest } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { CounterName, EffectKind } from "./effects.ts";

/** How long after the deadline an answer is still received to be kept. */
const KEPT_ANSWER_EXTENSION_MS = 60_000;
/**
 * Added to the timeout of the I/O layer, so that the holder ends a request at
 * its deadline before that timeout expires.
 */
const IO_TIMEOUT_MARGIN_MS = 1000;

/**
 * Returns how long the I/O layer waits for an answer. One that will be kept for
 * an idempotency key is received even after its callers' deadlines.
 *
 * @param turn The turn of the current event.
 * @param request A dispatched request.
 * @returns A duration in milliseconds, at least 1.
 */
export function answerTimeLeftMs(turn: Turn, request: HeldRequest): number {
  const extensionMs = request.claim === undefined
    ? IO_TIMEOUT_MARGIN_MS
    : KEPT_ANSWER_EXTENSION_MS;
  return Math.max(1, request.deadlineAtMs - turn.nowMs) + extensionMs;
}

/**
 * Cancels a request's stream on its target.
 *
 * @param turn The turn of the current event.
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
 * Reports to the coordinator that the work under its grant ended, with the
 * durations that it learns the target's speed from.
 *
 * @param turn The turn of the current event.
 * @param request A dispatched request.
 * @param failed Whether it ended without a complete answer.
 */
export function sendWorkDone(
  turn: Turn,
  request: HeldRequest,
  failed: boolean,
): void {
  const attempt = request.attempt!;
  const firstTokenAtMs = attempt.firstTokenAtMs;
  const hasBegun = firstTokenAtMs > 0;
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
    firstTokenMs: hasBegun ? firstTokenAtMs - attempt.sentAtMs : 0,
    decodeMs: hasBegun ? turn.nowMs - firstTokenAtMs : 0,
    blockHashes: [...request.spec.blockHashes],
  });
}

/**
 * Counts the prompt tokens that a target read for an answer which no caller
 * gets.
 *
 * @param turn The turn of the current event.
 * @param request A dispatched request.
 */
export function countWastedTokens(turn: Turn, request: HeldRequest): void {
  const { spec, attempt } = request;
  const uncachedTokens = Math.max(
    0,
    spec.promptTokens - (attempt?.cachedTokens ?? 0),
  );
  turn.count(
    CounterName.PromptTokensWasted,
    { tier: spec.tier },
    uncachedTokens,
  );
}
