/** What follows when an attempt at a target ended without a whole answer. */

import { RequestKind } from "./fleet_configuration.ts";

/** How an attempt ended. */
export enum AttemptEnd {
  /** No byte of it reached a target. */
  NotSent = "not_sent",
  /** The target said that it did not run it. */
  Rejected = "rejected",
  /** The target answered with a failure of its own. */
  Failed = "failed",
  /** It was sent, and its answer broke off, is wrong, or never came. */
  Lost = "lost",
  /** The same, and the target's process is gone. */
  TargetEnded = "target_ended",
}

/** What to do next. */
export enum NextStep {
  /** Ask for another place. */
  AskAgain = "ask_again",
  /** Pass the target's own failure on. */
  PassOn = "pass_on",
  /** Tell the caller that it has not run. */
  RefuseNotRun = "refuse_not_run",
  /** Tell the caller that it may have run. */
  FailMayHaveRun = "fail_may_have_run",
}

/** What the decision depends on. */
export interface AttemptState {
  readonly kind: RequestKind;
  readonly end: AttemptEnd;
  /** Targets that may have run it, this one included. */
  readonly runs: number;
  readonly maxAttempts: number;
  /** Sends that no target ran, this one included. */
  readonly rejections: number;
}

/**
 * Rejections after which a request is given up: by then each of several targets
 * has said that it is full or gone.
 */
const MAX_REJECTIONS = 4;

const MAY_RUN_AGAIN: Readonly<Record<RequestKind, boolean>> = {
  [RequestKind.Repeatable]: true,
  [RequestKind.AtMostOnce]: false,
  [RequestKind.Stream]: false,
  [RequestKind.ResumableStream]: true,
};

/**
 * Whether a request of a kind may run more than once.
 *
 * @param kind The kind.
 * @returns False for those that run at most once.
 */
export function mayRunAgain(kind: RequestKind): boolean {
  return MAY_RUN_AGAIN[kind];
}

type Handler = (state: AttemptState) => NextStep;

const afterLoss: Handler = (state) =>
  canRunAgain(state) ? NextStep.AskAgain : NextStep.FailMayHaveRun;

const HANDLERS: Readonly<Record<AttemptEnd, Handler>> = {
  [AttemptEnd.NotSent]: afterNoRun,
  [AttemptEnd.Rejected]: afterNoRun,
  [AttemptEnd.Failed]: (state) =>
    canRunAgain(state) ? NextStep.AskAgain : NextStep.PassOn,
  [AttemptEnd.Lost]: afterLoss,
  [AttemptEnd.TargetEnded]: afterLoss,
};

/**
 * Decides what follows on an attempt.
 *
 * @param state How the attempt ended, and what went before.
 * @returns The next step.
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
