/** Plans instances that lose their paths to all targets in a seed. */

import { LinkMode } from "@chestnuthatch/platform/standin_link";
import { Draw } from "./soak_draw.ts";

/** Instances that cannot reach any target for a time. */
export interface PlannedCut {
  readonly atMs: number;
  readonly forMs: number;
  readonly mode: LinkMode;
  /** Indexes of the instances; at least one instance is never cut off. */
  readonly instances: readonly number[];
}

/** Options of a draw of cuts. */
export interface CutOptions {
  readonly lengthMs: number;
  /** Number of instances. */
  readonly instances: number;
  readonly count: number;
}

/** Added to a seed, so that this plan does not change the faults drawn for it. */
const SEED_OFFSET = 800_000;
const CUTS_PER_S = 0.5;
const MS_PER_S = 1000;

const MODES = [LinkMode.Refused, LinkMode.Silent, LinkMode.Reset];
const MIN_CUT_MS = 200;
const MAX_CUT_MS = 6000;
const CUT_OFF_SHARE = 0.7;

/**
 * Draws cuts of which none concerns a certain instance.
 *
 * @param draw Source of the draws.
 * @param options Duration of the load, and numbers of instances and cuts.
 * @returns The cuts; they may overlap.
 */
export function drawCuts(
  draw: Draw,
  { lengthMs, instances, count }: CutOptions,
): PlannedCut[] {
  const untouched = draw.between(0, instances);
  return Array.from({ length: count }, () => ({
    atMs: draw.between(0, lengthMs / 2),
    forMs: draw.between(MIN_CUT_MS, Math.min(MAX_CUT_MS, lengthMs)),
    mode: draw.oneOf(MODES),
    instances: Array.from({ length: instances }, (_, index) => index)
      .filter((index) =>
        index !== untouched && draw.withProbability(CUT_OFF_SHARE)
      ),
  }));
}

/**
 * Plans the cuts of a seed.
 *
 * @param seed The seed.
 * @param of Duration of the seed's load, and the number of instances.
 * @returns The cuts, which are the same for the same seed and options.
 */
export function planCuts(
  seed: number,
  { lengthMs, instances }: Omit<CutOptions, "count">,
): PlannedCut[] {
  const count = Math.ceil(lengthMs / MS_PER_S * CUTS_PER_S);
  return drawCuts(new Draw(seed + SEED_OFFSET), { lengthMs, instances, count });
}
