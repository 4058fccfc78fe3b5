/** The status of one instance: its own state and its view of the fleet. */

import type {
  Blackboard,
  Member,
  Shard,
  Target,
  TargetHealth,
} from "./blackboard.ts";
import type { SettingsInForce } from "@chestnuthatch/settings/settings_types";
import { isAlive, isEligible } from "./coordinators.ts";
import { type Readiness, readinessOf } from "./readiness.ts";
import { RequestState } from "./request.ts";

/** Liveness of a member, judged by this instance from its heartbeats. */
export enum MemberLiveness {
  /** Alive, and may coordinate shards. */
  Eligible = "eligible",
  /** Alive but not eligible, such as when leaving or not connected. */
  Alive = "alive",
  /** Its heartbeat has stopped. */
  Silent = "silent",
  /** No heartbeat of it was ever received. */
  NoHeartbeat = "never_heard",
}

/** Status of one member. */
export interface MemberStatus {
  readonly instanceId: string;
  readonly failureDomain: string;
  readonly address: string;
  readonly incarnation: number;
  readonly heartbeat: number;
  readonly liveness: MemberLiveness;
  readonly leaving: boolean;
  readonly connected: boolean;
  readonly listed: boolean;
  readonly settingsVersion: number;
  /** Time since its heartbeat last advanced; absent if it never did. */
  readonly silentMs?: number;
}

/** Status of one shard that this instance coordinates. */
export interface ShardStatus {
  readonly pool: string;
  readonly failureDomain: string;
  readonly coordinatedForMs: number;
  /** Waiting asks by tier name. */
  readonly waitingByTier: Readonly<Record<string, number>>;
  readonly grants: number;
  readonly grantsInUse: number;
}

/** Status of one target. */
export interface TargetStatus {
  readonly targetId: string;
  readonly health: TargetHealth;
  readonly leaving: boolean;
  /** Whether the settings in force take it out of use. */
  readonly draining: boolean;
  readonly slotsUsed?: number;
  readonly slotsTotal?: number;
  readonly kvUsedTokens?: number;
  readonly kvTotalTokens?: number;
  readonly loadAgeMs?: number;
  readonly failedPolls: number;
  readonly prefillMsPerToken: number;
  readonly decodeMsPerToken: number;
  readonly callMs: number;
  readonly samples: number;
  /** Ratio of recent to normal time; 1 is normal, above 1 is slower. */
  readonly slowdown: number;
}

/** Status of one instance. */
export interface InstanceStatus {
  readonly instanceId: string;
  readonly incarnation: number;
  readonly failureDomain: string;
  readonly region: string;
  readonly leaving: boolean;
  readonly readiness: Readiness;
  /** 0 while none is in force. */
  readonly settingsVersion: number;
  readonly settingsChangeId: string;
  readonly viewNumber: number;
  readonly members: readonly MemberStatus[];
  readonly shards: readonly ShardStatus[];
  readonly targets: readonly TargetStatus[];
  readonly requestsByState: Readonly<Record<RequestState, number>>;
}

/**
 * Builds the status of an instance.
 *
 * @param board The instance's state.
 * @param nowMs The local time in milliseconds.
 * @returns Its status, ready for JSON.
 */
export function statusOf(board: Blackboard, nowMs: number): InstanceStatus {
  const { self, settings, members, shards, targets } = board;
  return {
    instanceId: self.instanceId,
    incarnation: self.incarnation,
    failureDomain: self.failureDomain,
    region: self.region,
    leaving: self.leaving,
    readiness: readinessOf(board),
    settingsVersion: settings.inForce?.version ?? 0,
    settingsChangeId: settings.changeId,
    viewNumber: members.viewNumber,
    members: sortedValues(members.byId)
      .map((member) => describeMember(board, member, nowMs)),
    shards: sortedValues(shards.byKey)
      .map((shard) => describeShard(board, shard, nowMs)),
    targets: sortedValues(targets.byId)
      .map((target) =>
        describeTarget(target, { nowMs, settings: board.settings.inForce })
      ),
    requestsByState: countByState(board),
  };
}

