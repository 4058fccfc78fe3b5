/** What roll-out a seed of the soak has. */

import { TargetConduct } from "@chestnuthatch/platform/standin_target";
import { Draw } from "./soak_draw.ts";

/** A roll-out of the plain pool, at its time. */
export interface PlannedRollout {
  readonly atMs: number;
  readonly withinMs: number;
  /** What the new version's targets do, from some time after their start on. */
  readonly conduct: TargetConduct;
  readonly turnsAfterMs: number;
}

/** Added to a seed, so that the faults drawn for it stay as they are. */
const SEED_OFFSET = 100_000;
const SHORTEST_MS = 4000;
const LONGEST_MS = 8000;
const EARLY_PART = 0.3;
const LATE_SHARE = 0.3;

const CONDUCTS = [
  TargetConduct.Serve,
  TargetConduct.Fail,
  TargetConduct.CutOff,
  TargetConduct.Unsealed,
];

/**
 * @param seed The seed.
 * @param lengthMs How long it is.
 * @returns The seed's roll-out.
 */
export function planRollout(seed: number, lengthMs: number): PlannedRollout {
  const draw = new Draw(seed + SEED_OFFSET);
  return {
    atMs: draw.between(0, EARLY_PART * lengthMs),
    withinMs: draw.between(SHORTEST_MS, LONGEST_MS),
    conduct: draw.oneOf(CONDUCTS),
    turnsAfterMs: draw.isWithin(LATE_SHARE) ? draw.between(0, SHORTEST_MS) : 0,
  };
}
