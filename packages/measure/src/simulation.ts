/**
 * Simulation of a deployment: real entry instances on a simulated clock, with
 * simulated targets, platform, network and callers. It models only what the
 * scheduler's decisions depend on.
 */

import { hash32 } from "@chestnuthatch/core/text_hash";
import { seededRandomSource } from "@chestnuthatch/core/random_source";
import { shardKey } from "@chestnuthatch/core/blackboard";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import { ListedKind } from "@chestnuthatch/wire/platform_protocol";
import { BaselineInstance } from "./baseline_instance.ts";
import { SimulatedCallers } from "./simulated_callers.ts";
import { ControlCostCounter } from "./control_cost_counter.ts";
import { CoreInstance } from "./core_instance.ts";
import type { DeploymentPlan } from "./deployment_plan.ts";
import { SimulatedEngine } from "./simulated_engine.ts";
import type {
  EntryInstance,
  HeldWork,
  InstanceContext,
} from "./entry_instance.ts";
import { EventQueue } from "./event_queue.ts";
import { SimulatedNetwork } from "./simulated_network.ts";
import { PeerLinks } from "./peer_links.ts";
import { SimulatedPlatform } from "./simulated_platform.ts";
import {
  type CallRecord,
  type LowerTierWork,
  PromiseChecker,
  type SimulationView,
} from "./promise_checker.ts";
import { RunRecorder } from "./run_recorder.ts";
import { SimulatedService } from "./simulated_service.ts";
import type { SimulatedTarget } from "./simulated_target.ts";
import type { WorkItem } from "./work_item.ts";

/** Kind of entry instances that a simulation runs. */
export enum SchedulerVariant {
  /** Instances that run the scheduler core. */
  Scheduler = "scheduler",
  /** Instances that pick the better of two random targets. */
  Baseline = "baseline",
}

/** Deployment, scheduler variant and seed of a simulation. */
export interface SimulationOptions {
  readonly plan: DeploymentPlan;
  readonly variant: SchedulerVariant;
  readonly seed: number;
  /** Whether the scheduler places requests by cached prefixes. */
  readonly useAffinity: boolean;
}

/** Range that the first ticks of the instances are spread over. */
const MAX_TICK_OFFSET_MS = 50;
/** Time from the kill of an instance until it starts again. */
const RESTART_DELAY_MS = 5000;
/** Distance between the seeds of instances, and range of those of targets. */
const SEED_STEP = 1009;

/** All parts of one simulated run, and the faults that can be injected. */
export class Simulation implements SimulationView {
  readonly queue = new EventQueue();
  readonly network: SimulatedNetwork;
  readonly platform: SimulatedPlatform;
  readonly checker = new PromiseChecker(this);
  readonly recorder = new RunRecorder({
    queue: this.queue,
    checker: this.checker,
  });
  readonly controlCosts = new ControlCostCounter();
  readonly targets: ReadonlyMap<string, SimulatedTarget>;
  readonly instances: readonly EntryInstance[];
  readonly plan: DeploymentPlan;
  readonly #callers: SimulatedCallers;

