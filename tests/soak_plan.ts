/** The plan of one seed of the soak: its fleet, load and faults. */

import { planCuts, type PlannedCut } from "./soak_cut_plan.ts";
import { Draw } from "./soak_draw.ts";
import { planLoads, type PlannedLoads } from "./soak_loads_plan.ts";
import { type PlannedSilence, planSilences } from "./soak_silence_plan.ts";
import {
  planAnswerEnds,
  type PlannedAnswerEnd,
} from "./soak_answer_end_plan.ts";
import { type PlannedVersion, planVersions } from "./soak_stream_plan.ts";
import { type PlannedRollout, planRollout } from "./soak_rollout_plan.ts";
import {
  type PlannedSignal,
  planSignals,
  type SoakSignal,
} from "./soak_signals_plan.ts";
import { TargetBehavior } from "@chestnuthatch/platform/target_behavior";

/** Kinds of faults. */
export enum SoakFault {
  InstanceKilled = "instance_killed",
  InstancePaused = "instance_paused",
  /** An instance is shut down gracefully and started again. */
  InstanceRestarted = "instance_restarted",
  InstanceReloaded = "instance_reloaded",
  /** An instance is shut down while it reloads changed settings. */
  InstanceReloadedWhileStopping = "instance_reloaded_while_stopping",
  /** An instance gets two shutdown signals and is started again. */
  InstanceStoppedTwice = "instance_asked_twice",
  /** Several instances are restarted at once. */
  InstancesRestartedTogether = "instances_restarted_together",
  /** Several instances are restarted at short intervals. */
  InstancesRestartedInTurn = "instances_restarted_in_turn",
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
  StoreHistoryLost = "store_forgets",
  ConfigurationChanged = "configuration_changed",
  /** Several versions of the configuration are written at short intervals. */
  ConfigurationsInSeries = "configurations_in_series",
}

/** Way in which a caller reads its answers. */
export enum ReadingSpeed {
  Immediate = "at_once",
  /** Pauses after each part. */
  Slow = "slow",
  /** Reads nothing for some hundred milliseconds, then all at once. */
  Delayed = "late_start",
}

/** A caller that keeps its connection and sends one call at a time. */
export interface PlannedCaller {
  /** Index of the instance that it calls. */
  readonly index: number;
  readonly readingSpeed: ReadingSpeed;
  /** Whether it calls through a link of limited rate. */
  readonly isBehindNarrowLink: boolean;
}

/** Changes that a version of the configuration makes to the default one. */
export interface ConfigurationChange {
  readonly idleTimeoutMs: number;
  readonly headerTimeoutMs: number;
  /** Share of its default timeout that each route has. */
  readonly timeoutShare: number;
  readonly hasSecondKey: boolean;
  readonly hasSecondRoute: boolean;
}

/** A fault with its time and parameters. */
export interface PlannedFault {
  readonly fault: SoakFault;
  readonly atMs: number;
  readonly forMs: number;
  /** Selects the instance or target, modulo their number. */
  readonly index: number;
  /** Number of instances or versions, for faults that take several. */
  readonly count: number;
  readonly change: ConfigurationChange;
  /** Behavior of the target during the fault. */
  readonly behavior: TargetBehavior;
  /** Offset of the time of day of processes that the fault starts. */
  readonly clockSkewMs: number;
}

/** Fleet, load and faults of one seed. */
export interface SoakPlan {
  readonly seed: number;
  readonly instances: number;
  readonly engines: number;
  readonly desks: number;
  readonly callsPerS: number;
  /** A period with a higher rate of calls. */
  readonly surge: {
    readonly callsPerS: number;
    readonly atMs: number;
    readonly forMs: number;
  };
  /** Minimum duration of the load, which lasts until the last fault is over. */
  readonly lengthMs: number;
  /** Faults by start time; they may overlap. */
  readonly faults: readonly PlannedFault[];
  readonly callers: readonly PlannedCaller[];
  /** Roll-out of a new version of the plain pool, beside the faults. */
  readonly rollout?: PlannedRollout;
  /** Silent connections to the store, beside the faults. */
  readonly silences: readonly PlannedSilence[];
  /**
   * Versions of the engines that are added beside the faults. Callers take up
   * broken streams if there are any.
   */
  readonly versions: readonly PlannedVersion[];
  /** Ways in which targets end their streams, beside the faults. */
  readonly streamEnds: readonly PlannedAnswerEnd[];
  /** Instances that are cut off from all targets, beside the faults. */
  readonly cuts: readonly PlannedCut[];
  /** Signals that targets send in answers, beside the faults. */
  readonly signals: readonly PlannedSignal[];
  /** Uneven load, beside the faults. */
  readonly loads?: PlannedLoads;
  /** Rate at which a caller connection accepts answers, for each instance. */
  readonly writeBytesPerS: readonly number[];
}

