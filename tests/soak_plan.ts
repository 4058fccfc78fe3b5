/** What happens in one seed of the soak: the fleet, its load and its faults. */

import {
  type Randomness,
  seededRandomness,
} from "@chestnuthatch/core/randomness";
import { TargetConduct } from "@chestnuthatch/platform/standin_target";

/** Kinds of fault. */
export enum SoakFault {
  InstanceKilled = "instance_killed",
  InstancePaused = "instance_paused",
  /** Shut down gracefully, and started again. */
  InstanceRestarted = "instance_restarted",
  InstanceReloaded = "instance_reloaded",
  AllInstancesKilled = "all_instances_killed",
  TargetLinkReset = "target_link_reset",
  TargetLinkCut = "target_link_cut",
  TargetLinkSilent = "target_link_silent",
  TargetAnswersHeld = "target_answers_held",
  TargetRequestsHeld = "target_requests_held",
  TargetLinkSlow = "target_link_slow",
  TargetMisbehaves = "target_misbehaves",
  TargetLeaves = "target_leaves",
  StoreLinkReset = "store_link_reset",
  StoreLinkCut = "store_link_cut",
  StoreLinkSilent = "store_link_silent",
  StoreBusy = "store_busy",
  StoreForgets = "store_forgets",
  ConfigurationChanged = "configuration_changed",
}

/** One fault, at its time. */
export interface PlannedFault {
  readonly fault: SoakFault;
  readonly atMs: number;
  readonly forMs: number;
  /** Which instance or target, counted round. */
  readonly index: number;
  /** What a target does meanwhile. */
  readonly conduct: TargetConduct;
  /** How far the time of day of a process that starts is off. */
  readonly clockSkewMs: number;
}

/** One seed, planned. */
export interface SoakPlan {
  readonly seed: number;
  readonly instances: number;
  readonly engines: number;
  readonly desks: number;
  readonly callsPerS: number;
  /** Calls a second while a surge lasts, and when it does. */
  readonly surge: {
    readonly callsPerS: number;
    readonly atMs: number;
    readonly forMs: number;
  };
  readonly lengthMs: number;
  /** In order of time; they may overlap. */
  readonly faults: readonly PlannedFault[];
}

const CONDUCTS = [
  TargetConduct.Reject,
  TargetConduct.Fail,
  TargetConduct.CutOff,
  TargetConduct.FallSilent,
  TargetConduct.ResetUnframed,
  TargetConduct.CrossAnswer,
  TargetConduct.Unsealed,
];

const MAX_CLOCK_SKEW_MS = 5000;
const LONGEST_FAULT_MS = 2000;
const SHORTEST_FAULT_MS = 100;
const MS_PER_S = 1000;
const FAULTS_PER_S = 1.5;

/**
 * Plans a seed.
 *
 * @param seed The seed.
 * @param lengthMs How long callers call.
 * @returns The plan; the same for the same seed and length.
 */
export function planSoak(seed: number, lengthMs: number): SoakPlan {
  const random = seededRandomness(seed);
  const between = (least: number, most: number) =>
    Math.floor(least + (most - least) * random.next());
  const count = Math.ceil(lengthMs / MS_PER_S * FAULTS_PER_S);
  const faults = Array.from(
    { length: count },
    () => planFault(random, lengthMs),
  ).sort((a, b) => a.atMs - b.atMs);
  return {
    seed,
    instances: between(2, 6),
    engines: between(2, 5),
    desks: between(2, 4),
    callsPerS: between(20, 60),
    surge: {
      callsPerS: between(100, 200),
      atMs: between(0, lengthMs),
      forMs: between(300, 1000),
    },
    lengthMs,
    faults,
  };
}

function planFault(random: Randomness, lengthMs: number): PlannedFault {
  const forMs = SHORTEST_FAULT_MS +
    (LONGEST_FAULT_MS - SHORTEST_FAULT_MS) * random.next();
  return {
    fault: oneOf(Object.values(SoakFault), random),
    atMs: lengthMs * random.next(),
    forMs,
    index: Math.floor(1000 * random.next()),
    conduct: oneOf(CONDUCTS, random),
    clockSkewMs: Math.round((2 * random.next() - 1) * MAX_CLOCK_SKEW_MS),
  };
}

function oneOf<T>(all: readonly T[], random: Randomness): T {
  return all[Math.floor(random.next() * all.length)]!;
}
