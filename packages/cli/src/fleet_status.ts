/** Merges the statuses of several instances into the status of the fleet. */

import type { TargetHealth } from "@chestnuthatch/core/blackboard";
import {
  type InstanceStatus,
  MemberLiveness,
  type MemberStatus,
  type TargetStatus,
} from "@chestnuthatch/core/status";
import type { InstanceAnswers, SilentInstance } from "./instance_queries.ts";

/** Status of one entry instance. */
export interface FleetInstance {
  readonly instanceId: string;
  /** Address it was queried at; absent if it is known only from its peers. */
  readonly address?: string;
  readonly failureDomain: string;
  readonly liveness: MemberLiveness;
  /** Absent if it is known only from its peers. */
  readonly ready?: boolean;
  /** Reasons for which it is not ready. */
  readonly reasons: readonly string[];
  /** Version of the settings in force there; 0 if there is none. */
  readonly settingsVersion: number;
  readonly requestsByState: Readonly<Record<string, number>>;
}

/** A pool's shard in one failure domain, with its coordinators. */
export interface FleetShard {
  readonly pool: string;
  readonly failureDomain: string;
  /** Instance ids; more than one only while membership views differ. */
  readonly coordinators: readonly string[];
  readonly waitingByTier: Readonly<Record<string, number>>;
  readonly grants: number;
  readonly grantsInUse: number;
}

/** Status of one target from the instance with its newest load report. */
export interface FleetTarget extends TargetStatus {
  /** Id of the instance that the status comes from. */
  readonly seenBy: string;
  /** Ids of the instances that cannot reach the target. */
  readonly unreachableFrom: readonly string[];
}

/** A version of the settings and the instances where it is in force. */
export interface VersionInForce {
  readonly version: number;
  readonly instanceIds: readonly string[];
}

/** Status of a fleet; printed as JSON. */
export interface FleetStatus {
  readonly instances: readonly FleetInstance[];
  /** Queried instances that gave no usable answer. */
  readonly silent: readonly SilentInstance[];
  readonly shards: readonly FleetShard[];
  readonly targets: readonly FleetTarget[];
  readonly waitingByTier: Readonly<Record<string, number>>;
  /** Newest first. */
  readonly versions: readonly VersionInForce[];
}

const UNREACHABLE: `${TargetHealth}` = "unreachable";

/**
 * Merges the statuses of instances.
 *
 * @param answers Statuses, and instances that returned none.
 * @returns Status of the fleet.
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
 * Selects the instances that must have a version in force before it counts as
 * in force everywhere.
 *
 * @param status Status of the fleet.
 * @returns Instances that answered, and those alive according to their peers.
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
    ...targetViews.reduce((latest, view) =>
      loadAge(view) < loadAge(latest) ? view : latest
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
