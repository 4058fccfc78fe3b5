/** A shard with everything that decisions about it are read from. */

import type {
  SettingsInForce,
  TierPolicy,
} from "@chestnuthatch/settings/settings_types";
import type { AskDetail } from "@chestnuthatch/wire/peer_messages";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import {
  type Blackboard,
  type GrantAccount,
  type Shard,
  shardKey,
  type WaitingAsk,
} from "./blackboard.ts";
import { type Need, TargetRoom } from "./capacity.ts";
import type { Turn } from "./controller.ts";
import { policyOfRank, shardsOf } from "./settings_index.ts";
import { type Prediction, predictService, priorRates } from "./work_cost.ts";

/** Share of a grant's life within which its holder must have been heard. */
const FRESH_BEAT_SHARE = 0.8;

/** Time for holders' reports to come, beyond their interval. */
const WARM_UP_MARGIN_MS = 200;

/** The service an ask can expect of a shard. */
export interface ServiceOutlook {
  /** On the best target, were it idle. Infinity where none could hold it. */
  readonly idleMs: number;
  /** On the best target with all its slots taken. */
  readonly loadedMs: number;
  /** The part of the loaded time that reading the prompt takes. */
  readonly prefillMs: number;
}

/** A shard during one event: its queue, its targets' rooms, its policies. */
export class ShardView {
  readonly shard: Shard;
  readonly settings: SettingsInForce;
  readonly nowMs: number;
  readonly turn: Turn;
  readonly kind: TargetKind;
  readonly #region: string;
  #rooms?: readonly TargetRoom[];

  /**
   * @param shard The shard.
   * @param settings The settings in force.
   * @param turn The turn of the event.
   */
  constructor(shard: Shard, settings: SettingsInForce, turn: Turn) {
    this.shard = shard;
    this.settings = settings;
    this.turn = turn;
    this.nowMs = turn.nowMs;
    this.kind = settings.pools.get(shard.pool)?.kind ?? TargetKind.Engine;
    this.#region = settings.regionOfDomain.get(shard.failureDomain) ?? "";
  }

  /** Rooms of all targets that the settings name, by target id. */
  get rooms(): readonly TargetRoom[] {
    this.#rooms ??= readRooms(this, this.turn.board);
    return this.#rooms;
  }

  /**
   * Whether this instance became the shard's coordinator so lately that some
   * holders may not have reported yet what they run. Until then a load report
   * shows such work, but not how much memory it will come to need.
   */
  get isWarmingUp(): boolean {
    const warmUpMs = this.settings.timing.holderReportMs + WARM_UP_MARGIN_MS;
    return this.nowMs - this.shard.sinceMs < warmUpMs;
  }

  /** @returns Rooms of the targets that may get work at all. */
  get liveRooms(): TargetRoom[] {
    return this.rooms.filter((room) => room.closedFor === undefined);
  }

  /**
   * Resolves the policy of a workspace's work.
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
   * Tells what an ask takes of a target.
   *
   * @param ask The ask.
   * @returns Its need.
   */
  needOf(ask: WaitingAsk): Need {
    const { requestId, tierRank } = ask.detail;
    const { headroomShare } = this.policyOf(ask.detail);
    return { requestId, tierRank, kvTokens: ask.kvTokens, headroomShare };
  }

  /**
   * Tells whether a target may be chosen for an ask once it has room.
   *
   * @param room The target.
   * @param work The ask's detail and its need of KV memory.
   * @returns False for targets that are gone, excluded or too small.
   */
  isPossible(
    room: TargetRoom,
    work: { detail: AskDetail; kvTokens: number },
  ): boolean {
    return room.closedFor === undefined && room.couldHold(work.kvTokens) &&
      !work.detail.excludedTargetIds.includes(room.targetId);
  }

  /**
   * Tells whether a grant could reach an ask's holder in time to be used.
   *
   * @param ask The ask.
   * @returns False while the holder has been silent for most of a grant's life.
   */
  isHolderFresh(ask: WaitingAsk): boolean {
    const lifetimeMs = this.settings.timing.grantLifetimeMs;
    const seen = this.shard.holders.get(ask.holderId);
    return seen !== undefined &&
      this.nowMs - seen.beatHeardAtMs < lifetimeMs * FRESH_BEAT_SHARE;
  }

  /**
   * Predicts an ask's service on a target.
   *
   * @param room The target.
   * @param detail The ask's detail.
   * @param load The load to assume; what the target has now by default.
   * @returns The prediction.
   */
  predict(
    room: TargetRoom,
    detail: AskDetail,
    load: { prefillQueueMs: number; utilization: number } = {
      prefillQueueMs: room.prefillQueueMs(this.nowMs),
      utilization: room.utilization,
    },
  ): Prediction {
    const { promptTokens, expectedOutputTokens, blockHashes } = detail;
    const cachedTokens = this.shard.prefixes.get(room.targetId)
      ?.cachedTokens(blockHashes, promptTokens) ?? 0;
    return predictService(
      { promptTokens, cachedTokens, expectedOutputTokens },
      {
        kind: this.kind,
        rates: room.target?.rates ?? priorRates(room.settings),
        ...load,
      },
    );
  }

  /**
   * Predicts the best service that an ask can have in this shard.
   *
   * @param detail The ask's detail.
   * @returns The outlook on an idle and on a full target.
   */
  outlook(detail: AskDetail): ServiceOutlook {
    let idleMs = Infinity;
    let loadedMs = Infinity;
    let prefillMs = 0;
    const kvTokens = this.kvTokensOf(detail);
    for (const room of this.rooms) {
      if (this.isPossible(room, { detail, kvTokens })) {
        const idle = { prefillQueueMs: 0, utilization: 0 };
        const full = { prefillQueueMs: 0, utilization: 1 };
        idleMs = Math.min(idleMs, this.predict(room, detail, idle).totalMs);
        const loaded = this.predict(room, detail, full);
        if (loaded.totalMs < loadedMs) {
          loadedMs = loaded.totalMs;
          prefillMs = loaded.prefillMs;
        }
      }
    }
    return { idleMs, loadedMs, prefillMs };
  }

  /**
   * Gives the KV memory an ask may come to need.
   *
   * @param detail The ask's detail.
   * @returns A number of tokens, 0 on services.
   */
  kvTokensOf(detail: AskDetail): number {
    return this.kind === TargetKind.Service
      ? 0
      : detail.promptTokens + detail.maxOutputTokens;
  }
}

function readRooms(view: ShardView, board: Blackboard): TargetRoom[] {
  const { shard, settings, kind } = view;
  const grantsByTarget = new Map<string, GrantAccount[]>();
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
    new TargetRoom({
      settings: target,
      kind,
      target: board.targets.byId.get(target.id),
      grants: grantsByTarget.get(target.id) ?? [],
      ended: shard.ended.get(target.id) ?? [],
      lastReadAtMs: shard.lastReadAtMs.get(target.id) ?? -Infinity,
    })
  );
}
