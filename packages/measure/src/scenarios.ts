/** Scenarios to simulate: the load and the injected faults of each. */

import { TargetKind } from "@chestnuthatch/wire/shared_types";
import {
  EVENING_MIX,
  type KindMix,
  RAIN_MIX,
  type RatePhase,
} from "@chestnuthatch/standins/workload";
import { Deployment, WorkKind } from "@chestnuthatch/standins/work_kinds";
import { capacityPerSecond } from "./capacity.ts";
import type { DeploymentPlan } from "./deployment_plan.ts";
import type { Simulation } from "./simulation.ts";

/** Scenarios, by the names that are used on the command line and in reports. */
export enum Scenario {
  /** Low load, with a change of the settings. */
  Calm = "calm",
  /** Overload with the deployment's mix of kinds during a surge. */
  BurstAfterRain = "burst-after-rain",
  /** Overload with a larger share of long requests. */
  EveningRush = "evening-rush",
  /** An engine becomes slow for a while. */
  Straggler = "straggler",
  /** An engine announces that it is leaving. */
  TargetLeaving = "target-leaving",
  /** An engine is killed. */
  TargetKilled = "target-killed",
  /** An instance is killed that doesn't coordinate the first engine. */
  HolderKilled = "holder-killed",
  /** The coordinator of the first engine's shard is killed. */
  CoordinatorKilled = "coordinator-killed",
  /** A failure domain is isolated, and the settings change meanwhile. */
  DomainCutOff = "domain-cut-off",
  /** The platform doesn't answer for a while. */
  StoreAway = "store-away",
  /** Answers to writes on the platform get lost for a while. */
  LostAnswers = "lost-answers",
  /** The coordinator of the first engine's shard is paused. */
  InstancePaused = "instance-paused",
}

/** Duration, load and faults of a scenario. */
export interface ScenarioDefinition {
  /** Duration of the load. */
  readonly durationMs: number;
  /**
   * Returns the load on a deployment.
   *
   * @param plan The deployment, whose capacity determines the request rates.
   * @returns Phases of constant request rate in time order.
   */
  loadPhases(plan: DeploymentPlan): RatePhase[];
  /**
   * Schedules the faults.
   *
   * @param simulation The simulation to inject the faults into.
   * @param startMs Time at which the load starts.
   */
  scheduleFaults(simulation: Simulation, startMs: number): void;
}

/** Repetition by callers who don't receive an answer soon enough. */
export const REPEAT_OPTIONS = { share: 0.05, afterMs: 800 };

/** Request rate relative to the deployment's capacity, without overload. */
const CALM_LOAD_RATIO = 0.5;
/** Request rate relative to the deployment's capacity, while faults happen. */
const BUSY_LOAD_RATIO = 0.75;
/** Request rate relative to the capacity for the surge's own mix of kinds. */
const SURGE_LOAD_RATIO = 2;
const DURATION_MS = 90_000;
const SURGE_DURATION_MS = 120_000;
const SURGE_FROM_MS = 20_000;
const SURGE_UNTIL_MS = 80_000;
const FAULT_AT_MS = 30_000;
const CUT_OFF_DURATION_MS = 20_000;
const STORE_AWAY_DURATION_MS = 30_000;
const LOST_ANSWERS_DURATION_MS = 40_000;
const LOST_ANSWER_SHARE = 0.2;
const PAUSE_DURATION_MS = 5000;
const STRAGGLER_SLOWDOWN_RATIO = 5;
const STRAGGLER_DURATION_MS = 40_000;

const BURST_AFTER_RAIN_MIXES: Readonly<Record<Deployment, KindMix>> = {
  [Deployment.ShambaSafi]: RAIN_MIX,
  [Deployment.SunuRegistrs]: EVENING_MIX,
};

const EVENING_RUSH_MIXES: Readonly<Record<Deployment, KindMix>> = {
  [Deployment.ShambaSafi]: { ...RAIN_MIX, [WorkKind.SeasonPlan]: 45 },
  [Deployment.SunuRegistrs]: {
    ...EVENING_MIX,
    [WorkKind.CaseFileReading]: 35,
  },
};

