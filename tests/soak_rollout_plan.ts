/** Plans the roll-out of a seed of the soak. */

import { TargetBehavior } from "@chestnuthatch/platform/target_behavior";
import { Draw } from "./soak_draw.ts";

/** A roll-out of a new version of the plain pool. */
export interface PlannedRollout {
  /** When the roll-out is ordered, after the start of the seed. */
  readonly atMs: number;
  /** Ordered duration of the roll-out. */
  readonly withinMs: number;
  /** Behavior of the new version's targets. */
  readonly behavior: TargetBehavior;
  /** Time from the start of the new targets until they behave that way. */
  readonly behaviorAfterMs: number;
}

/**
 * Added to a seed, so that this plan does not change the faults drawn for it.
 */
const SEED_OFFSET = 100_000;
const MIN_DURATION_MS = 4000;
const MAX_DURATION_MS = 8000;
const MAX_START_SHARE = 0.3;
const DELAYED_BEHAVIOR_SHARE = 0.3;

const BEHAVIORS = [
  TargetBehavior.Serve,
  TargetBehavior.Fail,
  TargetBehavior.CutOff,
  TargetBehavior.Unsealed,
];

/**
 * Plans a roll-out.
 *
 * @param seed The seed.
 * @param lengthMs Duration of the seed's load in milliseconds.
 * @returns The roll-out, which is the same for the same seed and duration.
 */
export function planRollout(seed: number, lengthMs: number): PlannedRollout {
  const draw = new Draw(seed + SEED_OFFSET);
  return {
    atMs: draw.between(0, MAX_START_SHARE * lengthMs),
    withinMs: draw.between(MIN_DURATION_MS, MAX_DURATION_MS),
    behavior: draw.oneOf(BEHAVIORS),
    behaviorAfterMs: draw.withProbability(DELAYED_BEHAVIOR_SHARE)
      ? draw.between(0, MIN_DURATION_MS)
      : 0,
  };
}
