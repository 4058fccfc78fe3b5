/** What happens in one run of a request that ends targets. */

import { seededRandomSource } from "@chestnuthatch/core/random_source";

/** What happens to instances before the request comes again. */
export enum Disturbance {
  None = "none",
  /** Killed, and started again. */
  OneKilled = "one_killed",
  AllKilled = "all_killed",
  /** Stands still while the request comes through another, then gets it. */
  OnePaused = "one_paused",
  /** The store comes back as it was before the request came last. */
  StoreWentBack = "store_went_back",
}

/** What a run is made of. */
export interface EndedTargetsPlan {
  readonly seed: number;
  readonly instances: number;
  readonly engines: number;
  /** Callers that each send one request after the other. */
  readonly bystanders: number;
  /** What happens before each time that the request comes. */
  readonly disturbances: readonly Disturbance[];
  /** Times that it comes at once, each through another instance. */
  readonly atOnce: number;
  /** How long an ended target is away. */
  readonly awayMs: number;
}

const INSTANCES = { least: 3, most: 6 };
const ENGINES = { least: 4, most: 8 };
const BYSTANDERS = { least: 4, most: 15 };
const TURNS = 12;
const AT_ONCE = { least: 1, most: 3 };
const AWAY_MS = { least: 100, most: 2100 };

const DISTURBANCES: readonly Disturbance[] = [
  Disturbance.None,
  Disturbance.None,
  Disturbance.None,
  Disturbance.OneKilled,
  Disturbance.AllKilled,
  Disturbance.OnePaused,
  Disturbance.StoreWentBack,
];

/**
 * @param seed Any whole number.
 * @returns A run drawn by it.
 */
export function planEndedTargets(seed: number): EndedTargetsPlan {
  const randomness = seededRandomSource(seed);
  const between = ({ least, most }: { least: number; most: number }) =>
    least + Math.floor(randomness.next() * (most - least + 1));
  const turns = { least: 0, most: DISTURBANCES.length - 1 };
  return {
    seed,
    instances: between(INSTANCES),
    engines: between(ENGINES),
    bystanders: between(BYSTANDERS),
    disturbances: Array.from(
      { length: TURNS },
      () => DISTURBANCES[between(turns)]!,
    ),
    atOnce: between(AT_ONCE),
    awayMs: between(AWAY_MS),
  };
}
