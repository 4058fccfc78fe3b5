/** Merges what several instances say into the status of the fleet. */

import type { TargetHealth } from "@chestnuthatch/core/blackboard";
import {
  type InstanceStatus,
  MemberLiveness,
  type MemberStatus,
  type TargetStatus,
} from "@chestnuthatch/core/status";
import type { InstanceAnswers, SilentInstance } from "./instance_queries.ts";

/** One entry instance. */
export interface FleetInstance {
  readonly instanceId: string;
  /** Where it was asked; absent where only its peers told of it. */
  readonly address?: string;
  readonly failureDomain: string;
  readonly liveness: MemberLiveness;
  /** Absent where it was not asked itself. */
  readonly ready?: boolean;
  /** Why it is not ready. */
  readonly reasons: readonly string[];
  /** 0 while none is in force. */
  readonly settingsVersion: number;
  readonly requestsByState: Readonly<Record<string, number>>;
}

/** One shard with those who coordinate it. */
export interface FleetShard {
  readonly pool: string;
  readonly failureDomain: string;
  /** More than one only while views differ. */
  readonly coordinators: readonly string[];
  readonly waitingByTier: Readonly<Record<string, number>>;
  readonly grants: number;
  readonly grantsInUse: number;
}

/** One target as the instance with the newest load report sees it. */
export interface FleetTarget extends TargetStatus {
  /** Whose view this is. */
  readonly seenBy: string;
  /** Instances that cannot reach it. */
  readonly unreachableFrom: readonly string[];
}

/** Instances with one version in force. */
export interface VersionInForce {
  readonly version: number;
  readonly instanceIds: readonly string[];
}

/** The status of a fleet. */
export interface FleetStatus {
  readonly instances: readonly FleetInstance[];
  readonly silent: readonly SilentInstance[];
  readonly shards: readonly FleetShard[];
  readonly targets: readonly FleetTarget[];
  readonly waitingByTier: Readonly<Record<string, number>>;
  /** Newest first. */
  readonly versions: readonly VersionInForce[];
}

const UNREACHABLE: `${TargetHealth}` = "unreachable";

/**
 * Merges statuses.
 *
 * @param answers What the instances asked said.
 * @returns The status of the fleet.
 */
export function mergeStatuses(
  answers: InstanceAnswers<InstanceStatus>,
): FleetStatus {
  const statuses = answers.answers.map(({ value }) => value);
  const instances = mergeInstances(answers);
  const shards = mergeShards(statuses);
  return {
    instances,
    silent: answers.silent,
    shards,
    targets: mergeTargets(statuses),
    waitingByTier: addCounts(shards.map((shard) => shard.waitingByTier)),
    versions: groupByVersion(instances),
  };
}

/**
 * Picks the instances that count for whether a version is in force.
 *
 * @param status The fleet's status.
 * @returns Those that answered, and those that peers say are alive.
 */
export function liveInstances(status: FleetStatus): FleetInstance[] {
  return status.instances.filter(({ address, liveness }) =>
    address !== undefined || liveness === MemberLiveness.Eligible ||
    liveness === MemberLiveness.Alive
  );
}

function mergeInstances(
  { answers }: InstanceAnswers<InstanceStatus>,
): FleetInstance[] {
  const byId = new Map(
    newestMembers(answers.map(({ value }) => value))
      .map((member) => [member.instanceId, instanceFromPeers(member)]),
  );
  for (const { address, value } of answers) {
    byId.set(value.instanceId, instanceFromOwnStatus(value, address));
  }
  return sortedBy([...byId.values()], ({ instanceId }) => instanceId);
}

function newestMembers(statuses: readonly InstanceStatus[]): MemberStatus[] {
  const newest = new Map<string, MemberStatus>();
  for (const member of statuses.flatMap(({ members }) => members)) {
    const known = newest.get(member.instanceId);
    if (known === undefined || isNewer(member, known)) {
      newest.set(member.instanceId, member);
    }
  }
  return [...newest.values()];
}

