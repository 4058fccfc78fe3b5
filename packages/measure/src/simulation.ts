/**
 * A deployment on a manual clock: entry instances over fakes of everything
 * around them. Not a cluster simulator: it keeps just what decisions see.
 */

import { hash32 } from "@chestnuthatch/core/text_hash";
import { seededRandomness } from "@chestnuthatch/core/randomness";
import { shardKey } from "@chestnuthatch/core/blackboard";
import { TargetKind } from "@chestnuthatch/wire/work";
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

/** Which scheduler runs. */
export enum SchedulerVariant {
  Scheduler = "scheduler",
  Baseline = "baseline",
}

/** How a world is made. */
export interface SimulationOptions {
  readonly plan: DeploymentPlan;
  readonly variant: SchedulerVariant;
  readonly seed: number;
  readonly useAffinity: boolean;
}

const MAX_TICK_OFFSET_MS = 50;
const RESTART_DELAY_MS = 5000;
const SEED_STEP = 1009;

/** Everything of one run. */
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

  /** @param options How it is made. */
  constructor(options: SimulationOptions) {
    const { plan, seed } = options;
    const { queue, checker, recorder } = this;
    this.plan = plan;
    this.network = new SimulatedNetwork(plan.delays);
    this.platform = new SimulatedPlatform({
      queue,
      network: this.network,
      random: seededRandomness(seed + 1),
    });
    this.targets = this.#createTargets(seed);
    this.#callers = new SimulatedCallers({
      queue,
      checker,
      recorder,
      random: seededRandomness(seed + 2),
      oneWayDelayMs: plan.delays.callerDelayMs,
      instances: () => this.instances,
    });
    this.instances = this.#createInstances(options);
  }

  /** Lists and starts everything. */
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

  /** @param items What callers want. */
  scheduleItems(items: readonly WorkItem[]): void {
    this.#callers.scheduleItems(items);
  }

  /** @param instanceId An instance that is killed, and replaced later. */
  killInstance(instanceId: string): void {
    const instance = this.instances.find((each) =>
      each.instanceId === instanceId
    );
    instance?.kill();
    this.queue.after(RESTART_DELAY_MS, () => instance?.start());
  }

  /**
   * Freezes an instance for a while.
   *
   * @param instanceId The instance.
   * @param durationMs How long.
   */
  pauseInstance(instanceId: string, durationMs: number): void {
    const instance = this.instances.find((each) =>
      each.instanceId === instanceId
    );
    instance?.pause();
    this.queue.after(durationMs, () => instance?.resume());
  }

  /** @param targetId A target that leaves: it tells so, the list lags. */
  startTargetLeaving(targetId: string): void {
    this.targets.get(targetId)?.startLeaving();
    this.platform.markLeaving(targetId);
  }

  /** @param targetId A target that dies. */
  killTarget(targetId: string): void {
    this.targets.get(targetId)?.kill();
    this.platform.removeFromList(targetId);
  }

  /** Commits the next version of the settings, with the same meaning. */
  changeSettings(): void {
    this.platform.commitSettings({
      version: 2,
      content: `${this.plan.settingsText}\n# version 2\n`,
      changeId: "change-2",
    });
  }

  /**
   * Finds the instance that coordinates a shard while all are alive.
   *
   * @param targetId A target of the shard.
   * @returns The instance's id.
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
