/**
 * A view of a shard during one event, with the settings, policies and
 * predictions that decisions about it are based on.
 */

import type {
  SettingsInForce,
  TierPolicy,
} from "@chestnuthatch/settings/settings_types";
import type { AskDetail } from "@chestnuthatch/wire/peer_messages";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import {
  type Blackboard,
  type GrantRecord,
  type Shard,
  shardKey,
  type WaitingAsk,
} from "./blackboard.ts";
import { type ResourceDemand, TargetCapacity } from "./capacity.ts";
import type { Turn } from "./controller.ts";
import { policyOfRank, shardsOf } from "./settings_index.ts";
import {
  type Prediction,
  predictService,
  priorRates,
} from "./service_prediction.ts";

/**
 * Share of a grant's lifetime after which a holder whose beat counter has not
 * advanced gets no grants, since a grant could lapse before the holder uses it.
 */
const MAX_HOLDER_SILENCE_SHARE = 0.8;

/** Time allowed for holders' reports to arrive, beyond their interval. */
const WARM_UP_MARGIN_MS = 200;

/** Predicted service times of an ask in a shard. */
export interface ServiceEstimate {
  /**
   * Shortest service on an idle target; Infinity where no target could hold the
   * work.
   */
  readonly idleMs: number;
  /** Shortest service on a target with all its slots in use. */
  readonly loadedMs: number;
  /** The part of `loadedMs` that reading the prompt takes. */
  readonly prefillMs: number;
}

/** A shard during one event: its queue, target capacities and policies. */
export class ShardView {
  readonly shard: Shard;
  readonly settings: SettingsInForce;
  readonly nowMs: number;
  readonly turn: Turn;
  readonly kind: TargetKind;
  readonly #region: string;
  #capacities?: readonly TargetCapacity[];

  /**
   * @param shard The shard to read.
   * @param settings The settings in force.
   * @param turn The turn of the current event.
   */
  constructor(shard: Shard, settings: SettingsInForce, turn: Turn) {
    this.shard = shard;
    this.settings = settings;
    this.turn = turn;
    this.nowMs = turn.nowMs;
    this.kind = settings.pools.get(shard.pool)?.kind ?? TargetKind.Engine;
    this.#region = settings.regionOfDomain.get(shard.failureDomain) ?? "";
  }

  /**
   * Capacities of all targets that the settings name, sorted by target id. They
   * are computed on first use and kept up to date as work is placed.
   */
  get capacities(): readonly TargetCapacity[] {
    this.#capacities ??= readCapacities(this, this.turn.board);
    return this.#capacities;
  }

  /**
   * Whether this instance became the shard's coordinator so recently that some
   * holders may not have reported their running work yet. Until they do, load
   * reports show such work, but not how much memory it will need.
   */
  get isWarmingUp(): boolean {
    const warmUpMs = this.settings.timing.holderReportMs + WARM_UP_MARGIN_MS;
    return this.nowMs - this.shard.coordinatorSinceMs < warmUpMs;
  }

  /** Capacities of the targets that may get work at all. */
  get availableCapacities(): TargetCapacity[] {
    return this.capacities.filter((capacity) =>
      capacity.unavailableReason === undefined
    );
  }

  /**
   * Resolves the policy that applies to a workspace's work in a tier.
   *
   * @param owner The workspace and the rank of the tier.
   * @returns The policy in the shard's region.
   */
  policyOf(owner: { workspace: string; tierRank: number }): TierPolicy {
    const { workspace, tierRank } = owner;
    const region = this.#region;
    return policyOfRank(this.settings, { region, workspace, tierRank });
  }

  /**
   * Returns the resources that an ask occupies on a target.
   *
   * @param ask The waiting ask.
   * @returns The KV memory it needs and the headroom that its tier leaves free.
   */
  demandOf(ask: WaitingAsk): ResourceDemand {
    const { requestId, tierRank } = ask.detail;
    const { headroomShare } = this.policyOf(ask.detail);
    return { requestId, tierRank, kvTokens: ask.kvTokens, headroomShare };
  }

  /**
   * Checks whether a target may be chosen for an ask, now or once it has enough
   * free capacity.
   *
   * @param capacity Capacity of the target.
   * @param work The ask, and the KV memory it needs in tokens.
   * @returns False for targets that are unavailable, excluded or too small.
   */
  isCandidate(
    capacity: TargetCapacity,
    work: { detail: AskDetail; kvTokens: number },
  ): boolean {
    return capacity.unavailableReason === undefined &&
      capacity.fitsWhenEmpty(work.kvTokens) &&
      !work.detail.excludedTargetIds.includes(capacity.targetId);
  }

