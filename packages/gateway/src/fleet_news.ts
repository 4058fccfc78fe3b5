/**
 * Keeps what this instance believes of the configuration and the targets up to
 * date: from the platform, and from peers while the platform is out of reach.
 */

import type { FleetConfiguration } from "@chestnuthatch/routing/fleet_configuration";
import type { MemberInfo } from "@chestnuthatch/routing/member_view";
import { targetChangesSchema } from "@chestnuthatch/routing/peer_messages";
import type {
  RolloutOrder,
  RolloutUpdate,
} from "@chestnuthatch/routing/rollout";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import type { SpendingHistory } from "@chestnuthatch/routing/spending_log";
import type { SuspectUpdate } from "@chestnuthatch/routing/suspect_requests";
import {
  type TargetEvent,
  type TargetRowChange,
} from "@chestnuthatch/routing/target_directory";
import type { RateLimitUpdate } from "@chestnuthatch/routing/target_rate_limits";
import {
  ConfigurationKeeper,
  type ConfigurationParts,
} from "./configuration_keeper.ts";
import { LogPart } from "./event_log.ts";
import type { Beat } from "./membership_keeper.ts";
import { CatalogItem } from "./peer_catalog.ts";
import { PeerFetch } from "./peer_fetch.ts";
import type { PlatformSink } from "./ports.ts";

/**
 * Time between two reads of the targets from a peer while the platform is out
 * of reach; well below the time within which a leaving target must be known.
 */
const TARGETS_FROM_PEER_MS = 500;

/** Time for which heartbeats tell what was learned of a target. */
const TELL_NEWS_MS = 2500;

/** Where news of roll-outs goes. */
export interface RolloutNewsSink {
  ordered(order: RolloutOrder): void;
  withdrawn(pool: string): void;
  listed(pools: ReadonlySet<string>): void;
  told(news: readonly RolloutUpdate[]): void;
  recordRead(record: readonly RolloutUpdate[], recordAgeMs: number): void;
  storeWentBack(): void;
}

/** Targets up to which a first list is logged one by one. */
const MOST_LOGGED_AT_START = 100;

/** What the keeper works with. */
export interface NewsParts extends Omit<ConfigurationParts, "reachesStore"> {
  readonly rollouts: RolloutNewsSink;
  /** Called when what is known of targets has changed. */
  onTargets(beliefs: readonly TargetEvent[]): void;
  /** Called with what the fleet recorded of workspaces' spending. */
  onSpending(record: readonly SpendingHistory[], ageMs: number): void;
  /** Called with requests under which targets ended, from anywhere. */
  onSuspects(news: readonly SuspectUpdate[]): void;
  /** Called with rate limits of targets that another instance reports. */
  onRateLimits(news: readonly RateLimitUpdate[]): void;
  /** Called when kept connections may have fallen silent. */
  onSilentConnection(): void;
  /** Called when what the fleet recorded of late may be gone. */
  onStoreWentBack(): void;
}

/** Takes in news. */
export class FleetNews implements PlatformSink {
  readonly #parts: NewsParts;
  readonly #configuration: ConfigurationKeeper;
  readonly #targetsFetch: PeerFetch<TargetRowChange[]>;
  #reachesStore = false;
  #knowsTargets = false;
  /** Newest version of targets that a heartbeat told of, and since when. */
  #toldVersion = 0;
  #toldAtMs = 0;
  #targetNews: { change: TargetRowChange; untilMs: number }[] = [];

