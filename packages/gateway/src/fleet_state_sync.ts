/**
 * Keeps this instance's view of the configuration and the targets up to date:
 * from the platform's store, and from peers while the store is unreachable.
 */

import type { FleetConfiguration } from "@chestnuthatch/routing/fleet_configuration";
import { targetChangesSchema } from "@chestnuthatch/routing/peer_messages";
import type {
  RolloutOrder,
  RolloutUpdate,
} from "@chestnuthatch/routing/rollout";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import type { StreamOriginGroup } from "@chestnuthatch/routing/stream_origins";
import type { SuspectUpdate } from "@chestnuthatch/routing/crash_suspects";
import {
  type TargetEvent,
  type TargetRowChange,
} from "@chestnuthatch/routing/target_directory";
import type { RateLimitUpdate } from "@chestnuthatch/routing/target_rate_limits";
import {
  type ConfigurationParts,
  ConfigurationSync,
} from "./configuration_sync.ts";
import { LogPart } from "./event_log.ts";
import type { Heartbeat, RecentTargetChanges } from "./heartbeat_exchange.ts";
import { SnapshotKind } from "./snapshot_server.ts";
import { PeerFetch } from "./peer_fetch.ts";
import type {
  ListedMember,
  PlatformSink,
  RepeatedStoreRead,
  SpendingRow,
} from "./ports.ts";

/**
 * Minimum time between two reads of the targets from a peer while the
 * platform's store is unreachable; well below the time within which every
 * instance must know that a target is leaving.
 */
const PEER_TARGETS_INTERVAL_MS = 500;

/** Time for which heartbeats repeat a change of a target. */
const TARGET_CHANGE_LIFETIME_MS = 2500;

/** Receives roll-out orders, and the progress of roll-outs. */
export interface RolloutSink {
  /** The operators ordered a roll-out. */
  ordered(order: RolloutOrder): void;
  /** The operators withdrew the roll-out order for a pool. */
  withdrawn(pool: string): void;
  /** All pools with a roll-out order were read. */
  ordersListed(pools: ReadonlySet<string>): void;
  /** Another instance reported the progress of roll-outs. */
  updatesReceived(updates: readonly RolloutUpdate[]): void;
  /** The fleet's last record of the progress of roll-outs was read. */
  recordRead(record: readonly RolloutUpdate[], recordAgeMs: number): void;
  /** The platform's store was restored from an older copy. */
  storeRestored(): void;
}

/**
 * Time after the first answer of the store for which an instance waits for the
 * records of the fleet; the store may answer only some of its calls.
 */
const MAX_RECORDS_WAIT_MS = 1000;

/** Longest initial list of targets that is logged target by target. */
const MAX_LOGGED_AT_START = 100;

/** Dependencies and callbacks of {@link FleetStateSync}. */
export interface FleetStateParts
  extends Omit<ConfigurationParts, "reachesStore"> {
  readonly rollouts: RolloutSink;
  /** Called when this instance's view of targets has changed. */
  onTargetsChanged(updates: readonly TargetEvent[]): void;
  /** Called with the fleet's records of the spending of workspaces. */
  onSpendingRead(row: SpendingRow): void;
  /** Called with suspect requests from the store or another instance. */
  onSuspectsReceived(updates: readonly SuspectUpdate[]): void;
  /** Called with the fleet's last record of the origins of streams. */
  onStreamsRead(record: readonly StreamOriginGroup[], ageMs: number): void;
  /**
   * Called when the fleet's record of the origins of streams was read and passed
   * on, with whether nothing of the fleet is recorded at all.
   */
  onStreamRecordRead(of: { isEmpty: boolean }): void;
  /** Called when changes of the list of targets were missed. */
  onChangesMissed(): void;
  /** Called with rate limits of targets that another instance reports. */
  onRateLimitsReceived(updates: readonly RateLimitUpdate[]): void;
  /** Called when keep-alive connections may be stalled. */
  onConnectionStalled(): void;
  /** Called when the fleet's latest records may be lost from the store. */
  onStoreRestored(): void;
}

