/** What an instance tells of one request, by the id given to a call. */

import type { Blackboard } from "@chestnuthatch/core/blackboard";
import { explainRequest } from "@chestnuthatch/core/request_explanation";

/**
 * Tells how far a request has come.
 *
 * @param board The instance's state.
 * @param callId The call; it may have joined another's request.
 * @returns The state, or nothing where the request is unknown.
 */
export function requestStateOf(
  board: Blackboard,
  callId: string,
): object | undefined {
  const request = board.requests.byId.get(requestIdOf(board, callId));
  if (request === undefined) {
    return undefined;
  }
  const { state, outcome, callLog } = request;
  return { requestId: callId, state, ...outcome, callLog };
}

/**
 * Tells why a request went as it did.
 *
 * @param board The instance's state.
 * @param callId The call; it may have joined another's request.
 * @returns Its story, or nothing where it is not remembered.
 */
export function requestStoryOf(
  board: Blackboard,
  callId: string,
): object | undefined {
  const requestId = requestIdOf(board, callId);
  const isKnown = board.requests.byId.has(requestId) ||
    board.decisions.entries(requestId).length > 0;
  return isKnown ? explainRequest(board, requestId) : undefined;
}

/**
 * Finds the request behind a call.
 *
 * @param board The instance's state.
 * @param callId The call.
 * @returns The id of the request that it joined, or its own.
 */
export function requestIdOf(board: Blackboard, callId: string): string {
  return board.requests.requestIdByJoinedCall.get(callId) ?? callId;
}
