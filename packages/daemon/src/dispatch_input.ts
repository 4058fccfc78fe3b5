/** Collects the data that the target edge sends when dispatching a request. */

import type { Blackboard } from "@chestnuthatch/core/blackboard";
import type { DispatchInput } from "./target_adapter.ts";

/**
 * Collects the data to send to the target of a request.
 *
 * @param board State of the instance.
 * @param requestId Id of a request that has been assigned a target.
 * @param findBody Finds the body that was sent with a call, while it is open.
 * @returns The data, or `undefined` if the request, its body, its target or its
 *   pool is no longer known.
 */
export function createDispatchInput(
  board: Blackboard,
  requestId: string,
  findBody: (callId: string) => string | undefined,
): DispatchInput | undefined {
  const request = board.requests.byId.get(requestId);
  const settings = board.settings.inForce;
  const target = settings?.targets.get(request?.attempt?.targetId ?? "");
  const pool = settings?.pools.get(request?.spec.pool ?? "");
  // Calls that joined the request sent the same content, so the body of any
  // open call can be sent.
  const body = [...(request?.calls.keys() ?? [])]
    .map(findBody)
    .find((callBody) => callBody !== undefined);
  if (
    request === undefined || target === undefined || pool === undefined ||
    body === undefined
  ) {
    return undefined;
  }
  const { spec } = request;
  return {
    kind: pool.kind,
    address: target.address,
    body,
    model: pool.model,
    promptTokens: spec.promptTokens,
    blockHashes: spec.blockHashes,
    idempotencyKey: spec.idempotencyKey,
  };
}