/** Size of the fleets that are drawn. */
export enum SoakSize {
  Small = "small",
  Large = "large",
}

/** Options of a plan. */
export interface PlanOptions {
  /** Minimum duration of the load. */
  readonly lengthMs: number;
  readonly size?: SoakSize;
  /** Number of instances; absent to draw it. */
  readonly instances?: number;
  /** Number of engines; absent to draw it. */
  readonly engines?: number;
  /** Whether a new version is rolled out. */
  readonly rollout?: boolean;
  /** Whether connections to the store fall silent. */
  readonly silences?: boolean;
  /** Whether versions of the engines serve side by side. */
  readonly versions?: boolean;
  /** Whether targets end streams early, or without framing. */
  readonly streamEnds?: boolean;
  /** Whether instances are cut off from all targets. */
  readonly cuts?: boolean;
  /**
   * Whether targets report their loads, workspaces send unevenly, and targets
   * crash while the coordinator is killed.
   */
  readonly loads?: boolean;
  /** Kinds of signals that targets send. */
  readonly signals?: readonly SoakSignal[];
}

/** Bounds of a draw; the upper one is excluded. */
type Range = readonly [min: number, below: number];

/** Ranges from which the numbers of a fleet size are drawn. */
interface SizeRanges {
  readonly instances: Range;
  readonly engines: Range;
  readonly desks: Range;
  readonly callsPerS: Range;
  readonly surgePerS: Range;
  /** Callers with kept connections per instance. */
  readonly callers: Range;
}

const SIZES: Readonly<Record<SoakSize, SizeRanges>> = {
  [SoakSize.Small]: {
    instances: [2, 6],
    engines: [2, 5],
    desks: [2, 4],
    callsPerS: [20, 60],
    surgePerS: [100, 200],
    callers: [2, 5],
  },
  // Callers, targets and relays share one process. At higher rates of calls,
  // its own delays would be reported as faults of the instances.
  [SoakSize.Large]: {
    instances: [24, 40],
    engines: [12, 20],
    desks: [6, 10],
    callsPerS: [60, 100],
    surgePerS: [150, 250],
    callers: [1, 3],
  },
};

const BEHAVIORS = [
  TargetBehavior.Reject,
  TargetBehavior.Fail,
  TargetBehavior.CutOff,
  TargetBehavior.FallSilent,
  TargetBehavior.ResetUnframed,
  TargetBehavior.CrossAnswer,
  TargetBehavior.Unsealed,
];

/**
 * Faults that are planned maintenance by operators. Half of the seeds have no
 * others, so that no other fault can excuse a broken answer there.
 */
const MAINTENANCE_FAULTS = [
  SoakFault.InstanceRestarted,
  SoakFault.InstanceReloaded,
  SoakFault.InstanceReloadedWhileStopping,
  SoakFault.InstanceStoppedTwice,
  SoakFault.InstancesRestartedTogether,
  SoakFault.InstancesRestartedInTurn,
  SoakFault.TargetLeaves,
  SoakFault.ConfigurationChanged,
  SoakFault.ConfigurationsInSeries,
];
const MAINTENANCE_ONLY_SHARE = 0.5;

const MAX_CLOCK_SKEW_MS = 5000;
const MAX_FAULT_MS = 2000;
const MIN_FAULT_MS = 100;
const MS_PER_S = 1000;
const FAULTS_PER_S = 1.5;
const MAX_SERIES_LENGTH = 6;

const IDLE_TIMEOUTS_MS = [150, 1000, 15_000];
const HEADER_TIMEOUTS_MS = [1000, 3000];
const TIMEOUT_SHARES = [0.7, 1];

/**
 * Share of surges that begin while a stopping instance starts to refuse calls,
 * and the time of that after the shutdown signal.
 */
const SURGE_IN_STOP_SHARE = 0.5;
const SURGE_AFTER_SIGNAL_MS = 2400;

const NARROW_LINK_SHARE = 0.3;
const NARROW_INSTANCE_SHARE = 0.6;

/**
 * Rate at which a caller connection accepts answers at an instance with narrow
 * links: an answer of 300 KB takes some 200 ms, the largest stream two seconds.
 */
