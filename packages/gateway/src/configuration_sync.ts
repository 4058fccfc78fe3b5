/**
 * Keeps the configuration in force up to date: from the platform's store, and
 * from other instances that have a newer version.
 */

import { fleetConfigurationSchema } from "@chestnuthatch/routing/fleet_configuration_schema";
import type { FleetConfiguration } from "@chestnuthatch/routing/fleet_configuration";
import { RouteTable } from "@chestnuthatch/routing/route_table";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import { type EventLog, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Heartbeat } from "./heartbeat_exchange.ts";
import { SnapshotKind } from "./snapshot_server.ts";
import { PeerFetch } from "./peer_fetch.ts";
import type { Clock } from "./ports.ts";

/** Minimum time between two fetches of the configuration from peers. */
const FETCH_INTERVAL_MS = 200;

/**
 * Share of the time limit for putting a configuration into force after which
 * the platform is queried again. The rest of the limit is left for detecting
 * that the platform does not answer, and for passing the configuration on to
 * the other instances.
 */
const POLL_WAIT_SHARE = 0.5;

/**
 * Share of the same time limit after which an unconfirmed configuration counts
 * as stale. The rest of the limit is left for querying the platform. Heartbeats
 * of an instance that follows the store confirm it more often than that.
 */
const STALE_SHARE = 0.75;

/** Where a version of the configuration was received from. */
enum ConfigurationSource {
  Store = "store",
  Peer = "peer",
}

/** Dependencies and callbacks of {@link ConfigurationSync}. */
export interface ConfigurationParts {
  readonly board: RoutingBoard;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly snapshotPort: number;
  /**
   * @returns Time within which a confirmed configuration must be in force, in
   * milliseconds.
   */
  configurationApplyMs(): number;
  /**
   * @returns Whether this instance follows the store on behalf of the others,
   * or no other instance does so for it.
   */
  followsStore(): boolean;
  /** @returns Whether the platform's store is reachable. */
  reachesStore(): boolean;
  /** Called when a new configuration came into force. */
  onConfigurationChanged(configuration: FleetConfiguration): void;
}

/**
 * Puts new versions of the configuration into force, and tracks how long ago
 * the one in force was confirmed to be current.
 */
export class ConfigurationSync {
  readonly #parts: ConfigurationParts;
  readonly #fetch: PeerFetch<FleetConfiguration>;
  #isStale = false;

  /** @param parts Dependencies and callbacks. */
  constructor(parts: ConfigurationParts) {
    this.#parts = parts;
    this.#fetch = new PeerFetch(parts, {
      kind: SnapshotKind.Configuration,
      schema: fleetConfigurationSchema,
      minIntervalMs: FETCH_INTERVAL_MS,
      onFetched: (configuration, { instanceId: member }) => {
        const source = ConfigurationSource.Peer;
        this.#apply(configuration, { source, member });
      },
    });
  }

  /** @param configuration Configuration that was read from the platform. */
  readFromStore(configuration: FleetConfiguration): void {
    this.#apply(configuration, { source: ConfigurationSource.Store });
  }

  /** The platform has no newer configuration than the one read last. */
  confirmedByStore(): void {
    const { board, clock } = this.#parts;
    board.configurationAge.confirmedByStore(clock.nowMs());
  }

  /**
   * Instances that don't follow the store rely on the others only while
   * heartbeats confirm that the configuration is current: the instance that
   * follows the store may get no answers either. A store that does not answer is
   * not asked to wait, as it is noticed sooner then that it is back.
   *
   * @returns Longest time to wait for a change of the configuration before the
   * platform is queried again, in milliseconds; undefined while other instances
   * report changes.
   */
  pollWaitMs(): number | undefined {
    const { configurationApplyMs, followsStore, reachesStore } = this.#parts;
    if (!reachesStore()) {
      return 0;
    }
    return followsStore() || this.#mayBeStale()
      ? configurationApplyMs() * POLL_WAIT_SHARE
      : undefined;
  }

  /**
   * Confirms the configuration in force, or fetches a newer one from the
   * sender.
   *
   * @param heartbeat A heartbeat of another instance, with its version.
   */
  heartbeatReceived(heartbeat: Heartbeat): void {
    const { board, clock } = this.#parts;
    const version = board.routes?.configuration.version ?? 0;
    const { configurationVersion, configurationAgeMs } = heartbeat;
    if (configurationAgeMs !== undefined && configurationVersion === version) {
      board.configurationAge.confirmedByPeer(clock.nowMs(), configurationAgeMs);
    }
    if (configurationVersion > version) {
      this.#fetch.fetchFrom(heartbeat.from);
    }
  }

  /**
   * Updates the metric of the configuration's age, and logs when the age
   * exceeds its limit or returns below it; to be called regularly.
   */
  tick(): void {
    const { board, clock, metrics } = this.#parts;
    const ageMs = board.configurationAge.ageMs(clock.nowMs());
    if (ageMs === undefined) {
      return;
    }
    metrics.configurationAge(ageMs);
    const isStale = this.#mayBeStale();
    if (isStale !== this.#isStale) {
      this.#isStale = isStale;
      this.#logAge(ageMs);
    }
  }

  #logAge(ageMs: number): void {
    const { board, followsStore, log, reachesStore } = this.#parts;
    const facts = {
      version: board.routes?.configuration.version,
      ageMs: Math.round(ageMs),
      reachesStore: reachesStore(),
      followsStore: followsStore(),
    };
    if (this.#isStale) {
      const message = "configuration may be out of date";
      log.warn(LogPart.Configuration, message, facts);
    } else {
      log.info(LogPart.Configuration, "configuration is current again", facts);
    }
  }

  #mayBeStale(): boolean {
    const { board, clock, configurationApplyMs } = this.#parts;
    const ageMs = board.configurationAge.ageMs(clock.nowMs()) ?? Infinity;
    return ageMs > configurationApplyMs() * STALE_SHARE;
  }

  /**
   * A store that was restored from an older copy has lost versions, and may
   * assign their numbers again. Only the store knows which configuration was
   * written last under a number.
   */
  #isRewritten(
    configuration: FleetConfiguration,
    source: ConfigurationSource,
  ): boolean {
    const inForce = this.#parts.board.routes?.configuration;
    return source === ConfigurationSource.Store &&
      JSON.stringify(configuration) !== JSON.stringify(inForce);
  }

  #apply(
    configuration: FleetConfiguration,
    from: { source: ConfigurationSource; member?: string },
  ): void {
    const { board, clock, log, metrics } = this.#parts;
    const before = board.routes?.configuration.version ?? 0;
    const isNewer = configuration.version > before ||
      configuration.version === before &&
        this.#isRewritten(configuration, from.source);
    if (!isNewer) {
      return;
    }
    board.routes = new RouteTable(configuration);
    metrics.configurationVersion(configuration.version);
    const ageMs = board.configurationAge.ageMs(clock.nowMs());
    log.info(LogPart.Configuration, "configuration in force", {
      version: configuration.version,
      before,
      routes: configuration.routes.length,
      workspaces: configuration.workspaces.length,
      beforeAgeMs: ageMs && Math.round(ageMs),
      ...from,
    });
    this.#parts.onConfigurationChanged(configuration);
  }
}
