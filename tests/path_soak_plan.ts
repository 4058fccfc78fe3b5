/** Plans runs in which instances lose and regain their paths to targets. */

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

const MODES = [LinkMode.Refused, LinkMode.Silent, LinkMode.Reset];
const MIN_CUT_MS = 200;
const MAX_CUT_MS = 6000;
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
  const untouched = draw.between(0, instances);
  const cuts = Array.from({ length: CUTS_PER_RUN }, () => ({
    atMs: draw.between(0, lengthMs / 2),
    forMs: draw.between(MIN_CUT_MS, Math.min(MAX_CUT_MS, lengthMs)),
    mode: draw.oneOf(MODES),
    instances: Array.from({ length: instances }, (_, index) => index)
      .filter((index) => index !== untouched && draw.withProbability(0.7)),
  }));
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
