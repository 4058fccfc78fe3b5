/** What is measured: loads and faults, by name. */

import { TargetKind } from "@chestnuthatch/wire/work";
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

/** Names of the scenarios. */
export enum Scenario {
  Calm = "calm",
  BurstAfterRain = "burst-after-rain",
  EveningRush = "evening-rush",
  Straggler = "straggler",
  TargetLeaving = "target-leaving",
  TargetKilled = "target-killed",
  HolderKilled = "holder-killed",
  CoordinatorKilled = "coordinator-killed",
  DomainCutOff = "domain-cut-off",
  StoreAway = "store-away",
  LostAnswers = "lost-answers",
  InstancePaused = "instance-paused",
}

/** One scenario. */
export interface ScenarioDefinition {
  readonly durationMs: number;
  /**
   * Gives the load.
   *
   * @param plan The deployment.
   * @returns Phases in time order.
   */
  loadPhases(plan: DeploymentPlan): RatePhase[];
  /**
   * Schedules the faults.
   *
   * @param simulation The world.
   * @param startMs When the load begins.
   */
  scheduleFaults(simulation: Simulation, startMs: number): void;
}

/** Callers whose request has not been answered soon enough post it again. */
export const REPEAT_OPTIONS = { share: 0.05, afterMs: 800 };

const CALM_LOAD_RATIO = 0.5;
const BUSY_LOAD_RATIO = 0.75;
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
    // Settings that change meanwhile must reach the domain once it is back.
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
