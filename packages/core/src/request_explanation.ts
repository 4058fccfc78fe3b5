/** Explains the processing of a request from its state and its decisions. */

import type { Blackboard, HeldRequest } from "./blackboard.ts";
import type { DecisionEntry } from "./decision_log.ts";
import type { Outcome, Refusal, RequestState } from "./request.ts";

/** The latest attempt of a request, as part of its explanation. */
export interface AttemptExplanation {
  readonly attemptNonce: string;
  readonly targetId: string;
  readonly coordinatorId: string;
  readonly grantId: string;
  readonly sentAtMs: number;
  readonly cachedTokens: number;
  readonly resumes: number;
  readonly tokensReceived: number;
}

/** The outcome of a request, without the text of an answer. */
export interface OutcomeExplanation {
  readonly answered: boolean;
  readonly targetId?: string;
  readonly outputTokens?: number;
  readonly waitedMs?: number;
  readonly totalMs?: number;
  readonly refusal?: Refusal;
}

/**
 * Explanation of one request, which `why` prints. Times are milliseconds on the
 * monotonic clock of the instance that was asked.
 */
export interface RequestExplanation {
  readonly requestId: string;
  /** False when this instance has neither the request nor any decision. */
  readonly known: boolean;
  /** Id of the request that this call joined; absent where it joined none. */
  readonly joinedRequestId?: string;
  readonly state?: RequestState;
  readonly workspace?: string;
  readonly tier?: string;
  readonly pool?: string;
  readonly arrivedAtMs?: number;
  readonly finishedAtMs?: number;
  /** Decisions about it, oldest first. */
  readonly decisions: readonly DecisionEntry[];
  /** Steps of its processing as its callers see them, oldest first. */
  readonly callLog: readonly string[];
  readonly attempt?: AttemptExplanation;
  readonly outcome?: OutcomeExplanation;
}

/**
 * Explains a request: its state, decisions, latest attempt and outcome.
 *
 * @param board The instance's state.
 * @param requestId Id of the request, or of a call that joined one.
 * @returns The explanation, which can be written as JSON.
 */
export function explainRequest(
  board: Blackboard,
  requestId: string,
): RequestExplanation {
  const joinedRequestId = board.requests.requestIdByJoinedCall.get(requestId);
  const request = board.requests.byId.get(joinedRequestId ?? requestId);
  const decisions = collectDecisions(board, requestId, joinedRequestId);
  return {
    requestId,
    known: request !== undefined || decisions.length > 0,
    ...(joinedRequestId === undefined ? {} : { joinedRequestId }),
    decisions,
    callLog: [...(request?.callLog ?? [])],
    ...(request === undefined ? {} : describeRequest(request)),
  };
}

function collectDecisions(
  board: Blackboard,
  requestId: string,
  joinedRequestId?: string,
): DecisionEntry[] {
  const own = board.decisions.entries(requestId);
  if (joinedRequestId === undefined || joinedRequestId === requestId) {
    return [...own];
  }
  return [...own, ...board.decisions.entries(joinedRequestId)]
    .sort((a, b) => a.atMs - b.atMs);
}

function describeRequest(request: HeldRequest): Partial<RequestExplanation> {
  const { attempt, outcome, spec } = request;
  return {
    state: request.state,
    workspace: spec.workspace,
    tier: spec.tier,
    pool: spec.pool,
    arrivedAtMs: request.arrivedAtMs,
    ...(outcome && { finishedAtMs: request.finishedAtMs }),
    ...(attempt && { attempt: describeAttempt(attempt) }),
    ...(outcome && { outcome: describeOutcome(outcome) }),
  };
}

function describeAttempt(
  attempt: NonNullable<HeldRequest["attempt"]>,
): AttemptExplanation {
  const { attemptNonce, targetId, coordinatorId, grantId } = attempt;
  const { sentAtMs, cachedTokens, resumes, tokensReceived } = attempt;
  return {
    attemptNonce,
    targetId,
    coordinatorId,
    grantId,
    sentAtMs,
    cachedTokens,
    resumes,
    tokensReceived,
  };
}

function describeOutcome(outcome: Outcome): OutcomeExplanation {
  if (outcome.refusal !== undefined) {
    return { answered: false, refusal: outcome.refusal };
  }
  const { targetId, outputTokens, waitedMs, totalMs } = outcome.answer;
  return { answered: true, targetId, outputTokens, waitedMs, totalMs };
}