/**
 * Applies updates of the configuration and the targets from the platform's
 * store and from heartbeats, and passes all other updates on.
 */
export class FleetStateSync implements PlatformSink {
  readonly #parts: FleetStateParts;
  readonly #configuration: ConfigurationSync;
  readonly #targetsFetch: PeerFetch<TargetRowChange[]>;
  #reachesStore = false;
  /** Local time at which the store answered first; absent before. */
  #firstReachedAtMs?: number;
  #hasTargets = false;
  #hasRecords = false;
  /** Newest version of targets that a heartbeat reported, and since when. */
  #peerTargetsVersion = 0;
  #peerTargetsVersionAtMs = 0;
  /** Version that the list has at least which is fetched from a peer. */
  #fetchedVersion = 0;
  #recentTargetChanges: { change: TargetRowChange; untilMs: number }[] = [];
  /** Version of the list since which heartbeats carry every change. */
  #announcedSinceVersion = 0;

  /** @param parts Dependencies and callbacks. */
  constructor(parts: FleetStateParts) {
    this.#parts = parts;
    this.#configuration = new ConfigurationSync({
      ...parts,
      reachesStore: () => this.#reachesStore,
    });
    this.#targetsFetch = new PeerFetch(parts, {
      kind: SnapshotKind.Targets,
      schema: targetChangesSchema,
      minIntervalMs: PEER_TARGETS_INTERVAL_MS,
      onFetched: (changes) => this.#targetsFetched(changes),
    });
  }

  /** Whether the platform's store is reachable. */
  get reachesStore(): boolean {
    return this.#reachesStore;
  }

  /**
   * Whether a configuration and targets are known, and what the fleet recorded
   * if the store is reachable, so that requests can be served.
   */
  get isComplete(): boolean {
    return this.#parts.board.routes !== undefined && this.#hasTargets &&
      !this.#awaitsRecords();
  }

  #awaitsRecords(): boolean {
    const sinceMs = this.#parts.clock.nowMs() -
      (this.#firstReachedAtMs ?? -Infinity);
    return !this.#hasRecords && sinceMs < MAX_RECORDS_WAIT_MS;
  }

  /**
   * @returns Whether this instance should follow the platform's store closely.
   */
  followsStore(): boolean {
    return this.#parts.followsStore();
  }

  /**
   * @returns Milliseconds for which heartbeats have reported a newer version of
   * the targets than this instance has; 0 if it is up to date.
   */
  targetsLagMs(): number {
    const { board, clock } = this.#parts;
    return board.targets.version < this.#peerTargetsVersion
      ? clock.nowMs() - this.#peerTargetsVersionAtMs
      : 0;
  }

  /** @returns Number of instances that are alive in the view of this one. */
  fleetSize(): number {
    const { board, clock } = this.#parts;
    return board.members.aliveCount(clock.nowMs());
  }

  /**
   * @returns Recent changes of targets, to be sent with heartbeats, and the
   * version of the list that they bring up to date.
   */
  recentTargetChanges(): RecentTargetChanges {
    const nowMs = this.#parts.clock.nowMs();
    const isExpired = ({ untilMs }: { untilMs: number }) => untilMs <= nowMs;
    this.#announcedSinceVersion = Math.max(
      this.#announcedSinceVersion,
      ...this.#recentTargetChanges.filter(isExpired)
        .map(({ change }) => change.rowVersion),
    );
    this.#recentTargetChanges = this.#recentTargetChanges
      .filter((one) => !isExpired(one));
    return {
      changes: this.#recentTargetChanges.map(({ change }) => change),
      sinceVersion: this.#announcedSinceVersion,
    };
  }

  /** @param configuration Configuration that was read from the platform. */
  configurationRead(configuration: FleetConfiguration): void {
    this.#configuration.readFromStore(configuration);
  }

  /** The platform has no newer configuration than the one read last. */
  configurationConfirmed(): void {
    this.#configuration.confirmedByStore();
  }

  /**
   * @returns Longest time to wait for a change of the configuration before the
   * platform is queried again, in milliseconds; undefined while other instances
   * report changes.
   */
  configurationWaitMs(): number | undefined {
    return this.#configuration.pollWaitMs();
  }

  /** Updates the age of the configuration; to be called regularly. */
  tick(): void {
    this.#configuration.tick();
  }

  /**
   * Replaces the view of targets by the platform's list.
   *
   * @param entries Every target on the platform's list.
   * @param version Version of the list.
   */
  targetsRead(entries: readonly TargetRowChange[], version: number): void {
    const { targets } = this.#parts.board;
    const isFirst = !this.#hasTargets;
    this.#hasTargets = true;
    const nowMs = this.#parts.clock.nowMs();
    const updates = targets.replace(entries, version, nowMs);
    this.#parts.board.versionCoverage.followedFrom(nowMs);
    if (isFirst) {
      // Not sent with heartbeats: the others have read the list themselves.
      this.#logFirstList(updates, version);
      this.#recentTargetChanges = [];
      this.#announcedSinceVersion = targets.version;
    } else {
      this.#parts.onChangesMissed();
      this.#targetsUpdated(updates);
    }
    this.#restartTargetsLag();
  }

  /** Logs only the count of a long list: one line each would flood the log. */
  #logFirstList(updates: readonly TargetEvent[], version: number): void {
    const count = updates.length;
    this.#parts.log.info(LogPart.Targets, "targets listed", { count, version });
    if (count <= MAX_LOGGED_AT_START) {
      this.#targetsUpdated(updates);
    } else {
      this.#parts.onTargetsChanged(updates);
    }
  }

  /**
   * Applies changes of the list of targets.
   *
   * @param changes All rows that have changed since the last read.
   */
  targetsChanged(changes: readonly TargetRowChange[]): void {
    const nowMs = this.#parts.clock.nowMs();
    this.#targetsUpdated(this.#parts.board.targets.apply(changes, nowMs));
    this.#restartTargetsLag();
  }

  /** A list that is outdated after a read may be read again after a while. */
  #restartTargetsLag(): void {
    this.#peerTargetsVersionAtMs = this.#parts.clock.nowMs();
  }

  /**
   * Marks a target as leaving, and announces that with heartbeats.
   *
   * @param targetId A target that announced that it is leaving, or that another
   * instance still places requests at although it is known to be leaving.
   */
  targetLeaving(targetId: string): void {
    const { targets } = this.#parts.board;
    const updates = targets.announcedLeaving(targetId);
    if (updates.length > 0) {
      this.#targetsUpdated(updates);
    } else {
      this.#announceTarget(targetId);
    }
  }

  /** @param members Instances on the platform's list. */
  membersRead(members: readonly ListedMember[]): void {
    const nowMs = this.#parts.clock.nowMs();
    for (const { info, ageMs } of members) {
      this.#parts.board.members.memberReported(info, { nowMs, ageMs });
    }
  }

  /**
   * Passes on the fleet's records of spending.
   *
   * @param row The records, and the version of their row.
   */
  spendingRead(row: SpendingRow): void {
    this.#parts.onSpendingRead(row);
  }

  /**
   * Passes on the fleet's last record of the origins of streams.
   *
   * @param record Streams by origin.
   * @param ageMs Age of the record.
   */
  streamsRead(record: readonly StreamOriginGroup[], ageMs: number): void {
    this.#parts.onStreamsRead(record, ageMs);
  }

  /**
   * Passes on the fleet's last record of suspect requests.
   *
   * @param record Suspect requests, under which targets ended.
   * @param ageMs Age of the record, which is added to the age of each entry.
   */
  suspectsRead(record: readonly SuspectUpdate[], ageMs: number): void {
    this.#parts.onSuspectsReceived(record.map((each) => ({
      ...each,
      ageMs: each.ageMs + ageMs,
      ...(each.servedAgeMs === undefined
        ? undefined
        : { servedAgeMs: each.servedAgeMs + ageMs }),
    })));
  }

  /**
   * The fleet's records were read at the start and passed on.
   *
   * @param isEmpty Whether nothing of the fleet is recorded.
   */
  recordsRead(isEmpty: boolean): void {
    this.#hasRecords = true;
    this.#parts.onStreamRecordRead({ isEmpty });
  }

  /** The record of the origins of streams was read again. */
  streamRecordRead(): void {
    this.#parts.onStreamRecordRead({ isEmpty: false });
  }

  /** @param order Roll-out that the operators ordered. */
  rolloutOrdered(order: RolloutOrder): void {
    this.#parts.rollouts.ordered(order);
  }

  /** @param pool Pool whose roll-out order the operators withdrew. */
  rolloutWithdrawn(pool: string): void {
    this.#parts.rollouts.withdrawn(pool);
  }

  /** @param pools All pools with a roll-out order. */
  rolloutsListed(pools: ReadonlySet<string>): void {
    this.#parts.rollouts.ordersListed(pools);
  }

  /**
   * Passes on the fleet's last record of roll-outs.
   *
   * @param record Progress of the roll-outs.
   * @param ageMs Age of the record.
   */
  rolloutsRead(record: readonly RolloutUpdate[], ageMs: number): void {
    this.#parts.rollouts.recordRead(record, ageMs);
  }

  /**
   * Counts and logs a row of the platform's store that could not be parsed.
   *
   * @param what Kind of the row, for example `target`.
   * @param where Key of the row, or the field that is invalid.
   */
  rowUnreadable(what: string, where: string): void {
    this.#parts.metrics.unreadableRow(what);
    this.#parts.log.warn(LogPart.Platform, "unreadable row", { what, where });
  }

  /**
   * Counts and logs a failed call to the platform's store.
   *
   * @param table Table that the call accessed.
   * @param reason Reason of the failure.
   */
  storeCallFailed(table: string, reason: string): void {
    this.#parts.metrics.storeCallFailed(table);
    this.#parts.log.info(LogPart.Platform, "store call failed", {
      table,
      reason,
    });
  }

  /** @param read A read of the platform's store that was sent again. */
  storeReadRepeated(read: RepeatedStoreRead): void {
    this.#parts.log.info(LogPart.Platform, "store read repeated", {
      ...read,
      tookMs: Math.round(read.tookMs),
    });
  }

  /**
   * A keep-alive connection to the platform stopped receiving data while a new
   * one works.
   */
  connectionStalled(): void {
    this.#parts.log.info(LogPart.Platform, "connection stalled");
    this.#parts.onConnectionStalled();
  }

  /** The platform's store answers, for the first time or again. */
  storeReached(): void {
    this.#firstReachedAtMs ??= this.#parts.clock.nowMs();
    if (!this.#reachesStore) {
      this.#parts.log.info(LogPart.Platform, "store reached");
      this.#parts.board.targets.listAvailable(this.#parts.clock.nowMs());
    }
    this.#reachesStore = true;
  }

  /**
   * The platform's store was restored from an older copy. A row that is missing
   * now may be lost rather than removed, as after an outage, and the fleet's
   * records are written again.
   */
  storeRestored(): void {
    const { board, clock, log, metrics, onStoreRestored } = this.#parts;
    metrics.storeRestored();
    log.warn(LogPart.Platform, "store restored from an older copy", {
      targetsVersion: board.targets.version,
      configurationVersion: board.routes?.configuration.version,
    });
    board.targets.listRestored(clock.nowMs());
    this.#parts.rollouts.storeRestored();
    onStoreRestored();
  }

  /** @param reason Why the platform's store does not answer. */
  storeLost(reason: string): void {
    if (this.#reachesStore) {
      this.#parts.log.warn(LogPart.Platform, "store lost", { reason });
    }
    this.#reachesStore = false;
  }

  /**
   * Applies the updates that a heartbeat of another instance carries, and
   * fetches the configuration or the targets if the sender has a newer version.
   *
   * @param heartbeat The heartbeat.
   */
  heartbeatReceived(heartbeat: Heartbeat): void {
    // First, as roll-outs decide whether changed targets may be used.
    this.#parts.rollouts.updatesReceived(heartbeat.rollouts ?? []);
    this.#applyTargetNews(heartbeat);
    if (heartbeat.suspects !== undefined) {
      this.#parts.onSuspectsReceived(heartbeat.suspects);
    }
    if (heartbeat.rateLimits !== undefined) {
      this.#parts.onRateLimitsReceived(heartbeat.rateLimits);
    }
    const { board, clock } = this.#parts;
    if (heartbeat.targetsVersion > this.#peerTargetsVersion) {
      if (board.targets.version >= this.#peerTargetsVersion) {
        this.#peerTargetsVersionAtMs = clock.nowMs();
      }
      this.#peerTargetsVersion = heartbeat.targetsVersion;
    }
    this.#configuration.heartbeatReceived(heartbeat);
    const { from, targetsVersion } = heartbeat;
    if (
      !this.#reachesStore && targetsVersion > board.targets.version &&
      this.#targetsFetch.fetchFrom(from)
    ) {
      this.#fetchedVersion = targetsVersion;
    }
  }

  /**
   * Applies changes of targets that a heartbeat carries. They make the list that
   * of the sender's version only if they are all that it lacks: a heartbeat has
   * room for a limited number of changes, and others may be lost.
   */
  #applyTargetNews(
    { targetNews, targetNewsSince = Infinity, targetsVersion }: Heartbeat,
  ): void {
    const isAll = this.#hasTargets &&
      this.#parts.board.targets.version >= targetNewsSince;
    this.#applyFromPeer(targetNews, isAll ? targetsVersion : 0);
  }

  /** A peer may know some changes that are newer than its version. */
  #targetsFetched(changes: readonly TargetRowChange[]): void {
    this.#hasTargets = true;
    this.#applyFromPeer(changes, this.#fetchedVersion);
  }

  /**
   * Applies changes that another instance reports.
   *
   * @param changes The changes.
   * @param completeVersion Version up to which the list lacks no change then.
   */
  #applyFromPeer(
    changes: readonly TargetRowChange[],
    completeVersion: number,
  ): void {
    const { board: { targets }, clock } = this.#parts;
    const listVersion = targets.version;
    this.#targetsUpdated(targets.apply(changes, clock.nowMs()));
    targets.version = Math.max(listVersion, completeVersion);
  }

  /**
   * Content of a snapshot that a peer requests.
   *
   * @param kind Kind of the snapshot.
   * @returns The content; undefined while this instance has none.
   */
  snapshotOf(kind: SnapshotKind): unknown {
    const { board } = this.#parts;
    if (kind === SnapshotKind.Configuration) {
      return board.routes?.configuration;
    }
    return this.#hasTargets ? board.targets.all().map(changeOf) : undefined;
  }

  #targetsUpdated(updates: readonly TargetEvent[]): void {
    const { board, log } = this.#parts;
    for (const { targetId, kind, rowVersion } of updates) {
      const target = board.targets.get(targetId)!;
      log.info(LogPart.Targets, `target ${kind}`, {
        targetId,
        incarnation: target.incarnation,
        rowVersion,
        version: target.version,
        pool: target.pool,
        address: target.address,
        targetDomain: target.failureDomain,
        slots: target.slots,
        reachesStore: this.#reachesStore,
      });
      this.#announceTarget(targetId);
    }
    if (updates.length > 0) {
      this.#parts.onTargetsChanged(updates);
    }
  }

  /** Sends the known state of a target with the next heartbeats. */
  #announceTarget(targetId: string): void {
    const { board: { targets }, clock } = this.#parts;
    const target = targets.get(targetId);
    if (target !== undefined) {
      this.#recentTargetChanges = this.#recentTargetChanges.filter((
        { change },
      ) => change.targetId !== targetId);
      const untilMs = clock.nowMs() + TARGET_CHANGE_LIFETIME_MS;
      this.#recentTargetChanges.push({ change: changeOf(target), untilMs });
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
