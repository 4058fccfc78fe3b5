/**
 * Claim rows and kept answers, which the store holds for the idempotency keys
 * of requests that must not run twice.
 */

import type { HeldRequest } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { EffectKind } from "./effects.ts";
import type { ClaimRow } from "./events.ts";
import { serializeKeptAnswer } from "./kept_answer.ts";
import type { Answer, RequestSpec } from "./request.ts";

/**
 * Scopes an idempotency key to its workspace.
 *
 * @param workspace Name of the workspace.
 * @param idempotencyKey The caller's key.
 * @returns The scoped key, as used in the table, the object store and memory.
 */
export function scopedKey(workspace: string, idempotencyKey: string): string {
  return `${encodeURIComponent(workspace)}/${
    encodeURIComponent(idempotencyKey)
  }`;
}

/**
 * Returns the key of a request's claim row in the platform's table.
 *
 * @param spec A request with an idempotency key.
 * @returns The key of the row.
 */
export function claimRowKey(spec: RequestSpec): string {
  return `claim/${scopedKey(spec.workspace, spec.idempotencyKey!)}`;
}

/**
 * Returns the key of a request's kept answer in the object store.
 *
 * @param spec A request with an idempotency key.
 * @returns The key of the object.
 */
export function keptAnswerKey(spec: RequestSpec): string {
  return `answer/${scopedKey(spec.workspace, spec.idempotencyKey!)}`;
}

/**
 * Stores the answer of a claimed request, for later calls with its key.
 *
 * @param turn The turn of the current event.
 * @param request The request.
 * @param answer Its complete answer.
 */
export function keepAnswer(
  turn: Turn,
  request: HeldRequest,
  answer: Answer,
): void {
  if (request.claim === undefined) {
    return;
  }
  turn.emit({
    kind: EffectKind.KeepAnswer,
    requestId: request.spec.requestId,
    key: keptAnswerKey(request.spec),
    content: serializeKeptAnswer(answer, request.spec.contentHash),
  });
}

/**
 * Voids a request's claim row, where the row may be its own.
 *
 * @param turn The turn of the current event.
 * @param request A request that did not run and will not be sent.
 */
export function voidClaim(turn: Turn, request: HeldRequest): void {
  const { claim } = request;
  if (claim === undefined || claim.conflictingRow !== undefined) {
    return;
  }
  turn.emit({
    kind: EffectKind.VoidClaim,
    requestId: request.spec.requestId,
    key: claim.key,
    row: buildClaimRow(turn, request),
  });
}

/**
 * Builds a request's claim row.
 *
 * @param turn The turn, for the identity of this instance.
 * @param request The request.
 * @returns Content of the row.
 */
export function buildClaimRow(turn: Turn, request: HeldRequest): ClaimRow {
  return {
    nonce: request.claimNonce,
    holderId: turn.board.self.instanceId,
    holderIncarnation: turn.board.self.incarnation,
    requestId: request.spec.requestId,
    contentHash: request.spec.contentHash,
  };
}
