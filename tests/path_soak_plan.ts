/** Plans runs in which instances lose and regain their paths to targets. */

import { drawCuts, type PlannedCut } from "./soak_cut_plan.ts";
import { Draw } from "./soak_draw.ts";

/** A target that sends nothing for a time. */
export interface PlannedPause {
  readonly atMs: number;
  readonly forMs: number;
  /** Selects the target, modulo their number. */
  readonly index: number;
}

/** Fleet, load and faults of a run. */
export interface PathPlan {
  readonly seed: number;
  readonly instances: number;
  readonly engines: number;
  readonly desks: number;
  /** Callers of each instance, which send one request at a time. */
  readonly callers: number;
  readonly lengthMs: number;
  readonly cuts: readonly PlannedCut[];
  readonly pauses: readonly PlannedPause[];
  /**
   * Rejections per second that targets withstand; absent if they withstand any
   * number.
   */
  readonly maxRejectionsPerS?: number;
  /** When an instance is killed; absent if none is. */
  readonly killAtMs?: number;
}

const CUTS_PER_RUN = 3;
const PAUSE_MS = 1000;
const MAX_PAUSES = 3;
const FRAGILE_SHARE = 0.5;
const KILL_SHARE = 0.4;

/**
 * Plans a run.
 *
 * @param seed Any whole number.
 * @param lengthMs Duration of the load.
 * @returns The plan, which is the same for the same seed and duration.
 */
export function planPaths(seed: number, lengthMs: number): PathPlan {
  const draw = new Draw(seed);
  const instances = draw.between(2, 6);
  const cuts = drawCuts(draw, { lengthMs, instances, count: CUTS_PER_RUN });
  return {
    seed,
    instances,
    engines: draw.between(2, 6),
    desks: draw.between(2, 4),
    callers: draw.between(2, 5),
    lengthMs,
    cuts,
    pauses: Array.from({ length: draw.between(0, MAX_PAUSES) }, () => ({
      atMs: draw.between(0, lengthMs),
      forMs: PAUSE_MS,
      index: draw.between(0, 100),
    })),
    maxRejectionsPerS: draw.withProbability(FRAGILE_SHARE)
      ? draw.between(2, 9)
      : undefined,
    killAtMs: draw.withProbability(KILL_SHARE)
      ? draw.between(0, lengthMs)
      : undefined,
  };
}
