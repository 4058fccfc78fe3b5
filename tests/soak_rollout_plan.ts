/** What roll-out a seed of the soak has. */

import { seededRandomness } from "@chestnuthatch/core/randomness";
import { TargetConduct } from "@chestnuthatch/platform/standin_target";

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
  const random = seededRandomness(seed + SEED_OFFSET);
  const between = (least: number, below: number) =>
    Math.floor(least + (below - least) * random.next());
  return {
    atMs: between(0, EARLY_PART * lengthMs),
    withinMs: between(SHORTEST_MS, LONGEST_MS),
    conduct: CONDUCTS[between(0, CONDUCTS.length)]!,
    turnsAfterMs: random.next() < LATE_SHARE ? between(0, SHORTEST_MS) : 0,
  };
}
