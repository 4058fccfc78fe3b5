/** What targets tell of themselves in a seed of the soak. */

import { seededRandomness } from "@chestnuthatch/core/randomness";

/** A limit that a target names from some time on. */
export interface PlannedLimit {
  readonly atMs: number;
  /** Which target, counted round. */
  readonly index: number;
  readonly limitPerS: number;
}

/** Added to a seed, so that the faults drawn for it stay as they are. */
const SEED_OFFSET = 200_000;
const MOST_LIMITS = 3;
const EARLY_PART = 0.2;
const HIGHEST_PER_S = 12;

/**
 * @param seed The seed.
 * @param lengthMs How long it is.
 * @returns Limits of some targets.
 */
export function planLimits(seed: number, lengthMs: number): PlannedLimit[] {
  const random = seededRandomness(seed + SEED_OFFSET);
  const between = (least: number, below: number) =>
    Math.floor(least + (below - least) * random.next());
  const count = between(1, MOST_LIMITS + 1);
  return Array.from({ length: count }, () => ({
    atMs: between(0, EARLY_PART * lengthMs),
    index: between(0, 1000),
    limitPerS: between(0, HIGHEST_PER_S * 10) / 10,
  }));
}
