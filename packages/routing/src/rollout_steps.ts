/** State machine of roll-outs: the conditions for each change of phase. */

import { RolloutPhase } from "./rollout.ts";
import { Verdict } from "./version_evidence.ts";

/**
 * Age of a roll-out, relative to its time, from which a sound version is
 * promoted.
 */
export const PROMOTION_AGE_RATIO = 0.5;

/**
 * Age of a roll-out, relative to its time, from which it completes although old
 * targets still have work. The rest of the time is for writing the outcome.
 */
const COMPLETION_AGE_RATIO = 0.85;

/** Least time with all requests on the new version before completion. */
const MIN_PROMOTION_MS = 1500;

/**
 * Slots that the new version needs for promotion, relative to the old one's.
 */
const MIN_CAPACITY_RATIO = 0.7;

/**
 * Age of a roll-out, relative to its time, at which it is rolled back
 * unfinished.
 */
const ABANDON_AGE_RATIO = 3;

/** Inputs of the decision on a roll-out's next phase. */
export interface StepInput {
  /** Time since the order, relative to the time that the order allows. */
  readonly ageRatio: number;
  /** Time since this instance entered the phase or received it. */
  readonly phaseAgeMs: number;
  readonly verdict: Verdict;
  /** Slots of all usable targets of the new version. */
  readonly newSlots: number;
  /** Slots of all usable targets of the old version. */
  readonly oldSlots: number;
  /** Requests in flight on targets of the old version. */
  readonly oldInFlight: number;
  /** Whether the store is reachable, so that the outcome can be written. */
  readonly reachesStore: boolean;
}

type Advance = (input: StepInput) => RolloutPhase;

const ADVANCE: Readonly<Record<RolloutPhase, Advance>> = {
  [RolloutPhase.Pending]: (input) => {
    if (input.newSlots > 0) {
      return RolloutPhase.Canary;
    }
    return isAbandoned(input) ? RolloutPhase.RollingBack : RolloutPhase.Pending;
  },
  [RolloutPhase.Canary]: (input) => {
    if (input.verdict === Verdict.Bad || isAbandoned(input)) {
      return RolloutPhase.RollingBack;
    }
    return mayPromote(input) ? RolloutPhase.Promoting : RolloutPhase.Canary;
  },
  [RolloutPhase.Promoting]: (input) => {
    if (input.verdict === Verdict.Bad || isAbandoned(input)) {
      return RolloutPhase.RollingBack;
    }
    return mayComplete(input)
      ? RolloutPhase.Completing
      : RolloutPhase.Promoting;
  },
  [RolloutPhase.Completing]: () => RolloutPhase.Completing,
  [RolloutPhase.Completed]: () => RolloutPhase.Completed,
  [RolloutPhase.RollingBack]: () => RolloutPhase.RollingBack,
  [RolloutPhase.RolledBack]: () => RolloutPhase.RolledBack,
};

function mayPromote(
  { ageRatio, verdict, newSlots, oldSlots, reachesStore }: StepInput,
): boolean {
  return verdict === Verdict.Sound && reachesStore &&
    newSlots >= MIN_CAPACITY_RATIO * oldSlots &&
    ageRatio >= PROMOTION_AGE_RATIO;
}

/**
 * Old targets stop after the completion, which cannot be undone. Therefore the
 * version must still be sound, also for a new coordinator that has no evidence
 * of its predecessor. The old targets must have drained, unless there is no
 * time left to wait for them.
 */
function mayComplete(
  { ageRatio, phaseAgeMs, verdict, oldInFlight, reachesStore }: StepInput,
): boolean {
  return verdict === Verdict.Sound && reachesStore &&
    phaseAgeMs >= MIN_PROMOTION_MS &&
    (oldInFlight === 0 || ageRatio >= COMPLETION_AGE_RATIO);
}

function isAbandoned({ ageRatio }: StepInput): boolean {
  return ageRatio >= ABANDON_AGE_RATIO;
}

/**
 * Decides on the next phase of a roll-out.
 *
 * @param phase The current phase.
 * @param input Inputs of the decision.
 * @returns The next phase, or the current one if nothing changes.
 */
export function nextPhase(phase: RolloutPhase, input: StepInput): RolloutPhase {
  return ADVANCE[phase](input);
}