  /** @param parts What the keeper works with. */
  constructor(parts: NewsParts) {
    this.#parts = parts;
    this.#configuration = new ConfigurationKeeper({
      ...parts,
      reachesStore: () => this.#reachesStore,
    });
    this.#targetsFetch = new PeerFetch(parts, {
      item: CatalogItem.Targets,
      schema: targetChangesSchema,
      everyMs: TARGETS_FROM_PEER_MS,
      onFetched: (changes) => {
        this.#knowsTargets = true;
        this.targetsChanged(changes);
      },
    });
  }

  /** Whether the platform's store answers. */
  get reachesStore(): boolean {
    return this.#reachesStore;
  }

  /** Whether requests can be served. */
  get isComplete(): boolean {
    return this.#parts.board.routes !== undefined && this.#knowsTargets;
  }

  /** @returns Whether this instance is to follow the store closely. */
  followsStore(): boolean {
    return this.#parts.followsStore();
  }

  /** @returns For how long heartbeats told of targets what is not known here. */
  behindOnTargetsMs(): number {
    const { board, clock } = this.#parts;
    return board.targets.version < this.#toldVersion
      ? clock.nowMs() - this.#toldAtMs
      : 0;
  }

  /** @returns Instances that are alive as far as this one hears. */
  fleetSize(): number {
    const { board, clock } = this.#parts;
    return board.members.alive(clock.nowMs()).length;
  }

  /** @returns What this instance lately learned of targets. */
  targetNews(): TargetRowChange[] {
    const nowMs = this.#parts.clock.nowMs();
    this.#targetNews = this.#targetNews.filter(({ untilMs }) =>
      untilMs > nowMs
    );
    return this.#targetNews.map(({ change }) => change);
  }

  /** @param configuration A version, from the platform. */
  configurationRead(configuration: FleetConfiguration): void {
    this.#configuration.read(configuration);
  }

  /** The platform has no newer configuration than was read last. */
  configurationConfirmed(): void {
    this.#configuration.confirmed();
  }

  /** @returns Longest time to wait for a change of the configuration. */
  configurationWaitMs(): number | undefined {
    return this.#configuration.waitMs();
  }

  /** Lets time pass. */
  tick(): void {
    this.#configuration.tick();
  }

  /**
   * @param entries Every target on the platform's list.
   * @param version The list's version.
   */
  targetsRead(entries: readonly TargetRowChange[], version: number): void {
    const { targets } = this.#parts.board;
    const isFirst = !this.#knowsTargets;
    this.#knowsTargets = true;
    const nowMs = this.#parts.clock.nowMs();
    const beliefs = targets.replace(entries, version, nowMs);
    if (isFirst) {
      // The others have read the list themselves.
      this.#noteFirstList(beliefs, version);
      this.#targetNews = [];
    } else {
      this.#believed(beliefs);
    }
  }

  /** A long list takes more lines than a starting instance may write. */
  #noteFirstList(beliefs: readonly TargetEvent[], version: number): void {
    const count = beliefs.length;
    this.#parts.log.info(LogPart.Targets, "targets listed", { count, version });
    if (count <= MOST_LOGGED_AT_START) {
      this.#believed(beliefs);
    } else {
      this.#parts.onTargets(beliefs);
    }
  }

  /** @param changes Rows of the list that changed. */
  targetsChanged(changes: readonly TargetRowChange[]): void {
    const nowMs = this.#parts.clock.nowMs();
    this.#believed(this.#parts.board.targets.apply(changes, nowMs));
  }

  /**
   * @param targetId A target that announced that it is leaving, or that another
   * instance wrongly believes to be staying.
   */
  targetLeaves(targetId: string): void {
    const { targets } = this.#parts.board;
    const beliefs = targets.announcedLeaving(targetId);
    if (beliefs.length > 0) {
      this.#believed(beliefs);
    } else {
      this.#tell(targetId);
    }
  }

  /** @param members Instances on the platform's list. */
  membersRead(members: readonly MemberInfo[]): void {
    const nowMs = this.#parts.clock.nowMs();
    for (const member of members) {
      this.#parts.board.members.memberReported(member, nowMs);
    }
  }

  /**
   * @param record What workspaces had spent.
   * @param ageMs How long ago that was recorded.
   */
  spendingRead(record: readonly SpendingHistory[], ageMs: number): void {
    this.#parts.log.info(LogPart.Platform, "spending taken up", {
      ageMs: Math.round(ageMs),
      workspaces: record.map(({ workspace }) => workspace),
    });
    this.#parts.onSpending(record, ageMs);
  }

  /**
   * @param record Requests under which targets had ended.
   * @param ageMs How long ago that was recorded.
   */
  suspectsRead(record: readonly SuspectUpdate[], ageMs: number): void {
    this.#parts.onSuspects(
      record.map((each) => ({ ...each, ageMs: each.ageMs + ageMs })),
    );
  }

  /** @param order A roll-out that the operators have ordered. */
  rolloutOrdered(order: RolloutOrder): void {
    this.#parts.rollouts.ordered(order);
  }

  /** @param pool A pool whose order the operators have taken back. */
  rolloutWithdrawn(pool: string): void {
    this.#parts.rollouts.withdrawn(pool);
  }

  /** @param pools All pools that there are orders for. */
  rolloutsListed(pools: ReadonlySet<string>): void {
    this.#parts.rollouts.listed(pools);
  }

  /**
   * @param record How far roll-outs were.
   * @param ageMs How long ago that was recorded.
   */
  rolloutsRead(record: readonly RolloutUpdate[], ageMs: number): void {
    this.#parts.rollouts.recordRead(record, ageMs);
  }

  /**
   * @param what What the platform holds that cannot be read.
   * @param where Its name there, or the field that is wrong.
   */
  unreadable(what: string, where: string): void {
    this.#parts.metrics.unreadableRow(what);
    this.#parts.log.warn(LogPart.Platform, "unreadable row", { what, where });
  }

  /**
   * @param table Table that the call was for.
   * @param reason Why it failed.
   */
  callFailed(table: string, reason: string): void {
    this.#parts.metrics.storeCallFailed(table);
    this.#parts.log.info(LogPart.Platform, "store call failed", {
      table,
      reason,
    });
  }

  /** A kept connection to the platform fell silent, while a new one works. */
  connectionFellSilent(): void {
    this.#parts.log.info(LogPart.Platform, "connection fell silent");
    this.#parts.onSilentConnection();
  }

  /** The platform answers, again or at first. */
  reached(): void {
    if (!this.#reachesStore) {
      this.#parts.log.info(LogPart.Platform, "store reached");
      this.#parts.board.targets.listAvailable(this.#parts.clock.nowMs());
    }
    this.#reachesStore = true;
  }

  /**
   * Rows that are missing now may only be lost, as after an outage, and what the
   * fleet had recorded is recorded anew.
   */
  storeWentBack(): void {
    const { board, clock, log, metrics, onStoreWentBack } = this.#parts;
    metrics.storeRestored();
    log.warn(LogPart.Platform, "store came back from an older copy", {
      targetsVersion: board.targets.version,
      configurationVersion: board.routes?.configuration.version,
    });
    board.targets.listRestored(clock.nowMs());
    this.#parts.rollouts.storeWentBack();
    onStoreWentBack();
  }

  /** @param reason Why the platform does not answer. */
  lost(reason: string): void {
    if (this.#reachesStore) {
      this.#parts.log.warn(LogPart.Platform, "store lost", { reason });
    }
    this.#reachesStore = false;
  }

  /** @param beat A heartbeat that may tell of news elsewhere. */
  heard(beat: Beat): void {
    // First, as it tells whether targets in the news may be used.
    this.#parts.rollouts.told(beat.rollouts ?? []);
    this.targetsChanged(beat.targetNews);
    if (beat.suspects !== undefined) {
      this.#parts.onSuspects(beat.suspects);
    }
    if (beat.rateLimits !== undefined) {
      this.#parts.onRateLimits(beat.rateLimits);
    }
    const { board, clock } = this.#parts;
    if (beat.targetsVersion > this.#toldVersion) {
      this.#toldVersion = beat.targetsVersion;
      this.#toldAtMs = clock.nowMs();
    }
    this.#configuration.heard(beat);
    if (
      !this.#reachesStore && beat.targetsVersion > board.targets.version
    ) {
      this.#targetsFetch.ask(beat.from);
    }
  }

  /**
   * @param item What a peer asks for.
   * @returns Its content, if there is any.
   */
  content(item: CatalogItem): unknown {
    const { board } = this.#parts;
    if (item === CatalogItem.Configuration) {
      return board.routes?.configuration;
    }
    return this.#knowsTargets ? board.targets.all().map(changeOf) : undefined;
  }

  #believed(beliefs: readonly TargetEvent[]): void {
    const { board, log } = this.#parts;
    for (const { targetId, kind: news, rowVersion } of beliefs) {
      const target = board.targets.get(targetId)!;
      log.info(LogPart.Targets, `target ${news}`, {
        targetId,
        incarnation: target.incarnation,
        rowVersion,
        pool: target.pool,
        address: target.address,
        targetDomain: target.failureDomain,
        slots: target.slots,
        reachesStore: this.#reachesStore,
      });
      this.#tell(targetId);
    }
    if (beliefs.length > 0) {
      this.#parts.onTargets(beliefs);
    }
  }

  /** Lets the next heartbeats tell what is believed of a target. */
  #tell(targetId: string): void {
    const { board: { targets }, clock } = this.#parts;
    const target = targets.get(targetId);
    if (target !== undefined) {
      this.#targetNews = this.#targetNews.filter(({ change }) =>
        change.targetId !== targetId
      );
      const untilMs = clock.nowMs() + TELL_NEWS_MS;
      this.#targetNews.push({ change: changeOf(target), untilMs });
    }
  }
}

function changeOf(
  target: ReturnType<RoutingBoard["targets"]["all"]>[number],
): TargetRowChange {
  const {
    rowVersion,
    removedAtMs,
    usableUntilMs: _until,
    warmAtMs: _warm,
    ...entry
  } = target;
  return removedAtMs === undefined
    ? { targetId: target.targetId, rowVersion, entry }
    : { targetId: target.targetId, rowVersion };
}