  /**
   * Checks whether the beat counter of an ask's holder advanced recently enough
   * for a grant to reach the holder and be used before it lapses.
   *
   * @param ask The waiting ask.
   * @returns False while the holder's beat counter has not advanced for most of
   * a grant's lifetime.
   */
  isHolderResponsive(ask: WaitingAsk): boolean {
    const lifetimeMs = this.settings.timing.grantLifetimeMs;
    const holder = this.shard.holders.get(ask.holderId);
    return holder !== undefined &&
      this.nowMs - holder.beatAdvancedAtMs <
        lifetimeMs * MAX_HOLDER_SILENCE_SHARE;
  }

  /**
   * Predicts the service time of an ask on a target.
   *
   * @param capacity Capacity of the target.
   * @param detail The ask, as its holder sent it.
   * @param load Load to assume of the target: prefill queue in milliseconds and
   * share (0 to 1) of slots in use. The current load by default.
   * @returns The predicted service time in its parts.
   */
  predict(
    capacity: TargetCapacity,
    detail: AskDetail,
    load: { prefillQueueMs: number; utilization: number } = {
      prefillQueueMs: capacity.prefillQueueMs(this.nowMs),
      utilization: capacity.utilization,
    },
  ): Prediction {
    const { promptTokens, expectedOutputTokens, blockHashes } = detail;
    const cachedTokens = this.shard.prefixIndexes.get(capacity.targetId)
      ?.cachedTokens(blockHashes, promptTokens) ?? 0;
    return predictService(
      { promptTokens, cachedTokens, expectedOutputTokens },
      {
        kind: this.kind,
        rates: capacity.target?.rates ?? priorRates(capacity.settings),
        ...load,
      },
    );
  }

  /**
   * Predicts the shortest service time of an ask over the targets of the shard.
   *
   * @param detail The ask, as its holder sent it.
   * @returns The service times on an idle and on a fully used target.
   */
  estimateService(detail: AskDetail): ServiceEstimate {
    let idleMs = Infinity;
    let loadedMs = Infinity;
    let prefillMs = 0;
    const kvTokens = this.kvTokensOf(detail);
    for (const capacity of this.capacities) {
      if (this.isCandidate(capacity, { detail, kvTokens })) {
        const idle = { prefillQueueMs: 0, utilization: 0 };
        const full = { prefillQueueMs: 0, utilization: 1 };
        idleMs = Math.min(idleMs, this.predict(capacity, detail, idle).totalMs);
        const loaded = this.predict(capacity, detail, full);
        if (loaded.totalMs < loadedMs) {
          loadedMs = loaded.totalMs;
          prefillMs = loaded.prefillMs;
        }
      }
    }
    return { idleMs, loadedMs, prefillMs };
  }

  /**
   * Returns the KV memory that an ask may need at most.
   *
   * @param detail The ask, as its holder sent it.
   * @returns The number of tokens; 0 on services, which have no KV memory.
   */
  kvTokensOf(detail: AskDetail): number {
    return this.kind === TargetKind.Service
      ? 0
      : detail.promptTokens + detail.maxOutputTokens;
  }
}

function readCapacities(view: ShardView, board: Blackboard): TargetCapacity[] {
  const { shard, settings, kind } = view;
  const grantsByTarget = new Map<string, GrantRecord[]>();
  for (const grant of shard.grants.values()) {
    const { targetId } = grant.work;
    const grants = grantsByTarget.get(targetId);
    if (grants === undefined) {
      grantsByTarget.set(targetId, [grant]);
    } else {
      grants.push(grant);
    }
  }
  const key = shardKey(shard.pool, shard.failureDomain);
  const targets = shardsOf(settings).get(key)?.targets ?? [];
  return targets.map((target) =>
    new TargetCapacity({
      settings: target,
      kind,
      target: board.targets.byId.get(target.id),
      grants: grantsByTarget.get(target.id) ?? [],
      ended: shard.endedWork.get(target.id) ?? [],
      lastReadAtMs: shard.lastPromptReadAtMs.get(target.id) ?? -Infinity,
    })
  );
}
