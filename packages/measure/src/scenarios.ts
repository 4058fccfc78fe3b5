/** What is measured: loads and faults, by name. */

import { TargetKind } from "@chestnuthatch/wire/shared_types";
import {
  EVENING_MIX,
  type KindMix,
  RAIN_MIX,
  type RatePhase,
} from "@chestnuthatch/standins/workload";
import { Deployment, WorkKind } from "@chestnuthatch/standins/work_kinds";
import { capacityPerSecond } from "./capacity.ts";
import type { DeploymentPlan } from "./deployments.ts";
import type { ManualWorld } from "./manual_world.ts";

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
export interface ScenarioPlan {
  readonly durationMs: number;
  /**
   * Gives the load.
   *
   * @param plan The deployment.
   * @returns Phases in time order.
   */
  phases(plan: DeploymentPlan): RatePhase[];
  /**
   * Schedules the faults.
   *
   * @param world The world.
   * @param startMs When the load begins.
   */
  faults(world: ManualWorld, startMs: number): void;
}

/** Callers whose request has not been answered soon enough post it again. */
export const REPEATS = { share: 0.05, afterMs: 800 };

const CALM_SHARE = 0.5;
const BUSY_SHARE = 0.75;
const SURGE_SHARE = 2;
const DURATION_MS = 90_000;
const SURGE_DURATION_MS = 120_000;
const SURGE_FROM_MS = 20_000;
const SURGE_UNTIL_MS = 80_000;
const FAULT_AT_MS = 30_000;
const CUT_OFF_MS = 20_000;
const STORE_AWAY_MS = 30_000;
const LOST_ANSWERS_MS = 40_000;
const LOST_ANSWER_SHARE = 0.2;
const PAUSE_MS = 5000;
const STRAGGLER_FACTOR = 5;
const STRAGGLER_MS = 40_000;

const RAIN_MIXES: Readonly<Record<Deployment, KindMix>> = {
  [Deployment.ShambaSafi]: RAIN_MIX,
  [Deployment.SunuRegistrs]: EVENING_MIX,
};

const LONG_MIXES: Readonly<Record<Deployment, KindMix>> = {
  [Deployment.ShambaSafi]: { ...RAIN_MIX, [WorkKind.SeasonPlan]: 45 },
  [Deployment.SunuRegistrs]: {
    ...EVENING_MIX,
    [WorkKind.CaseFileReading]: 35,
  },
};

/** Every scenario, in the order in which it is reported. */
export const SCENARIOS: Readonly<Record<Scenario, ScenarioPlan>> = {
  [Scenario.Calm]: {
    durationMs: DURATION_MS,
    phases: (plan) => steady(plan, CALM_SHARE),
    faults: (world, startMs) =>
      world.queue.at(startMs + FAULT_AT_MS, () => world.changeSettings()),
  },
  [Scenario.BurstAfterRain]: {
    durationMs: SURGE_DURATION_MS,
    phases: (plan) => surge(plan, RAIN_MIXES[plan.deployment]),
    faults: () => {},
  },
  [Scenario.EveningRush]: {
    durationMs: SURGE_DURATION_MS,
    phases: (plan) => surge(plan, LONG_MIXES[plan.deployment]),
    faults: () => {},
  },
  [Scenario.Straggler]: busy((world, startMs) => {
    const target = firstEngine(world);
    const slow = (factor: number) =>
      world.targets.get(target)
        ?.setSlowdown(factor);
    const fromMs = startMs + FAULT_AT_MS;
    world.queue.at(fromMs, () => slow(STRAGGLER_FACTOR));
    world.queue.at(fromMs + STRAGGLER_MS, () => slow(1));
  }),
  [Scenario.TargetLeaving]: busy((world, startMs) => {
    const target = firstEngine(world);
    world.queue.at(startMs + FAULT_AT_MS, () => world.leaveTarget(target));
  }),
  [Scenario.TargetKilled]: busy((world, startMs) => {
    const target = firstEngine(world);
    world.queue.at(startMs + FAULT_AT_MS, () => world.killTarget(target));
  }),
  [Scenario.HolderKilled]: busy((world, startMs) => {
    const coordinator = world.coordinatorOf(firstEngine(world));
    const holder = world.instances.find(({ instanceId }) =>
      instanceId !== coordinator
    )!;
    world.queue.at(
      startMs + FAULT_AT_MS,
      () => world.killInstance(holder.instanceId),
    );
  }),
  [Scenario.CoordinatorKilled]: busy((world, startMs) => {
    const coordinator = world.coordinatorOf(firstEngine(world));
    world.queue.at(
      startMs + FAULT_AT_MS,
      () => world.killInstance(coordinator),
    );
  }),
  [Scenario.DomainCutOff]: busy((world, startMs) => {
    const { failureDomain } = world.instances[0];
    const fromMs = startMs + FAULT_AT_MS;
    world.queue.at(fromMs, () => world.network.cutOff(failureDomain));
    // Settings that change meanwhile must reach the domain once it is back.
    world.queue.at(fromMs + CUT_OFF_MS / 2, () => world.changeSettings());
    world.queue.at(
      fromMs + CUT_OFF_MS,
      () => world.network.heal(failureDomain),
    );
  }),
  [Scenario.StoreAway]: busy((world, startMs) => {
    const fromMs = startMs + FAULT_AT_MS;
    world.queue.at(fromMs, () => world.platform.setDown(true));
    world.queue.at(
      fromMs + STORE_AWAY_MS,
      () => world.platform.setDown(false),
    );
  }),
  [Scenario.LostAnswers]: busy((world, startMs) => {
    const fromMs = startMs + FAULT_AT_MS;
    world.queue.at(
      fromMs,
      () => world.platform.setLostAnswerShare(LOST_ANSWER_SHARE),
    );
    world.queue.at(
      fromMs + LOST_ANSWERS_MS,
      () => world.platform.setLostAnswerShare(0),
    );
  }),
  [Scenario.InstancePaused]: busy((world, startMs) => {
    const coordinator = world.coordinatorOf(firstEngine(world));
    world.queue.at(
      startMs + FAULT_AT_MS,
      () => world.pauseInstance(coordinator, PAUSE_MS),
    );
  }),
};

function busy(faults: ScenarioPlan["faults"]): ScenarioPlan {
  return {
    durationMs: DURATION_MS,
    phases: (plan) => steady(plan, BUSY_SHARE),
    faults,
  };
}

function steady(plan: DeploymentPlan, share: number): RatePhase[] {
  const ratePerSecond = share * capacityPerSecond(plan, undefined);
  return [{ fromMs: 0, ratePerSecond }];
}

function surge(plan: DeploymentPlan, mix: KindMix): RatePhase[] {
  const calmPerSecond = CALM_SHARE * capacityPerSecond(plan, undefined);
  const surgePerSecond = SURGE_SHARE * capacityPerSecond(plan, mix);
  return [
    { fromMs: 0, ratePerSecond: calmPerSecond },
    { fromMs: SURGE_FROM_MS, ratePerSecond: surgePerSecond, mix },
    { fromMs: SURGE_UNTIL_MS, ratePerSecond: calmPerSecond },
  ];
}

function firstEngine(world: ManualWorld): string {
  const { targets, pools } = world.plan.settings;
  const engine = [...targets.values()].find((target) =>
    pools.get(target.pool)?.kind === TargetKind.Engine
  );
  return engine!.id;
}
