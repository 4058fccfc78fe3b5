/**
 * Keeps the configuration in force up to date: from the platform, and from other
 * instances that have heard of a newer version.
 */

import { fleetConfigurationSchema } from "@chestnuthatch/routing/fleet_configuration_schema";
import type { FleetConfiguration } from "@chestnuthatch/routing/fleet_configuration";
import { RouteTable } from "@chestnuthatch/routing/route_table";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import { type EventLog, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Beat } from "./membership_keeper.ts";
import { CatalogItem } from "./peer_catalog.ts";
import { PeerFetch } from "./peer_fetch.ts";
import type { Clock } from "./ports.ts";

/** Pause before a peer is asked for the configuration again. */
const RETRY_MS = 200;

/**
 * Part of the time within which a configuration has to be in force after which
 * the platform is asked again; the rest is for noticing that it does not answer,
 * and for telling the other instances.
 */
const WAIT_PART = 0.5;

/** How a version of the configuration became known. */
enum ConfigurationSource {
  Store = "store",
  Peer = "peer",
}

/** What the keeper works with. */
export interface ConfigurationParts {
  readonly board: RoutingBoard;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly catalogPort: number;
  /** @returns Time within which a confirmed configuration has to be in force. */
  configurationApplyMs(): number;
  /**
   * @returns Whether this instance is the one that follows the store for all, or
   * has nobody who does.
   */
  followsStore(): boolean;
  /** @returns Whether the platform's store answers. */
  reachesStore(): boolean;
  /** Called when another version came into force. */
  onConfiguration(configuration: FleetConfiguration): void;
}

/** Takes in versions, and knows how current the one in force is. */
export class ConfigurationKeeper {
  readonly #parts: ConfigurationParts;
  readonly #fetch: PeerFetch<FleetConfiguration>;
  #isOld = false;

  /** @param parts What the keeper works with. */
  constructor(parts: ConfigurationParts) {
    this.#parts = parts;
    this.#fetch = new PeerFetch(parts, {
      item: CatalogItem.Configuration,
      schema: fleetConfigurationSchema,
      everyMs: RETRY_MS,
      onFetched: (configuration, { instanceId: member }) => {
        const source = ConfigurationSource.Peer;
        this.#take(configuration, { source, member });
      },
    });
  }

  /** @param configuration A version, from the platform. */
  read(configuration: FleetConfiguration): void {
    this.#take(configuration, { source: ConfigurationSource.Store });
  }

  /** The platform has no newer version than was read last. */
  confirmed(): void {
    const { board, clock } = this.#parts;
    board.configurationAge.confirm(clock.nowMs());
  }

  /**
   * Others are waited for only while they tell that the configuration is
   * current: the instance that follows the store may not be answered either.
   *
   * @returns Longest time to wait for a change before the platform is asked
   * again; undefined where other instances tell of changes.
   */
  waitMs(): number | undefined {
    return this.#parts.followsStore() || this.#mayBeOld()
      ? this.#parts.configurationApplyMs() * WAIT_PART
      : undefined;
  }

  /** @param beat A heartbeat that tells which version its sender has. */
  heard(beat: Beat): void {
    const { board, clock } = this.#parts;
    const version = board.routes?.configuration.version ?? 0;
    const { configurationVersion, configurationAgeMs } = beat;
    if (configurationAgeMs !== undefined && configurationVersion === version) {
      board.configurationAge.confirm(clock.nowMs(), configurationAgeMs);
    }
    if (configurationVersion > version) {
      this.#fetch.ask(beat.from);
    }
  }

  /** Lets time pass: notes when the version in force grows old. */
  tick(): void {
    const { board, clock, metrics } = this.#parts;
    const ageMs = board.configurationAge.ageMs(clock.nowMs());
    if (ageMs === undefined) {
      return;
    }
    metrics.configurationAge(ageMs);
    const isOld = this.#mayBeOld();
    if (isOld !== this.#isOld) {
      this.#isOld = isOld;
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
    if (this.#isOld) {
      const message = "configuration may be out of date";
      log.warn(LogPart.Configuration, message, facts);
    } else {
      log.info(LogPart.Configuration, "configuration is current again", facts);
    }
  }

  #mayBeOld(): boolean {
    const { board, clock, configurationApplyMs } = this.#parts;
    const ageMs = board.configurationAge.ageMs(clock.nowMs()) ?? Infinity;
    return ageMs > configurationApplyMs();
  }

  /**
   * A store that came back from an older copy has lost versions; their numbers
   * may be given out again. Only the store can tell which was written last.
   */
  #isRewritten(
    configuration: FleetConfiguration,
    source: ConfigurationSource,
  ): boolean {
    const inForce = this.#parts.board.routes?.configuration;
    return source === ConfigurationSource.Store &&
      JSON.stringify(configuration) !== JSON.stringify(inForce);
  }

  #take(
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
    this.#parts.onConfiguration(configuration);
  }
}
