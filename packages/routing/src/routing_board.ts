/**
 * Shared routing state (blackboard) of one instance: its view of the fleet.
 * Each section is written only by the components that its comment names, and
 * read by the others.
 */

import type { ConfigurationAge } from "./configuration_age.ts";
import type { CrashSuspects } from "./crash_suspects.ts";
import type { UnreachableDomains } from "./unreachable_domains.ts";
import type { MemberView } from "./member_view.ts";
import type { Rollouts } from "./rollouts.ts";
import type { RelayedTargets } from "./relayed_targets.ts";
import type { RouteTable } from "./route_table.ts";
import type { StreamOrigins } from "./stream_origins.ts";
import type { VersionCoverage } from "./version_coverage.ts";
import type { TargetDirectory } from "./target_directory.ts";
import type { TargetHealth } from "./target_health.ts";
import type { TargetLoads } from "./target_loads.ts";
import type { TargetRateLimits } from "./target_rate_limits.ts";
import type { LatencyModels } from "./latency_models.ts";
import type { TargetBackoffs } from "./target_backoffs.ts";

/** Shared routing state of one instance. */
export interface RoutingBoard {
  /**
   * Routes, pools and workspaces of the configuration in force. Written by the
   * `ConfigurationSync`; absent until a version is known.
   */
  routes?: RouteTable;
  /**
   * Age of the configuration. Written by the `ConfigurationSync`, from the
   * store and from peers.
   */
  readonly configurationAge: ConfigurationAge;
  /** Known targets. Written by the `FleetStateSync`. */
  readonly targets: TargetDirectory;
  /** Known instances. Written by the `HeartbeatExchange`. */
  readonly members: MemberView;
  /**
   * Health of targets. Written by the holder, from the outcomes of its own
   * requests.
   */
  readonly health: TargetHealth;
  /**
   * Failure domains that this instance cannot reach. Written by the holder,
   * from targets that did not respond at all.
   */
  readonly unreachableDomains: UnreachableDomains;
  /**
   * Targets that this instance reaches through other instances only. Written by
   * the `TargetReachability`, from probes of its own and of other instances.
   */
  readonly relayedTargets: RelayedTargets;
  /**
   * Rate limits that targets advertise. Written by the `TargetSignalHandler`,
   * from answers of targets and from peers.
   */
  readonly rateLimits: TargetRateLimits;
  /**
   * Backoff periods of targets. Written by the `TargetSignalHandler`, from
   * targets that rejected requests.
   */
  readonly backoffs: TargetBackoffs;
  /**
   * Latency models of targets. Written by the coordinator, from the outcomes of
   * work.
   */
  readonly latencyModels: LatencyModels;
  /**
   * Newest load that each target reported. Written by the coordinator, from
   * answers of targets to the work that it placed.
   */
  readonly targetLoads: TargetLoads;
  /**
   * Roll-outs of new versions. Written by the `RolloutController`, and by the
   * coordinator from answers.
   */
  readonly rollouts: Rollouts;
  /**
   * Pools and versions at which streams began. Written by holders, from their
   * own requests, and by the coordinator, from those of all holders.
   */
  readonly streamOrigins: StreamOrigins;
  /**
   * For which time all software versions are known. Written by `FleetStateSync`,
   * from the list of targets, and by the `StreamRecorder`.
   */
  readonly versionCoverage: VersionCoverage;
  /**
   * Requests and parts of prompts suspected of crashing targets. Written by the
   * coordinator and by holders, from targets whose processes ended.
   */
  readonly suspects: CrashSuspects;
}