/** Every scenario, in the order in which it is reported. */
export const SCENARIOS: Readonly<Record<Scenario, ScenarioDefinition>> = {
  [Scenario.Calm]: {
    durationMs: DURATION_MS,
    loadPhases: (plan) => steadyPhases(plan, CALM_LOAD_RATIO),
    scheduleFaults: (simulation, startMs) =>
      simulation.queue.at(
        startMs + FAULT_AT_MS,
        () => simulation.changeSettings(),
      ),
  },
  [Scenario.BurstAfterRain]: {
    durationMs: SURGE_DURATION_MS,
    loadPhases: (plan) =>
      surgePhases(plan, BURST_AFTER_RAIN_MIXES[plan.deployment]),
    scheduleFaults: () => {},
  },
  [Scenario.EveningRush]: {
    durationMs: SURGE_DURATION_MS,
    loadPhases: (plan) =>
      surgePhases(plan, EVENING_RUSH_MIXES[plan.deployment]),
    scheduleFaults: () => {},
  },
  [Scenario.Straggler]: busyScenario((simulation, startMs) => {
    const targetId = firstEngineId(simulation);
    const setSlowdown = (factor: number) =>
      simulation.targets.get(targetId)
        ?.setSlowdown(factor);
    const fromMs = startMs + FAULT_AT_MS;
    simulation.queue.at(fromMs, () => setSlowdown(STRAGGLER_SLOWDOWN_RATIO));
    simulation.queue.at(fromMs + STRAGGLER_DURATION_MS, () => setSlowdown(1));
  }),
  [Scenario.TargetLeaving]: busyScenario((simulation, startMs) => {
    const targetId = firstEngineId(simulation);
    simulation.queue.at(
      startMs + FAULT_AT_MS,
      () => simulation.startTargetLeaving(targetId),
    );
  }),
  [Scenario.TargetKilled]: busyScenario((simulation, startMs) => {
    const targetId = firstEngineId(simulation);
    simulation.queue.at(
      startMs + FAULT_AT_MS,
      () => simulation.killTarget(targetId),
    );
  }),
  [Scenario.HolderKilled]: busyScenario((simulation, startMs) => {
    const coordinatorId = simulation.findCoordinatorId(
      firstEngineId(simulation),
    );
    const holder = simulation.instances.find(({ instanceId }) =>
      instanceId !== coordinatorId
    )!;
    simulation.queue.at(
      startMs + FAULT_AT_MS,
      () => simulation.killInstance(holder.instanceId),
    );
  }),
  [Scenario.CoordinatorKilled]: busyScenario((simulation, startMs) => {
    const coordinatorId = simulation.findCoordinatorId(
      firstEngineId(simulation),
    );
    simulation.queue.at(
      startMs + FAULT_AT_MS,
      () => simulation.killInstance(coordinatorId),
    );
  }),
  [Scenario.DomainCutOff]: busyScenario((simulation, startMs) => {
    const { failureDomain } = simulation.instances[0];
    const fromMs = startMs + FAULT_AT_MS;
    simulation.queue.at(
      fromMs,
      () => simulation.network.isolateDomain(failureDomain),
    );
    // The isolated domain must receive this change once it is reconnected.
    simulation.queue.at(
      fromMs + CUT_OFF_DURATION_MS / 2,
      () => simulation.changeSettings(),
    );
    simulation.queue.at(
      fromMs + CUT_OFF_DURATION_MS,
      () => simulation.network.reconnectDomain(failureDomain),
    );
  }),
  [Scenario.StoreAway]: busyScenario((simulation, startMs) => {
    const fromMs = startMs + FAULT_AT_MS;
    simulation.queue.at(fromMs, () => simulation.platform.setDown(true));
    simulation.queue.at(
      fromMs + STORE_AWAY_DURATION_MS,
      () => simulation.platform.setDown(false),
    );
  }),
  [Scenario.LostAnswers]: busyScenario((simulation, startMs) => {
    const fromMs = startMs + FAULT_AT_MS;
    simulation.queue.at(
      fromMs,
      () => simulation.platform.setLostAnswerShare(LOST_ANSWER_SHARE),
    );
    simulation.queue.at(
      fromMs + LOST_ANSWERS_DURATION_MS,
      () => simulation.platform.setLostAnswerShare(0),
    );
  }),
  [Scenario.InstancePaused]: busyScenario((simulation, startMs) => {
    const coordinatorId = simulation.findCoordinatorId(
      firstEngineId(simulation),
    );
    simulation.queue.at(
      startMs + FAULT_AT_MS,
      () => simulation.pauseInstance(coordinatorId, PAUSE_DURATION_MS),
    );
  }),
};

function busyScenario(
  scheduleFaults: ScenarioDefinition["scheduleFaults"],
): ScenarioDefinition {
  return {
    durationMs: DURATION_MS,
    loadPhases: (plan) => steadyPhases(plan, BUSY_LOAD_RATIO),
    scheduleFaults,
  };
}

function steadyPhases(plan: DeploymentPlan, loadRatio: number): RatePhase[] {
  const ratePerSecond = loadRatio * capacityPerSecond(plan, undefined);
  return [{ fromMs: 0, ratePerSecond }];
}

function surgePhases(plan: DeploymentPlan, mix: KindMix): RatePhase[] {
  const calmPerSecond = CALM_LOAD_RATIO * capacityPerSecond(plan, undefined);
  const surgePerSecond = SURGE_LOAD_RATIO * capacityPerSecond(plan, mix);
  return [
    { fromMs: 0, ratePerSecond: calmPerSecond },
    { fromMs: SURGE_FROM_MS, ratePerSecond: surgePerSecond, mix },
    { fromMs: SURGE_UNTIL_MS, ratePerSecond: calmPerSecond },
  ];
}

function firstEngineId(simulation: Simulation): string {
  const { targets, pools } = simulation.plan.settings;
  const engine = [...targets.values()].find((target) =>
    pools.get(target.pool)?.kind === TargetKind.Engine
  );
  return engine!.id;
}