function sortedValues<T>(byKey: ReadonlyMap<string, T>): T[] {
  return [...byKey.entries()]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([, value]) => value);
}

/** JSON has no infinity: a time that was never set gives no age. */
function ageSinceMs(atMs: number, nowMs: number): number | undefined {
  return Number.isFinite(atMs) ? nowMs - atMs : undefined;
}

function describeMember(
  board: Blackboard,
  member: Member,
  nowMs: number,
): MemberStatus {
  const isSelf = member.instanceId === board.self.instanceId;
  return {
    instanceId: member.instanceId,
    failureDomain: member.failureDomain,
    address: member.address,
    incarnation: member.incarnation,
    heartbeat: member.heartbeat,
    liveness: livenessOf(board, member, nowMs),
    leaving: member.leaving || member.listedLeaving === true ||
      (isSelf && board.self.leaving),
    connected: member.connected,
    listed: member.listed,
    settingsVersion: isSelf
      ? board.settings.inForce?.version ?? 0
      : member.settingsVersion,
    silentMs: ageSinceMs(member.heartbeatAdvancedAtMs, nowMs),
  };
}

function livenessOf(
  board: Blackboard,
  member: Member,
  nowMs: number,
): MemberLiveness {
  if (isEligible(board, member, nowMs)) {
    return MemberLiveness.Eligible;
  }
  if (isAlive(board, member, nowMs)) {
    return MemberLiveness.Alive;
  }
  return member.heartbeat > 0
    ? MemberLiveness.Silent
    : MemberLiveness.NoHeartbeat;
}

function describeShard(
  board: Blackboard,
  shard: Shard,
  nowMs: number,
): ShardStatus {
  const grants = [...shard.grants.values()];
  return {
    pool: shard.pool,
    failureDomain: shard.failureDomain,
    coordinatedForMs: nowMs - shard.coordinatorSinceMs,
    waitingByTier: countWaiting(board, shard),
    grants: grants.length,
    grantsInUse: grants.filter((grant) => grant.used).length,
  };
}

function countWaiting(board: Blackboard, shard: Shard): Record<string, number> {
  const tiers = board.settings.inForce?.tiers ?? [];
  const counts: Record<string, number> = {};
  for (const { detail } of shard.waiting.values()) {
    const tier = tiers[detail.tierRank] ?? `rank ${detail.tierRank}`;
    counts[tier] = (counts[tier] ?? 0) + 1;
  }
  return counts;
}

function describeTarget(
  target: Target,
  of: { nowMs: number; settings: SettingsInForce | undefined },
): TargetStatus {
  const { nowMs, settings } = of;
  const { load, rates } = target;
  return {
    targetId: target.targetId,
    health: target.health,
    leaving: target.leaving,
    draining: settings?.targets.get(target.targetId)?.draining ?? false,
    slotsUsed: load?.slotsUsed,
    slotsTotal: load?.slotsTotal,
    kvUsedTokens: load?.kvUsedTokens,
    kvTotalTokens: load?.kvTotalTokens,
    loadAgeMs: load === undefined
      ? undefined
      : ageSinceMs(target.loadAsOfMs, nowMs),
    failedPolls: target.failedPolls,
    prefillMsPerToken: rates.prefillMsPerToken,
    decodeMsPerToken: rates.decodeMsPerToken,
    callMs: rates.callMs,
    samples: rates.samples,
    slowdown: rates.slowdown,
  };
}

function countByState(board: Blackboard): Record<RequestState, number> {
  const counts: Record<RequestState, number> = {
    [RequestState.Claiming]: 0,
    [RequestState.Waiting]: 0,
    [RequestState.Dispatched]: 0,
    [RequestState.Answered]: 0,
    [RequestState.Refused]: 0,
  };
  for (const request of board.requests.byId.values()) {
    counts[request.state] += 1;
  }
  return counts;
}