  /** @param options Deployment, scheduler variant and seed. */
  constructor(options: SimulationOptions) {
    const { plan, seed } = options;
    const { queue, checker, recorder } = this;
    this.plan = plan;
    this.network = new SimulatedNetwork(plan.delays);
    this.platform = new SimulatedPlatform({
      queue,
      network: this.network,
      random: seededRandomSource(seed + 1),
    });
    this.targets = this.#createTargets(seed);
    this.#callers = new SimulatedCallers({
      queue,
      checker,
      recorder,
      random: seededRandomSource(seed + 2),
      oneWayDelayMs: plan.delays.callerDelayMs,
      instances: () => this.instances,
    });
    this.instances = this.#createInstances(options);
  }

  /**
   * Commits the settings, fills the instance list and starts all instances.
   */
  start(): void {
    const { settingsText } = this.plan;
    this.platform.commitSettings({
      version: 1,
      content: settingsText,
      changeId: "change-1",
    });
    for (const { instanceId, failureDomain } of this.instances) {
      const kind = ListedKind.Entry;
      this.platform.addToList({ id: instanceId, kind, failureDomain }, {
        atOnce: true,
      });
    }
    for (const { settings: { id, failureDomain } } of this.targets.values()) {
      const kind = ListedKind.Target;
      this.platform.addToList({ id, kind, failureDomain }, { atOnce: true });
    }
    this.instances.forEach((instance) => instance.start());
  }

  /**
   * Schedules the calls of the callers.
   *
   * @param items The items with the times of their calls.
   */
  scheduleItems(items: readonly WorkItem[]): void {
    this.#callers.scheduleItems(items);
  }

  /**
   * Kills an instance and starts it again later.
   *
   * @param instanceId Id of the instance.
   */
  killInstance(instanceId: string): void {
    const instance = this.instances.find((each) =>
      each.instanceId === instanceId
    );
    instance?.kill();
    this.queue.after(RESTART_DELAY_MS, () => instance?.start());
  }

  /**
   * Pauses an instance and resumes it later.
   *
   * @param instanceId Id of the instance.
   * @param durationMs Length of the pause.
   */
  pauseInstance(instanceId: string, durationMs: number): void {
    const instance = this.instances.find((each) =>
      each.instanceId === instanceId
    );
    instance?.pause();
    this.queue.after(durationMs, () => instance?.resume());
  }

  /**
   * Makes a target leave: it announces so at once, and the instance list shows
   * it after its lag.
   *
   * @param targetId Id of the target.
   */
  startTargetLeaving(targetId: string): void {
    this.targets.get(targetId)?.startLeaving();
    this.platform.markLeaving(targetId);
  }

  /**
   * Kills a target and removes it from the instance list.
   *
   * @param targetId Id of the target.
   */
  killTarget(targetId: string): void {
    this.targets.get(targetId)?.kill();
    this.platform.removeFromList(targetId);
  }

  /** Commits version 2 of the settings, which differs only in a comment. */
  changeSettings(): void {
    this.platform.commitSettings({
      version: 2,
      content: `${this.plan.settingsText}\n# version 2\n`,
      changeId: "change-2",
    });
  }

  /**
   * Finds the coordinator of a target's shard, provided that all instances are
   * alive: the instance of the shard's failure domain with the highest hash.
   *
   * @param targetId Id of a target of the shard.
   * @returns Id of the coordinating instance.
   */
  findCoordinatorId(targetId: string): string {
    const { pool, failureDomain } = this.targets.get(targetId)!.settings;
    const key = shardKey(pool, failureDomain);
    const rankedInstanceIds = this.instances
      .filter((instance) => instance.failureDomain === failureDomain)
      .map(({ instanceId }) => instanceId)
      .sort((a, b) => hash32(`${key}/${b}`) - hash32(`${key}/${a}`));
    return rankedInstanceIds[0];
  }

  /** @inheritdoc */
  nowMs(): number {
    return this.queue.nowMs;
  }

  /** @inheritdoc */
  findLowerTierWork(call: CallRecord): LowerTierWork[] {
    return this.instances
      .filter(({ instanceId }) => this.canReach(call.holderId, instanceId))
      .flatMap((instance) =>
        instance.heldWork()
          .filter((work) =>
            work.pool === call.pool && work.tierRank > call.tierRank &&
            (!work.running || work.cancellable)
          )
          .map((work) => ({
            requestId: work.requestId,
            description: describeHeldWork(work, instance.instanceId),
          }))
      );
  }

  /** @inheritdoc */
  canReach(holderId: string, otherId: string): boolean {
    const [holder, other] = [holderId, otherId].map((id) =>
      this.instances.find(({ instanceId }) => instanceId === id)
    );
    return holder !== undefined && other !== undefined && other.isLive &&
      !other.isPaused &&
      this.network.isConnected(holder.failureDomain, other.failureDomain);
  }

  /** @inheritdoc */
  describeDecisions(call: CallRecord): string[] {
    const holder = this.instances.find(({ instanceId }) =>
      instanceId === call.holderId
    );
    return holder?.describeDecisions(call.requestId) ?? [];
  }

  #createTargets(seed: number): Map<string, SimulatedTarget> {
    const { queue, network, checker, recorder } = this;
    const targets = new Map<string, SimulatedTarget>();
    for (const target of this.plan.settings.targets.values()) {
      const pool = this.plan.settings.pools.get(target.pool)!;
      const context = {
        queue,
        network,
        checker,
        recorder,
        seed: seed + hash32(target.id) % SEED_STEP,
        model: pool.model,
      };
      const simulatedTarget = pool.kind === TargetKind.Engine
        ? new SimulatedEngine(target, context)
        : new SimulatedService(target, context);
      targets.set(target.id, simulatedTarget);
    }
    return targets;
  }

  #createInstances(options: SimulationOptions): EntryInstance[] {
    const { plan, variant, seed, useAffinity } = options;
    const { queue, network, platform, targets, checker, controlCosts } = this;
    const context: InstanceContext = {
      queue,
      network,
      platform,
      targets,
      checker,
      controlCosts,
      useAffinity,
      peerLinks: new PeerLinks(queue, network),
      callers: this.#callers,
    };
    const { loadPollMs } = plan.settings.timing;
    return plan.instances.map((location, index) => {
      const instanceOptions = {
        ...location,
        seed: seed + (index + 1) * SEED_STEP,
      };
      if (variant === SchedulerVariant.Baseline) {
        return new BaselineInstance(context, {
          ...instanceOptions,
          loadPollMs,
        });
      }
      return new CoreInstance(context, {
        ...instanceOptions,
        region: plan.region,
        seedPeers: plan.instances.filter((peer) => peer !== location)
          .map((peer) => ({ ...peer, address: `${peer.instanceId}:1` })),
        tickOffsetMs: MAX_TICK_OFFSET_MS * index / plan.instances.length,
      });
    });
  }
}

function describeHeldWork(work: HeldWork, instanceId: string): string {
  const state = work.running ? "runs" : "waits";
  const sinceMs = Math.round(work.heldSinceMs);
  return `${work.requestId} of tier ${work.tierRank} ${state} at ` +
    `${instanceId}, held since ${sinceMs} ms`;
}
