/** Plans versions of the engines that serve side by side in a seed. */

import { Draw } from "./soak_draw.ts";

/** Targets of a version of the engines that are added during a seed. */
export interface PlannedVersion {
  readonly name: string;
  readonly atMs: number;
  /** Number of its targets. */
  readonly targets: number;
  /** Number of targets listed before that leave. */
  readonly leaving: number;
}

/** Added to a seed, so that this plan does not change the faults drawn for it. */
const SEED_OFFSET = 700_000;
const MAX_VERSIONS = 3;
const LATEST_START_SHARE = 0.6;
const MAX_TARGETS = 4;
const MAX_LEAVING = 3;

/** The fleet starts with the first version. */
const FIRST_ADDED_VERSION = 2;

/**
 * Plans the versions of a seed.
 *
 * @param seed The seed.
 * @param lengthMs Duration of the seed's load in milliseconds.
 * @returns The versions, which are the same for the same seed and duration.
 */
export function planVersions(seed: number, lengthMs: number): PlannedVersion[] {
  const draw = new Draw(seed + SEED_OFFSET);
  const count = draw.between(1, MAX_VERSIONS + 1);
  return Array.from({ length: count }, (_, index) => ({
    name: `v${FIRST_ADDED_VERSION + index}`,
    atMs: draw.between(0, LATEST_START_SHARE * lengthMs),
    targets: draw.between(1, MAX_TARGETS),
    leaving: draw.between(0, MAX_LEAVING),
  }));
}
