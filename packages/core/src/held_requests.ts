/**
 * The table of requests that this instance holds: closes them, releases their
 * keys and evicts them.
 */

import { RunState } from "@chestnuthatch/wire/shared_types";
import { scopeKey } from "./admission.ts";
import type { HeldRequest } from "./blackboard.ts";
import { scopedKey } from "./claim_rows.ts";
import type { Turn } from "./controller.ts";
import { RequestState } from "./request.ts";

/** How long a finished request is kept for calls that repeat its key. */
const FINISHED_RETENTION_MS = 60_000;
/** Finished requests are evicted at most this often. */
const EVICTION_INTERVAL_MS = 1000;

/**
 * Returns whether a request has its final outcome.
 *
 * @param request The request.
 * @returns True once it is answered or refused.
 */
export function isFinished(request: HeldRequest): boolean {
  return request.state === RequestState.Answered ||
    request.state === RequestState.Refused;
}

/**
 * Evicts finished requests whose retention time has passed.
 *
 * @param turn The turn of a tick event.
 */
export function evictFinishedRequests(turn: Turn): void {
  const { requests } = turn.board;
  if (turn.nowMs - requests.lastEvictionAtMs < EVICTION_INTERVAL_MS) {
    return;
  }
  requests.lastEvictionAtMs = turn.nowMs;
  for (const request of requests.byId.values()) {
    const isExpired =
      turn.nowMs - request.finishedAtMs >= FINISHED_RETENTION_MS;
    if (isFinished(request) && isExpired) {
      requests.byId.delete(request.spec.requestId);
      releaseKey(turn, request);
    }
  }
}

/**
 * Takes a finished request out of the concurrency limits, and releases its key
 * where a later call with the key may run.
 *
 * @param turn The turn of the current event.
 * @param request The request.
 */
export function closeRequest(turn: Turn, request: HeldRequest): void {
  const { openByScope, unfinished } = turn.board.requests;
  unfinished.delete(request.spec.requestId);
  const key = scopeKey(request.spec);
  const open = (openByScope.get(key) ?? 1) - 1;
  if (open > 0) {
    openByScope.set(key, open);
  } else {
    openByScope.delete(key);
  }
  const refusal = request.outcome?.refusal;
  const mayRunAgain = refusal !== undefined &&
    (refusal.ran === RunState.NotRun || request.attempt === undefined ||
      request.idempotent);
  if (mayRunAgain) {
    releaseKey(turn, request);
  }
}

function releaseKey(turn: Turn, request: HeldRequest): void {
  const { requestIdByKey } = turn.board.requests;
  const { workspace, idempotencyKey, requestId } = request.spec;
  if (idempotencyKey === undefined) {
    return;
  }
  const key = scopedKey(workspace, idempotencyKey);
  if (requestIdByKey.get(key) === requestId) {
    requestIdByKey.delete(key);
  }
}
