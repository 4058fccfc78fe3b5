/** Claim rows and kept answers of requests that must not run twice. */

import type { HeldRequest } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { EffectKind } from "./effects.ts";
import type { ClaimRow } from "./events.ts";
import { keptAnswerOf } from "./kept_answer.ts";
import type { Answer, RequestSpec } from "./request.ts";

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

/**
 * Names the row of a request's claim in the platform's table.
 *
 * @param spec A request with an idempotency key.
 * @returns The row's key.
 */
export function claimKeyOf(spec: RequestSpec): string {
  return `claim/${keyName(spec.workspace, spec.idempotencyKey!)}`;
}

/**
 * Names the answer kept for a request's key in the object store.
 *
 * @param spec A request with an idempotency key.
 * @returns The object's key.
 */
export function answerKeyOf(spec: RequestSpec): string {
  return `answer/${keyName(spec.workspace, spec.idempotencyKey!)}`;
}

/**
 * Keeps an answer for the key of a claimed request.
 *
 * @param turn The turn it happens in.
 * @param request The request.
 * @param answer Its whole answer.
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
    key: answerKeyOf(request.spec),
    content: keptAnswerOf(answer, request.spec.contentHash),
  });
}

/**
 * Gives a request's claim back, where it has one that may be its own.
 *
 * @param turn The turn it happens in.
 * @param request A request that was not sent and will not be.
 */
export function voidClaim(turn: Turn, request: HeldRequest): void {
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
export function claimRowOf(turn: Turn, request: HeldRequest): ClaimRow {
  return {
    nonce: request.nonce,
    holderId: turn.board.self.instanceId,
    holderIncarnation: turn.board.self.incarnation,
    requestId: request.spec.requestId,
    contentHash: request.spec.contentHash,
  };
}
