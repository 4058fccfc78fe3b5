/**
 * Decides what follows when an attempt at a target ended without a complete
 * answer.
 */

import { RequestKind } from "./fleet_configuration.ts";

/** Outcome of an attempt without a complete answer. */
export enum AttemptEnd {
  /** No byte of the request reached a target. */
  NotSent = "not_sent",
  /** The target answered that it did not run the request. */
  Rejected = "rejected",
  /** The target answered with an error of its own. */
  Failed = "failed",
  /**
   * The target answered with a success that has no body and is delimited by the
   * end of the connection, as if the target had stopped.
   */
  Empty = "empty",
  /** The request was sent, and its answer was truncated, wrong, or missing. */
  Lost = "lost",
  /**
   * The request was sent without a valid answer, and the target's process
   * ended.
   */
  TargetEnded = "target_ended",
}

/** What the holder does after the attempt. */
export enum NextStep {
  /** Ask the coordinator for another placement. */
  AskAgain = "ask_again",
  /** Forward the target's own answer to the caller. */
  PassOn = "pass_on",
  /** Answer that the request has not run. */
  RefuseNotRun = "refuse_not_run",
  /** Answer that the request may have run. */
  FailMayHaveRun = "fail_may_have_run",
}

/** State of a request after an attempt. */
export interface AttemptState {
  readonly kind: RequestKind;
  readonly end: AttemptEnd;
  /**
   * Number of targets that may have run the request, that of this attempt
   * included.
   */
  readonly runs: number;
  readonly maxAttempts: number;
  /** Number of sends that no target ran, that of this attempt included. */
  readonly rejections: number;
}

/**
 * Rejections after which a request is not sent again: by then, several targets
 * have answered that they are full or unavailable.
 */
const MAX_REJECTIONS = 4;

const MAY_RUN_AGAIN: Readonly<Record<RequestKind, boolean>> = {
  [RequestKind.Repeatable]: true,
  [RequestKind.AtMostOnce]: false,
  [RequestKind.Stream]: false,
  [RequestKind.ResumableStream]: true,
};

/**
 * Decides whether requests of a kind may run more than once.
 *
 * @param kind Kind of the request.
 * @returns False for kinds that run at most once.
 */
export function mayRunAgain(kind: RequestKind): boolean {
  return MAY_RUN_AGAIN[kind];
}

type Handler = (state: AttemptState) => NextStep;

const afterLoss: Handler = (state) =>
  canRunAgain(state) ? NextStep.AskAgain : NextStep.FailMayHaveRun;

const afterAnswer: Handler = (state) =>
  canRunAgain(state) ? NextStep.AskAgain : NextStep.PassOn;

const HANDLERS: Readonly<Record<AttemptEnd, Handler>> = {
  [AttemptEnd.NotSent]: afterNoRun,
  [AttemptEnd.Rejected]: afterNoRun,
  [AttemptEnd.Failed]: afterAnswer,
  [AttemptEnd.Empty]: afterAnswer,
  [AttemptEnd.Lost]: afterLoss,
  [AttemptEnd.TargetEnded]: afterLoss,
};

/**
 * Decides what follows an attempt.
 *
 * @param state Outcome of the attempt and counts of those before it.
 * @returns What the holder does next.
 */
export function nextStep(state: AttemptState): NextStep {
  return HANDLERS[state.end](state);
}

function canRunAgain({ kind, runs, maxAttempts }: AttemptState): boolean {
  return MAY_RUN_AGAIN[kind] && runs < maxAttempts;
}

function afterNoRun({ rejections, runs }: AttemptState): NextStep {
  if (rejections < MAX_REJECTIONS) {
    return NextStep.AskAgain;
  }
  return runs === 0 ? NextStep.RefuseNotRun : NextStep.FailMayHaveRun;
}
