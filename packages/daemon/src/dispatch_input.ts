/** What the target edge needs to send a request that the core dispatches. */

import type { Blackboard } from "@chestnuthatch/core/blackboard";
import type { DispatchInput } from "./target_adapter.ts";

/**
 * Gathers what is sent for a request.
 *
 * @param board The instance's state.
 * @param requestId The request, already granted a target.
 * @param bodyOf Gives the body that came with a call, while it is open.
 * @returns What to send, or nothing when the request is not known any more.
 */
export function dispatchInputOf(
  board: Blackboard,
  requestId: string,
  bodyOf: (callId: string) => string | undefined,
): DispatchInput | undefined {
  const request = board.requests.byId.get(requestId);
  const settings = board.settings.inForce;
  const target = settings?.targets.get(request?.attempt?.targetId ?? "");
  const pool = settings?.pools.get(request?.spec.pool ?? "");
  // Calls that joined sent the same content, so any open one's body serves.
  const body = [...(request?.calls.keys() ?? [])]
    .map(bodyOf)
    .find((found) => found !== undefined);
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
