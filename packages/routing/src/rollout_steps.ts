/** When a roll-out goes on to its next phase. */

import { RolloutPhase } from "./rollout.ts";
import { Verdict } from "./version_evidence.ts";

/** Part of a roll-out's time after which a sound version is promoted. */
export const PROMOTE_PART = 0.5;

/** The same, by which the outcome is to be written. */
const FINISH_PART = 0.85;

/** Least time under the whole load before a roll-out is completed. */
const MIN_PROMOTION_MS = 1500;

/** Part of the old version's slots that the new one must have to be promoted. */
const MIN_CAPACITY_PART = 0.7;

/** Times a roll-out's own time after which one without a verdict is taken back. */
const GIVE_UP_PART = 3;

/** What a roll-out's next step depends on. */
export interface StepInput {
  /** Time since the order, in parts of the ordered time. */
  readonly agePart: number;
  /** Time since this instance came to know the phase. */
  readonly phaseAgeMs: number;
  readonly verdict: Verdict;
  /** Slots of the new version's targets, and of the old one's. */
  readonly newSlots: number;
  readonly oldSlots: number;
  /** Requests that the old version's targets still work on. */
  readonly oldWork: number;
  /** Whether the outcome could be written. */
  readonly reachesStore: boolean;
}

type Advance = (input: StepInput) => RolloutPhase;

const ADVANCE: Readonly<Record<RolloutPhase, Advance>> = {
  [RolloutPhase.Pending]: (input) => {
    if (input.newSlots > 0) {
      return RolloutPhase.Canary;
    }
    return isGivenUp(input) ? RolloutPhase.RollingBack : RolloutPhase.Pending;
  },
  [RolloutPhase.Canary]: (input) => {
    if (input.verdict === Verdict.Bad || isGivenUp(input)) {
      return RolloutPhase.RollingBack;
    }
    return mayPromote(input) ? RolloutPhase.Promoting : RolloutPhase.Canary;
  },
  [RolloutPhase.Promoting]: (input) => {
    if (input.verdict === Verdict.Bad || isGivenUp(input)) {
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
  { agePart, verdict, newSlots, oldSlots, reachesStore }: StepInput,
): boolean {
  return verdict === Verdict.Sound && reachesStore &&
    newSlots >= MIN_CAPACITY_PART * oldSlots && agePart >= PROMOTE_PART;
}

/**
 * Old targets stop on completion, which cannot be undone: the version has to be
 * sound still, also for a coordinator that has seen none of its earlier answers.
 * All old work is done by then, or there is no time left to wait for it.
 */
function mayComplete(
  { agePart, phaseAgeMs, verdict, oldWork, reachesStore }: StepInput,
): boolean {
  return verdict === Verdict.Sound && reachesStore &&
    phaseAgeMs >= MIN_PROMOTION_MS &&
    (oldWork === 0 || agePart >= FINISH_PART);
}

function isGivenUp({ agePart }: StepInput): boolean {
  return agePart >= GIVE_UP_PART;
}

/**
 * @param phase The phase that a roll-out is in.
 * @param input What the next one depends on.
 * @returns The phase that it is to be in.
 */
export function nextPhase(phase: RolloutPhase, input: StepInput): RolloutPhase {
  return ADVANCE[phase](input);
}
