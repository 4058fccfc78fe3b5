/** Formats the status of a fleet for people. */

import type {
  FleetInstance,
  FleetShard,
  FleetStatus,
  FleetTarget,
} from "./fleet_status.ts";
import { sectionLines } from "./text_table.ts";

/**
 * Formats the status of a fleet.
 *
 * @param status Status of the fleet.
 * @returns Tables of instances, shards, targets, tiers and versions.
 */
export function statusText(status: FleetStatus): string {
  return [
    ...sectionLines("instances", [
      ["instance", "domain", "state", "settings", "open requests"],
      ...status.instances.map(instanceRow),
    ]),
    ...silentLines(status),
    ...sectionLines("shards", [
      ["pool", "domain", "coordinator", "grants", "in use", "waiting"],
      ...status.shards.map(shardRow),
    ]),
    ...sectionLines("targets", [
      ["target", "state", "slots", "KV tokens", "report age", "slowdown"],
      ...status.targets.map(targetRow),
    ]),
    ...sectionLines("waiting by tier", [
      ["tier", "requests"],
      ...Object.entries(status.waitingByTier).map(([tier, count]) => [
        tier,
        String(count),
      ]),
    ]),
    ...versionLines(status),
  ].join("\n");
}

/**
 * Formats a table of versions and the instances where they are in force.
 *
 * @param status Status of the fleet.
 * @returns Lines of the table.
 */
export function versionLines(status: FleetStatus): string[] {
  return sectionLines("settings in force", [
    ["version", "instances"],
    ...status.versions.map(({ version, instanceIds }) => [
      version === 0 ? "none" : String(version),
      instanceIds.join(", "),
    ]),
  ]);
}

/**
 * Lists the instances that gave no answer.
 *
 * @param status Status of the fleet.
 * @returns One line for each; none if all answered.
 */
export function silentLines({ silent }: FleetStatus): string[] {
  return silent.map(({ address, reason }) =>
    `  ${address} gave no answer: ${reason}`
  );
}

function instanceRow(instance: FleetInstance): string[] {
  const { instanceId, failureDomain, settingsVersion } = instance;
  return [
    instanceId,
    failureDomain,
    instanceState(instance),
    settingsVersion === 0 ? "none" : String(settingsVersion),
    openRequests(instance),
  ];
}

function instanceState({ ready, reasons, liveness }: FleetInstance): string {
  if (ready === undefined) {
    return [`${liveness}, not asked`, ...reasons].join(", ");
  }
  return ready ? "ready" : `not ready: ${reasons.join(", ")}`;
}

function openRequests({ address, requestsByState }: FleetInstance): string {
  if (address === undefined) {
    return "-";
  }
  const open = ["claiming", "waiting", "dispatched"]
    .map((state) => `${requestsByState[state] ?? 0} ${state}`);
  return open.join(", ");
}

function shardRow(shard: FleetShard): string[] {
  return [
    shard.pool,
    shard.failureDomain,
    shard.coordinators.join(" and "),
    String(shard.grants),
    String(shard.grantsInUse),
    Object.entries(shard.waitingByTier)
      .map(([tier, count]) => `${count} ${tier}`).join(", ") || "0",
  ];
}

function targetRow(target: FleetTarget): string[] {
  const { loadAgeMs, slowdown } = target;
  return [
    target.targetId,
    targetState(target),
    usedOfTotal(target.slotsUsed, target.slotsTotal),
    usedOfTotal(target.kvUsedTokens, target.kvTotalTokens),
    loadAgeMs === undefined ? "-" : `${Math.round(loadAgeMs)} ms`,
    slowdown.toFixed(2),
  ];
}

function targetState(target: FleetTarget): string {
  const { health, leaving, draining, unreachableFrom, seenBy } = target;
  const elsewhere = unreachableFrom.filter((id) => id !== seenBy);
  return [
    health,
    ...leaving ? ["leaving"] : [],
    ...draining ? ["draining"] : [],
    ...elsewhere.length > 0 ? [`unreachable from ${elsewhere.join(", ")}`] : [],
  ].join(", ");
}

function usedOfTotal(used?: number, total?: number): string {
  const hasNone = used === undefined || total === 0;
  return hasNone ? "-" : `${used} of ${total}`;
}
