/**
 * A deployment on a manual clock: entry instances over fakes of everything
 * around them. Not a cluster simulator: it keeps just what decisions see.
 */

import { hash32 } from "@chestnuthatch/core/text_hash";
import { seededRandomSource } from "@chestnuthatch/core/random_source";
import { shardKey } from "@chestnuthatch/core/blackboard";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import { ListedKind } from "@chestnuthatch/wire/platform_protocol";
import { BaselineInstance } from "./baseline_instance.ts";
import { Callers } from "./callers.ts";
import { ControlCosts } from "./control_costs.ts";
import { CoreInstance } from "./core_instance.ts";
import type { DeploymentPlan } from "./deployments.ts";
import { EngineHost } from "./engine_host.ts";
import type {
  EntryInstance,
  HeldWork,
  InstanceContext,
} from "./entry_instance.ts";
import { EventQueue } from "./event_queue.ts";
import { Network } from "./network.ts";
import { PeerLinks } from "./peer_links.ts";
import { PlatformHost } from "./platform_host.ts";
import {
  type CallRecord,
  type LowerTierWork,
  PromiseChecker,
  type WorldView,
} from "./promises.ts";
import { RunJournal } from "./run_journal.ts";
import { ServiceHost } from "./service_host.ts";
import type { TargetHost } from "./target_host.ts";
import type { WorkItem } from "./work_item.ts";

/** Which scheduler runs. */
export enum Variant {
  Scheduler = "scheduler",
  Baseline = "baseline",
}

/** How a world is made. */
export interface WorldOptions {
  readonly plan: DeploymentPlan;
  readonly variant: Variant;
  readonly seed: number;
  readonly useAffinity: boolean;
}

const TICK_SPREAD_MS = 50;
const RESTART_MS = 5000;
const INSTANCE_SEED_STEP = 1009;

/** Everything of one run. */
export class ManualWorld implements WorldView {
  readonly queue = new EventQueue();
  readonly network: Network;
  readonly platform: PlatformHost;
  readonly checker = new PromiseChecker(this);
  readonly journal = new RunJournal({
    queue: this.queue,
    checker: this.checker,
  });
  readonly costs = new ControlCosts();
  readonly targets: ReadonlyMap<string, TargetHost>;
  readonly instances: readonly EntryInstance[];
  readonly plan: DeploymentPlan;
  readonly #callers: Callers;

