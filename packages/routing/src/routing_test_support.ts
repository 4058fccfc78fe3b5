/** Test fixtures of the routing package. */

import {
  type FleetConfiguration,
  RequestKind,
  type RoutePolicy,
} from "./fleet_configuration.ts";
import { ConfigurationAge } from "./configuration_age.ts";
import { UnreachableDomains } from "./unreachable_domains.ts";
import type { MemberInfo } from "./member_record.ts";
import { MemberView } from "./member_view.ts";
import { Rollouts } from "./rollouts.ts";
import { RelayedTargets } from "./relayed_targets.ts";
import { RouteTable } from "./route_table.ts";
import type { RoutingBoard } from "./routing_board.ts";
import { StreamOrigins } from "./stream_origins.ts";
import { VersionCoverage } from "./version_coverage.ts";
import { CrashSuspects } from "./crash_suspects.ts";
import { TargetDirectory } from "./target_directory.ts";
import { TargetHealth } from "./target_health.ts";
import { TargetLoads } from "./target_loads.ts";
import { TargetRateLimits } from "./target_rate_limits.ts";
import { LatencyModels } from "./latency_models.ts";
import { TargetBackoffs } from "./target_backoffs.ts";
import { AskCause, type WorkAsk } from "./work_ask.ts";

/**
 * Builds the `MemberInfo` of an instance.
 *
 * @param instanceId Id of the instance.
 * @param overrides Fields that differ from an instance in failure domain `a`.
 * @returns What the instance announces of itself.
 */
export function memberOf(
  instanceId: string,
  overrides: Partial<MemberInfo> = {},
): MemberInfo {
  return {
    instanceId,
    address: `${instanceId}:7000`,
    failureDomain: "a",
    incarnation: 1,
    leaving: false,
    cores: 1,
    ...overrides,
  };
}

/**
 * Builds a route.
 *
 * @param overrides Fields that differ from the default route.
 * @returns A route of pool `p`.
 */
export function routeOf(overrides: Partial<RoutePolicy> = {}): RoutePolicy {
  return {
    name: "r",
    host: "h.example",
    prefix: "/r/",
    kind: RequestKind.ResumableStream,
    rank: 0,
    pools: [{ pool: "p", weight: 1 }],
    timeoutMs: 15_000,
    objectiveMs: 800,
    longestGapMs: 300,
    maxAttempts: 2,
    isPublic: false,
    ...overrides,
  };
}

/**
 * Builds a configuration.
 *
 * @param overrides Fields that differ from a configuration with one engine pool
 * `p`.
 * @returns The configuration.
 */
export function configurationOf(
  overrides: Partial<FleetConfiguration> = {},
): FleetConfiguration {
  return {
    version: 1,
    routes: [routeOf()],
    pools: [{
      name: "p",
      maxConnections: 100,
      engine: { slots: 2, kvCapacityTokens: 100_000 },
    }],
    workspaces: [],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    ...overrides,
  };
}

/**
 * Builds the routing state of instance `i1`.
 *
 * @param targetIds Ids of targets of pool `p` with two slots each.
 * @param overrides Fields of the configuration that differ from the default.
 * @returns The routing state.
 */
export function boardOf(
  targetIds: readonly string[],
  overrides: Partial<FleetConfiguration> = {},
): RoutingBoard {
  const targets = new TargetDirectory();
  targets.listAvailable(0);
  targets.apply(
    targetIds.map((targetId, index) => ({
      targetId,
      rowVersion: index + 1,
      entry: {
        targetId,
        incarnation: 1,
        pool: "p",
        address: `10.0.0.${index + 1}:80`,
        failureDomain: "a",
        slots: 2,
        leaving: false,
        version: "v1",
      },
    })),
    0,
  );
  const members = new MemberView(memberOf("i1"));
  const versionCoverage = new VersionCoverage();
  versionCoverage.followedFrom(-Infinity);
  versionCoverage.confirmed(Infinity);
  versionCoverage.versionsRecorded([{ pool: "p", version: "v1" }]);
  return {
    routes: new RouteTable(configurationOf(overrides)),
    targets,
    members,
    configurationAge: new ConfigurationAge(),
    unreachableDomains: new UnreachableDomains(members),
    health: new TargetHealth(),
    relayedTargets: new RelayedTargets(),
    rateLimits: new TargetRateLimits(),
    latencyModels: new LatencyModels(),
    targetLoads: new TargetLoads(),
    backoffs: new TargetBackoffs(),
    streamOrigins: new StreamOrigins(),
    versionCoverage,
    suspects: new CrashSuspects(),
    rollouts: new Rollouts({ share: 0.1, slack: 50 }),
  };
}

/**
 * Builds an ask.
 *
 * @param askId Id of the ask.
 * @param overrides Fields that differ from a small stream of rank 0.
 * @returns The ask.
 */
export function askOf(
  askId: string,
  overrides: Partial<WorkAsk> = {},
): WorkAsk {
  return {
    askId,
    holderId: "i1",
    callHash: 0,
    pool: "p",
    workspace: "w",
    rank: 0,
    cost: 0,
    promptTokens: 500,
    outputTokens: 100,
    objectiveLeftMs: 800,
    patienceLeftMs: 2000,
    deadlineLeftMs: 10_000,
    failureDomain: "a",
    excluded: [],
    cause: AskCause.First,
    ...overrides,
  };
}
