/** The one attempt of a request: what is told of it, and how it is cut. */

import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import type { HeldRequest } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { CounterName, EffectKind } from "./effects.ts";

/** How long after its deadline an answer is still gathered for its key. */
const GATHER_BEYOND_MS = 60_000;
/** Lets the holder end a request at its deadline before the edge does. */
const EDGE_MARGIN_MS = 1000;

/**
 * Tells how long an answer is gathered. One that will be kept for its key is
 * gathered beyond its callers' deadlines.
 *
 * @param turn The turn it happens in.
 * @param request A dispatched request.
 * @returns A duration in milliseconds, at least 1.
 */
export function answerTimeLeftMs(turn: Turn, request: HeldRequest): number {
  const beyondMs = request.claim === undefined
    ? EDGE_MARGIN_MS
    : GATHER_BEYOND_MS;
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
 * Tells the coordinator how the work under its grant ended.
 *
 * @param turn The turn it happens in.
 * @param request A dispatched request.
 * @param failed Whether it ended without a whole answer.
 */
export function reportWorkDone(
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
 * Counts the prompt work that came to nothing.
 *
 * @param turn The turn it happens in.
 * @param request A dispatched request that nobody gets an answer to.
 */
export function countWaste(turn: Turn, request: HeldRequest): void {
  const { spec, attempt } = request;
  const read = Math.max(0, spec.promptTokens - (attempt?.cachedTokens ?? 0));
  turn.count(CounterName.PromptTokensWasted, { tier: spec.tier }, read);
}
