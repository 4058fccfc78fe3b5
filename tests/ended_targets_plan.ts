/**
 * Plans runs in which one request, or one part of prompts, ends every target
 * that runs it.
 */

import { seededRandomSource } from "@chestnuthatch/core/random_source";

/** Disturbances before the request is sent again. */
export enum Disturbance {
  None = "none",
  /** One instance is killed and started again. */
  OneKilled = "one_killed",
  /** All instances are killed and started again. */
  AllKilled = "all_killed",
  /**
   * One instance is paused while another gets the request, then gets it too.
   */
  OnePaused = "one_paused",
  /**
   * The store is restored to a snapshot from before the request's last turn.
   */
  StoreRestored = "store_went_back",
}

/** What the requests that end targets have in common. */
export enum EndingCause {
  /** They are copies of one request. */
  WholeRequest = "whole_request",
  /** Only a part of their prompts is the same. */
  PromptPart = "prompt_part",
}

/** Fleet, callers and disturbances of a run. */
export interface EndedTargetsPlan {
  readonly seed: number;
  readonly instances: number;
  readonly engines: number;
  /** Number of callers that each send other requests, one at a time. */
  readonly otherCallers: number;
  /** Disturbance before each turn of the request. */
  readonly disturbances: readonly Disturbance[];
  /** Copies of the request that are sent at once, each to another instance. */
  readonly concurrency: number;
  /** Time until an ended target is started again. */
  readonly restartDelayMs: number;
  readonly cause: EndingCause;
  /** Delay of the store's answers to reads of records; 0 if absent. */
  readonly recordsDelayMs?: number;
}

const INSTANCES = { min: 3, max: 6 };
const ENGINES = { min: 4, max: 8 };
const OTHER_CALLERS = { min: 4, max: 15 };
const TURN_COUNT = 12;
const CONCURRENCY = { min: 1, max: 3 };
const RESTART_DELAY_MS = { min: 100, max: 2100 };
const CAUSES = { min: 0, max: 1 };

const DISTURBANCES: readonly Disturbance[] = [
  Disturbance.None,
  Disturbance.None,
  Disturbance.None,
  Disturbance.OneKilled,
  Disturbance.AllKilled,
  Disturbance.OnePaused,
  Disturbance.StoreRestored,
];

/**
 * Plans a run.
 *
 * @param seed Any whole number.
 * @returns The plan, which is the same for the same seed.
 */
export function planEndedTargets(seed: number): EndedTargetsPlan {
  const randomness = seededRandomSource(seed);
  const between = ({ min, max }: { min: number; max: number }) =>
    min + Math.floor(randomness.next() * (max - min + 1));
  const kinds = { min: 0, max: DISTURBANCES.length - 1 };
  return {
    seed,
    instances: between(INSTANCES),
    engines: between(ENGINES),
    otherCallers: between(OTHER_CALLERS),
    disturbances: Array.from(
      { length: TURN_COUNT },
      () => DISTURBANCES[between(kinds)]!,
    ),
    concurrency: between(CONCURRENCY),
    restartDelayMs: between(RESTART_DELAY_MS),
    cause: [EndingCause.WholeRequest, EndingCause.PromptPart][between(CAUSES)]!,
  };
}
