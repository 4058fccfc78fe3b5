/** Tells a request's story from what its holder remembers. */

import type { Blackboard, HeldRequest } from "./blackboard.ts";
import type { DecisionEntry } from "./decision_log.ts";
import type { Outcome, Refusal, RequestState } from "./request.ts";

/** The attempt of a request, for people. */
export interface AttemptStory {
  readonly attemptNonce: string;
  readonly targetId: string;
  readonly coordinatorId: string;
  readonly grantId: string;
  readonly sentAtMs: number;
  readonly cachedTokens: number;
  readonly resumes: number;
  readonly tokensReceived: number;
}

/** How a request ended; an answer's text is left out. */
export interface OutcomeStory {
  readonly answered: boolean;
  readonly targetId?: string;
  readonly outputTokens?: number;
  readonly waitedMs?: number;
  readonly totalMs?: number;
  readonly refusal?: Refusal;
}

/** All that is known of one request. Times are on this instance's clock. */
export interface RequestStory {
  readonly requestId: string;
  /** False when neither the request nor any decision is remembered here. */
  readonly known: boolean;
  /** The request that this call joined, where it did. */
  readonly joinedRequestId?: string;
  readonly state?: RequestState;
  readonly workspace?: string;
  readonly tier?: string;
  readonly pool?: string;
  readonly arrivedAtMs?: number;
  readonly finishedAtMs?: number;
  readonly decisions: readonly DecisionEntry[];
  readonly callLog: readonly string[];
  readonly attempt?: AttemptStory;
  readonly outcome?: OutcomeStory;
}

/**
 * Tells a request's story.
 *
 * @param board The instance's state.
 * @param requestId The request, or a call that joined one.
 * @returns The story, ready for JSON.
 */
export function whyOf(board: Blackboard, requestId: string): RequestStory {
  const joinedRequestId = board.requests.joined.get(requestId);
  const held = board.requests.byId.get(joinedRequestId ?? requestId);
  const decisions = storyOf(board, requestId, joinedRequestId);
  return {
    requestId,
    known: held !== undefined || decisions.length > 0,
    ...(joinedRequestId === undefined ? {} : { joinedRequestId }),
    decisions,
    callLog: [...(held?.callLog ?? [])],
    ...(held === undefined ? {} : describeHeld(held)),
  };
}

function storyOf(
  board: Blackboard,
  requestId: string,
  joinedRequestId?: string,
): DecisionEntry[] {
  const own = board.decisions.story(requestId);
  if (joinedRequestId === undefined || joinedRequestId === requestId) {
    return [...own];
  }
  return [...own, ...board.decisions.story(joinedRequestId)]
    .sort((a, b) => a.atMs - b.atMs);
}

function describeHeld(held: HeldRequest): Partial<RequestStory> {
  const { attempt, outcome, spec } = held;
  return {
    state: held.state,
    workspace: spec.workspace,
    tier: spec.tier,
    pool: spec.pool,
    arrivedAtMs: held.arrivedAtMs,
    ...(outcome && { finishedAtMs: held.finishedAtMs }),
    ...(attempt && { attempt: describeAttempt(attempt) }),
    ...(outcome && { outcome: describeOutcome(outcome) }),
  };
}

function describeAttempt(
  attempt: NonNullable<HeldRequest["attempt"]>,
): AttemptStory {
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

function describeOutcome(outcome: Outcome): OutcomeStory {
  if (outcome.refusal !== undefined) {
    return { answered: false, refusal: outcome.refusal };
  }
  const { targetId, outputTokens, waitedMs, totalMs } = outcome.answer;
  return { answered: true, targetId, outputTokens, waitedMs, totalMs };
}
