/** Plans targets that end answers early, or without framing, in a seed. */

import { DESK_POOL, ENGINE_POOL } from "@chestnuthatch/platform/standin_fleet";
import { TargetBehavior } from "@chestnuthatch/platform/target_behavior";
import { Draw } from "./soak_draw.ts";

/** A time in which a target ends its answers its own way. */
export interface PlannedAnswerEnd {
  /** Pool of the target. */
  readonly pool: string;
  readonly atMs: number;
  readonly forMs: number;
  /** Selects the target, modulo their number. */
  readonly index: number;
  /** Way in which answers end; `Serve` if they end well. */
  readonly behavior: TargetBehavior;
  /** Whether answers have neither a length nor chunks. */
  readonly isUnframed: boolean;
}

/** Added to a seed, so that this plan does not change the faults drawn for it. */
const SEED_OFFSET = 600_000;
const PLAIN_SEED_OFFSET = 1_000_000;
const ENDS_PER_S = 1;
const MS_PER_S = 1000;
const MIN_DURATION_MS = 300;
const MAX_DURATION_MS = 3000;
const UNFRAMED_SHARE = 0.7;

const BEHAVIORS = [
  TargetBehavior.Serve,
  TargetBehavior.EndInsideEvent,
  TargetBehavior.EndBeforeEmptyLine,
  TargetBehavior.EndWithoutEvents,
];

const PLAIN_BEHAVIORS = [
  TargetBehavior.Serve,
  TargetBehavior.EndInsideHead,
  TargetBehavior.EndAfterHead,
  TargetBehavior.EndInsideBody,
];

/**
 * Plans ways in which targets end their streams and their plain answers.
 *
 * @param seed The seed.
 * @param lengthMs Duration of the seed's load in milliseconds.
 * @returns The times, which are the same for the same seed and duration.
 */
export function planAnswerEnds(
  seed: number,
  lengthMs: number,
): PlannedAnswerEnd[] {
  const plan = (pool: string, behaviors: TargetBehavior[], draw: Draw) => {
    const count = Math.ceil(lengthMs / MS_PER_S * ENDS_PER_S);
    return Array.from({ length: count }, () => ({
      pool,
      atMs: draw.between(0, lengthMs),
      forMs: draw.between(MIN_DURATION_MS, MAX_DURATION_MS),
      index: draw.between(0, 1000),
      behavior: draw.oneOf(behaviors),
      isUnframed: draw.withProbability(UNFRAMED_SHARE),
    }));
  };
  return [
    ...plan(ENGINE_POOL, BEHAVIORS, new Draw(seed + SEED_OFFSET)),
    ...plan(DESK_POOL, PLAIN_BEHAVIORS, new Draw(seed + PLAIN_SEED_OFFSET)),
  ];
}