const NARROW_BYTES_PER_S = 1_500_000;

/**
 * Plans the fleet, load and faults of a seed.
 *
 * @param seed The seed.
 * @param options Duration and size of the run, and its optional parts.
 * @returns The plan, which is the same for the same seed and options.
 */
export function planSoak(seed: number, options: PlanOptions): SoakPlan {
  const draw = new Draw(seed);
  const { lengthMs, size = SoakSize.Small } = options;
  const ranges = SIZES[size];
  const drawn = {
    instances: draw.between(...ranges.instances),
    engines: draw.between(...ranges.engines),
    desks: draw.between(...ranges.desks),
  };
  const loads = options.loads === true ? planLoads(seed, lengthMs) : undefined;
  const instances = Math.max(
    options.instances ?? drawn.instances,
    loads?.instances ?? 0,
  );
  const faults = planFaults(draw, lengthMs);
  return {
    seed,
    ...drawn,
    instances,
    engines: options.engines ?? drawn.engines,
    callsPerS: draw.between(...ranges.callsPerS),
    surge: {
      callsPerS: draw.between(...ranges.surgePerS),
      atMs: surgeAtMs(draw, lengthMs, faults),
      forMs: draw.between(300, 1000),
    },
    lengthMs,
    faults,
    rollout: options.rollout === true ? planRollout(seed, lengthMs) : undefined,
    silences: options.silences === true ? planSilences(seed, lengthMs) : [],
    versions: options.versions === true ? planVersions(seed, lengthMs) : [],
    streamEnds: options.streamEnds === true
      ? planAnswerEnds(seed, lengthMs)
      : [],
    cuts: options.cuts === true ? planCuts(seed, { lengthMs, instances }) : [],
    loads,
    signals: planSignals(seed, lengthMs, options.signals ?? []),
    callers: Array.from(
      { length: instances * draw.between(...ranges.callers) },
      (_, index) => planCaller(draw, index % instances),
    ),
    writeBytesPerS: Array.from(
      { length: instances },
      () =>
        draw.withProbability(NARROW_INSTANCE_SHARE)
          ? NARROW_BYTES_PER_S
          : Infinity,
    ),
  };
}

function planFaults(draw: Draw, lengthMs: number): PlannedFault[] {
  const kinds = draw.withProbability(MAINTENANCE_ONLY_SHARE)
    ? MAINTENANCE_FAULTS
    : Object.values(SoakFault);
  const count = Math.ceil(lengthMs / MS_PER_S * FAULTS_PER_S);
  return Array.from({ length: count }, () => planFault(draw, lengthMs, kinds))
    .sort((a, b) => a.atMs - b.atMs);
}

function planFault(
  draw: Draw,
  lengthMs: number,
  kinds: readonly SoakFault[],
): PlannedFault {
  return {
    fault: draw.oneOf(kinds),
    atMs: draw.between(0, lengthMs),
    forMs: draw.between(MIN_FAULT_MS, MAX_FAULT_MS),
    index: draw.between(0, 1000),
    count: draw.between(2, MAX_SERIES_LENGTH),
    change: {
      idleTimeoutMs: draw.oneOf(IDLE_TIMEOUTS_MS),
      headerTimeoutMs: draw.oneOf(HEADER_TIMEOUTS_MS),
      timeoutShare: draw.oneOf(TIMEOUT_SHARES),
      hasSecondKey: draw.withProbability(0.5),
      hasSecondRoute: draw.withProbability(0.5),
    },
    behavior: draw.oneOf(BEHAVIORS),
    clockSkewMs: draw.between(-MAX_CLOCK_SKEW_MS, MAX_CLOCK_SKEW_MS),
  };
}

function surgeAtMs(
  draw: Draw,
  lengthMs: number,
  faults: readonly PlannedFault[],
): number {
  const stop = faults.find(({ fault }) =>
    fault === SoakFault.InstanceRestarted ||
    fault === SoakFault.InstancesRestartedTogether
  );
  return stop !== undefined && draw.withProbability(SURGE_IN_STOP_SHARE)
    ? stop.atMs + SURGE_AFTER_SIGNAL_MS
    : draw.between(0, lengthMs);
}

function planCaller(draw: Draw, index: number): PlannedCaller {
  return {
    index,
    readingSpeed: draw.oneOf(Object.values(ReadingSpeed)),
    isBehindNarrowLink: draw.withProbability(NARROW_LINK_SHARE),
  };
}
