/** What roll-out a seed of the soak has. */

import { TargetBehavior } from "@chestnuthatch/platform/standin_target";
import { Draw } from "./soak_draw.ts";

/** A roll-out of the plain pool, at its time. */
export interface PlannedRollout {
  readonly atMs: number;
  readonly withinMs: number;
  /** What the new version's targets do, from some time after their start on. */
  readonly behavior: TargetBehavior;
  readonly behaviorAfterMs: number;
}

/** Added to a seed, so that the faults drawn for it stay as they are. */
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
 * @param seed The seed.
 * @param lengthMs How long it is.
 * @returns The seed's roll-out.
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