function isNewer(left: MemberStatus, right: MemberStatus): boolean {
  return left.incarnation === right.incarnation
    ? left.heartbeat > right.heartbeat
    : left.incarnation > right.incarnation;
}

function instanceFromPeers(member: MemberStatus): FleetInstance {
  const { instanceId, failureDomain, liveness, settingsVersion } = member;
  const reasons = member.leaving ? ["leaving, say its peers"] : [];
  return {
    instanceId,
    failureDomain,
    liveness,
    settingsVersion,
    reasons,
    requestsByState: {},
  };
}

function instanceFromOwnStatus(
  status: InstanceStatus,
  address: string,
): FleetInstance {
  const { instanceId, failureDomain, readiness, members } = status;
  const self = members.find((member) => member.instanceId === instanceId);
  return {
    instanceId,
    address,
    failureDomain,
    liveness: self?.liveness ?? MemberLiveness.Alive,
    ready: readiness.ready,
    reasons: readiness.reasons,
    settingsVersion: status.settingsVersion,
    requestsByState: status.requestsByState,
  };
}

function mergeShards(statuses: readonly InstanceStatus[]): FleetShard[] {
  const all = statuses.flatMap(({ instanceId, shards }) =>
    shards.map((shard) => ({ ...shard, coordinators: [instanceId] }))
  );
  const byKey = new Map<string, FleetShard>();
  for (const shard of all) {
    const key = `${shard.pool}/${shard.failureDomain}`;
    const known = byKey.get(key);
    byKey.set(key, known === undefined ? shard : addShards(known, shard));
  }
  return sortedBy(
    [...byKey.values()],
    ({ pool, failureDomain }) => `${pool}/${failureDomain}`,
  );
}

function addShards(left: FleetShard, right: FleetShard): FleetShard {
  return {
    ...left,
    coordinators: [...left.coordinators, ...right.coordinators].sort(),
    waitingByTier: addCounts([left.waitingByTier, right.waitingByTier]),
    grants: left.grants + right.grants,
    grantsInUse: left.grantsInUse + right.grantsInUse,
  };
}

function mergeTargets(statuses: readonly InstanceStatus[]): FleetTarget[] {
  const views = statuses.flatMap(({ instanceId, targets }) =>
    targets.map((target) => ({ ...target, seenBy: instanceId }))
  );
  const byId = new Map<string, typeof views>();
  for (const view of views) {
    byId.set(view.targetId, [...byId.get(view.targetId) ?? [], view]);
  }
  const merged = [...byId.values()].map((targetViews) => ({
    ...targetViews.reduce((newest, view) =>
      loadAge(view) < loadAge(newest) ? view : newest
    ),
    leaving: targetViews.some(({ leaving }) => leaving),
    unreachableFrom: targetViews.filter(({ health }) => health === UNREACHABLE)
      .map(({ seenBy }) => seenBy),
  }));
  return sortedBy(merged, ({ targetId }) => targetId);
}

function loadAge({ loadAgeMs }: TargetStatus): number {
  return loadAgeMs ?? Infinity;
}

function groupByVersion(instances: readonly FleetInstance[]): VersionInForce[] {
  const byVersion = new Map<number, string[]>();
  for (const { instanceId, settingsVersion } of instances) {
    const ids = byVersion.get(settingsVersion) ?? [];
    byVersion.set(settingsVersion, [...ids, instanceId]);
  }
  return [...byVersion]
    .sort(([left], [right]) => right - left)
    .map(([version, instanceIds]) => ({ version, instanceIds }));
}

function addCounts(
  all: readonly Readonly<Record<string, number>>[],
): Record<string, number> {
  const sum: Record<string, number> = {};
  for (const [name, count] of all.flatMap(Object.entries<number>)) {
    sum[name] = (sum[name] ?? 0) + count;
  }
  return sum;
}

function sortedBy<T>(items: readonly T[], keyOf: (item: T) => string): T[] {
  return [...items].sort((a, b) => keyOf(a) < keyOf(b) ? -1 : 1);
}
