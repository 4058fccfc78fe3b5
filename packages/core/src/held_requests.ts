/** The table of requests on their holder: limits, keys, forgetting. */

import { RunState } from "@chestnuthatch/wire/shared_types";
import { scopeKey } from "./admission.ts";
import type { HeldRequest } from "./blackboard.ts";
import { keyName } from "./claim_rows.ts";
import type { Turn } from "./controller.ts";
import { RequestState } from "./request.ts";

/** How long a finished request is kept for callers that ask again. */
const KEEP_FINISHED_MS = 60_000;
const FORGET_EVERY_MS = 1000;

/**
 * Tells whether a request has its final outcome.
 *
 * @param request The request.
 * @returns True once it is answered or refused.
 */
export function isFinished(request: HeldRequest): boolean {
  return request.state === RequestState.Answered ||
    request.state === RequestState.Refused;
}

/**
 * Forgets finished requests that have been kept long enough.
 *
 * @param turn The turn of a tick.
 */
export function forgetOldRequests(turn: Turn): void {
  const { requests } = turn.board;
  if (turn.nowMs - requests.lastForgetAtMs < FORGET_EVERY_MS) {
    return;
  }
  requests.lastForgetAtMs = turn.nowMs;
  for (const request of requests.byId.values()) {
    const isOld = turn.nowMs - request.finishedAtMs >= KEEP_FINISHED_MS;
    if (isFinished(request) && isOld) {
      requests.byId.delete(request.spec.requestId);
      releaseKey(turn, request);
    }
  }
}

/**
 * Takes a finished request out of the limits, and lets its key run anew where
 * it did not run.
 *
 * @param turn The turn it happens in.
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
  const mayRunAnew = refusal !== undefined &&
    (refusal.ran === RunState.NotRun || request.attempt === undefined ||
      request.idempotent);
  if (mayRunAnew) {
    releaseKey(turn, request);
  }
}

function releaseKey(turn: Turn, request: HeldRequest): void {
  const { byKey } = turn.board.requests;
  const { workspace, idempotencyKey, requestId } = request.spec;
  if (idempotencyKey === undefined) {
    return;
  }
  const name = keyName(workspace, idempotencyKey);
  if (byKey.get(name) === requestId) {
    byKey.delete(name);
  }
}
