/** Reads a request's state and decision log, by the id given to its call. */

import type { Blackboard } from "@chestnuthatch/core/blackboard";
import { explainRequest } from "@chestnuthatch/core/request_explanation";

/**
 * Describes the current state of a request.
 *
 * @param board State of the instance.
 * @param callId Id of the call, which may have joined another call's request.
 * @returns The request's state, outcome and call log, or `undefined` if the
 *   request is unknown.
 */
export function describeRequest(
  board: Blackboard,
  callId: string,
): object | undefined {
  const request = board.requests.byId.get(resolveRequestId(board, callId));
  if (request === undefined) {
    return undefined;
  }
  const { state, outcome, callLog } = request;
  return { requestId: callId, state, ...outcome, callLog };
}

/**
 * Explains a request by the decisions recorded for it.
 *
 * @param board State of the instance.
 * @param callId Id of the call, which may have joined another call's request.
 * @returns The explanation, or `undefined` if nothing is recorded.
 */
export function explainKnownRequest(
  board: Blackboard,
  callId: string,
): object | undefined {
  const requestId = resolveRequestId(board, callId);
  const isKnown = board.requests.byId.has(requestId) ||
    board.decisions.entries(requestId).length > 0;
  return isKnown ? explainRequest(board, requestId) : undefined;
}

/**
 * Resolves the id of a call to the id of its request.
 *
 * @param board State of the instance.
 * @param callId Id of the call.
 * @returns Id of the request that the call joined, or else `callId`.
 */
export function resolveRequestId(board: Blackboard, callId: string): string {
  return board.requests.requestIdByJoinedCall.get(callId) ?? callId;
}