  /** @param options How it is made. */
  constructor(options: WorldOptions) {
    const { plan, seed } = options;
    const { queue, checker, journal } = this;
    this.plan = plan;
    this.network = new Network(plan.delays);
    this.platform = new PlatformHost({
      queue,
      network: this.network,
      random: seededRandomSource(seed + 1),
    });
    this.targets = this.#makeTargets(seed);
    this.#callers = new Callers({
      queue,
      checker,
      journal,
      random: seededRandomSource(seed + 2),
      delayMs: plan.delays.toCallersMs,
      instances: () => this.instances,
    });
    this.instances = this.#makeInstances(options);
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
      this.platform.list({ id: instanceId, kind, failureDomain }, {
        atOnce: true,
      });
    }
    for (const { settings: { id, failureDomain } } of this.targets.values()) {
      const kind = ListedKind.Target;
      this.platform.list({ id, kind, failureDomain }, { atOnce: true });
    }
    this.instances.forEach((instance) => instance.start());
  }

  /** @param items What callers want. */
  schedule(items: readonly WorkItem[]): void {
    this.#callers.schedule(items);
  }

  /** @param instanceId An instance that is killed, and replaced later. */
  killInstance(instanceId: string): void {
    const instance = this.instances.find((each) =>
      each.instanceId === instanceId
    );
    instance?.kill();
    this.queue.after(RESTART_MS, () => instance?.start());
  }

  /**
   * Freezes an instance for a while.
   *
   * @param instanceId The instance.
   * @param forMs How long.
   */
  pauseInstance(instanceId: string, forMs: number): void {
    const instance = this.instances.find((each) =>
      each.instanceId === instanceId
    );
    instance?.pause();
    this.queue.after(forMs, () => instance?.resume());
  }

  /** @param targetId A target that leaves: it tells so, the list lags. */
  leaveTarget(targetId: string): void {
    this.targets.get(targetId)?.leave();
    this.platform.listLeaving(targetId);
  }

  /** @param targetId A target that dies. */
  killTarget(targetId: string): void {
    this.targets.get(targetId)?.kill();
    this.platform.unlist(targetId);
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
  coordinatorOf(targetId: string): string {
    const { pool, failureDomain } = this.targets.get(targetId)!.settings;
    const key = shardKey(pool, failureDomain);
    const ranked = this.instances
      .filter((instance) => instance.failureDomain === failureDomain)
      .map(({ instanceId }) => instanceId)
      .sort((a, b) => hash32(`${key}/${b}`) - hash32(`${key}/${a}`));
    return ranked[0];
  }

  /** @inheritdoc */
  nowMs(): number {
    return this.queue.nowMs;
  }

  /** @inheritdoc */
  lowerTierWork(call: CallRecord): LowerTierWork[] {
    return this.instances
      .filter(({ instanceId }) => this.inReach(call.holderId, instanceId))
      .flatMap((instance) =>
        instance.heldWork()
          .filter((work) =>
            work.pool === call.pool && work.tierRank > call.tierRank &&
            (!work.running || work.cancellable)
          )
          .map((work) => ({
            requestId: work.requestId,
            description: describeWork(work, instance.instanceId),
          }))
      );
  }

  /** @inheritdoc */
  inReach(holderId: string, otherId: string): boolean {
    const [holder, other] = [holderId, otherId].map((id) =>
      this.instances.find(({ instanceId }) => instanceId === id)
    );
    return holder !== undefined && other !== undefined && other.isLive &&
      !other.isPaused &&
      this.network.reaches(holder.failureDomain, other.failureDomain);
  }

  /** @inheritdoc */
  story(call: CallRecord): string[] {
    const holder = this.instances.find(({ instanceId }) =>
      instanceId === call.holderId
    );
    return holder?.story(call.requestId) ?? [];
  }

  #makeTargets(seed: number): Map<string, TargetHost> {
    const { queue, network, checker, journal } = this;
    const targets = new Map<string, TargetHost>();
    for (const target of this.plan.settings.targets.values()) {
      const pool = this.plan.settings.pools.get(target.pool)!;
      const context = {
        queue,
        network,
        checker,
        journal,
        seed: seed + hash32(target.id) % INSTANCE_SEED_STEP,
        model: pool.model,
      };
      const host = pool.kind === TargetKind.Engine
        ? new EngineHost(target, context)
        : new ServiceHost(target, context);
      targets.set(target.id, host);
    }
    return targets;
  }

  #makeInstances(options: WorldOptions): EntryInstance[] {
    const { plan, variant, seed, useAffinity } = options;
    const { queue, network, platform, targets, checker, costs } = this;
    const context: InstanceContext = {
      queue,
      network,
      platform,
      targets,
      checker,
      costs,
      useAffinity,
      peers: new PeerLinks(queue, network),
      callers: this.#callers,
    };
    const { loadPollMs } = plan.settings.timing;
    return plan.instances.map((place, index) => {
      const own = { ...place, seed: seed + (index + 1) * INSTANCE_SEED_STEP };
      if (variant === Variant.Baseline) {
        return new BaselineInstance(context, { ...own, loadPollMs });
      }
      return new CoreInstance(context, {
        ...own,
        region: plan.region,
        seedPeers: plan.instances.filter((peer) => peer !== place)
          .map((peer) => ({ ...peer, address: `${peer.instanceId}:1` })),
        tickOffsetMs: TICK_SPREAD_MS * index / plan.instances.length,
      });
    });
  }
}

function describeWork(work: HeldWork, instanceId: string): string {
  const doing = work.running ? "runs" : "waits";
  const sinceMs = Math.round(work.heldSinceMs);
  return `${work.requestId} of tier ${work.tierRank} ${doing} at ` +
    `${instanceId}, held since ${sinceMs} ms`;
}
