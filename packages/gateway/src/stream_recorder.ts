/**
 * Preserves the origins of streams beyond the lifetime of the instances that
 * know them. The coordinator records in the platform's store which versions
 * serve and, while there are several, which one began each stream. A new
 * coordinator, or a fleet that lost all its instances, continues from that
 * record.
 */

import type { Coordinator } from "@chestnuthatch/routing/coordinator";
import {
  hasSeveralVersions,
  type PoolVersions,
  poolVersions,
} from "@chestnuthatch/routing/pool_versions";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import {
  returnWindowMs,
  type StreamOrigin,
  type StreamOriginGroup,
} from "@chestnuthatch/routing/stream_origins";
import { type EventLog, LogPart } from "./event_log.ts";
import type { Clock, PlatformPort } from "./ports.ts";
import { StoreRecorder } from "./store_recorder.ts";

/**
 * Minimum time between two records: a short part of most streams, as those that
 * began since the last record are lost with all instances.
 */
const MIN_RECORD_INTERVAL_MS = 250;

/** Delay before a failed write of the record is retried. */
const RECORD_RETRY_MS = 1000;

/** Time after which a new coordinator has the reports of the other holders. */
const FIRST_RECORD_DELAY_MS = 600;

/** Minimum time between two reads of the record. */
const MIN_READ_INTERVAL_MS = 1000;

/** Streams in the record, a row of at most 64 KB in the platform's store. */
const MAX_RECORDED_STREAMS = 2500;

/** Streams in a heartbeat: 4.5 KB, so that it fits into a datagram. */
const MAX_RECENT_STREAMS = 500;

/** Recorded revision while there is no valid record. */
const NOT_RECORDED = -1;

/** Dependencies of {@link StreamRecorder}. */
export interface StreamRecorderParts {
  readonly board: RoutingBoard;
  readonly coordinator: Pick<Coordinator, "restoreStreams" | "awaitsStreams">;
  readonly platform: Pick<PlatformPort, "recordStreams" | "readStreams">;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Records the origins of streams in the store, and restores them. */
export class StreamRecorder {
  readonly #parts: StreamRecorderParts;
  readonly #recorder: StoreRecorder<StreamOriginGroup[]>;
  /** Revision of the board's streams that was recorded last. */
  #recordedRevision = NOT_RECORDED;
  /** Versions in the record, as far as is known; absent if they are not. */
  #recordedVersions?: string;
  /** Whether the record was read since this instance missed changes. */
  #isRecordKnown = false;
  #readAtMs = -Infinity;

  /** @param parts Dependencies. */
  constructor(parts: StreamRecorderParts) {
    this.#parts = parts;
    const { clock } = parts;
    this.#recorder = new StoreRecorder({
      clock,
      minIntervalMs: MIN_RECORD_INTERVAL_MS,
      retryDelayMs: RECORD_RETRY_MS,
      next: () => this.#nextRecord(),
      write: (record) => this.#write(record),
      onFailed: () => this.#recordFailed(),
    });
  }

  /** This instance became the coordinator, and needs what others recorded. */
  becameCoordinator(): void {
    this.#recordedRevision = NOT_RECORDED;
    if (this.#pools().some(hasSeveralVersions)) {
      this.#recorder.pauseFor(FIRST_RECORD_DELAY_MS);
      this.#read();
    }
  }

  /** Lets the streams be recorded again, since the record may be lost. */
  invalidateRecord(): void {
    this.#recordedRevision = NOT_RECORDED;
    this.#recordedVersions = undefined;
  }

  /** Changes of the list of targets were missed. */
  changesMissed(): void {
    this.#isRecordKnown = false;
  }

  /**
   * The record was read, and restored if there was one.
   *
   * @param of Whether nothing of the fleet is recorded at all.
   */
  recordRead({ isEmpty }: { isEmpty: boolean }): void {
    this.#isRecordKnown = true;
    if (isEmpty) {
      this.#parts.board.versionCoverage.noRecords();
    }
  }

  /** Reads the record if a stream that is taken up is not known. */
  tick(): void {
    if (this.#parts.coordinator.awaitsStreams) {
      this.#readIfDue();
    }
  }

  #readIfDue(): void {
    const nowMs = this.#parts.clock.nowMs();
    if (nowMs - this.#readAtMs >= MIN_READ_INTERVAL_MS) {
      this.#read();
    }
  }

  #read(): void {
    this.#readAtMs = this.#parts.clock.nowMs();
    void this.#parts.platform.readStreams();
  }

  async #write(record: StreamOriginGroup[]): Promise<boolean> {
    const isRecorded = await this.#parts.platform.recordStreams(record);
    if (isRecorded) {
      this.#parts.board.versionCoverage.versionsRecorded(record);
    }
    return isRecorded;
  }

  /**
   * Restores streams from the platform's store.
   *
   * @param record Streams by origin.
   * @param ageMs Age of the record.
   */
  restore(record: readonly StreamOriginGroup[], ageMs: number): void {
    const { board, coordinator, clock, log } = this.#parts;
    const nowMs = clock.nowMs();
    const mayReturn = ageMs < returnWindowMs(board.routes);
    coordinator.restoreStreams(
      mayReturn ? record : record.map((group) => ({ ...group, keys: [] })),
      nowMs,
    );
    for (const { pool, historyMs = Infinity } of record) {
      board.versionCoverage.recorded(pool, nowMs - ageMs - historyMs);
    }
    board.versionCoverage.versionsRecorded(record);
    this.#recordedVersions = versionsTextOf(record);
    log.info(LogPart.Platform, "streams restored", {
      ageMs: Math.round(ageMs),
      streams: record.reduce((sum, { keys }) => sum + keys.length, 0),
    });
  }

  /**
   * Records versions and streams that changed; called by the coordinator only.
   * A record that is not known is read before it is replaced.
   */
  record(): void {
    if (this.#isRecordKnown) {
      void this.#recorder.record();
    } else {
      this.#readIfDue();
    }
  }

  #nextRecord(): StreamOriginGroup[] | undefined {
    const { board: { streamOrigins }, clock } = this.#parts;
    const pools = this.#pools();
    const mixed = pools.filter(hasSeveralVersions);
    const versions = pools.flatMap((each) => this.#versionGroups(each));
    const versionsText = versionsTextOf(versions);
    const { revision } = streamOrigins;
    const isCurrent = versionsText === this.#recordedVersions &&
      (mixed.length === 0 || revision === this.#recordedRevision);
    if (isCurrent) {
      return undefined;
    }
    this.#recordedRevision = revision;
    this.#recordedVersions = versionsText;
    const groups = streamOrigins.groups({
      pools: new Set(mixed.map(({ pool }) => pool)),
      nowMs: clock.nowMs(),
      onlyOwn: false,
      maxStreams: MAX_RECORDED_STREAMS,
    });
    // A version without streams may still have begun one that is not known.
    return versions.map((group) => ({
      ...group,
      keys: groups.find((each) => isSameOrigin(each, group))?.keys ?? [],
    }));
  }

  #versionGroups({ pool, versions }: PoolVersions): StreamOriginGroup[] {
    const { board: { versionCoverage }, clock } = this.#parts;
    const historyMs = clock.nowMs() - versionCoverage.sinceMs(pool);
    const history = historyMs === Infinity
      ? undefined
      : { historyMs: Math.max(0, Math.round(historyMs)) };
    return versions.map((version) => ({
      pool,
      version,
      keys: [],
      ...history,
    }));
  }

  /**
   * Lists streams that began recently, for the heartbeats of the coordinator.
   *
   * @param withinMs Time from now within which they were recorded.
   * @returns The streams by origin.
   */
  recent(withinMs: number): StreamOriginGroup[] {
    const pools = this.#pools().filter(hasSeveralVersions);
    const { board: { streamOrigins }, clock } = this.#parts;
    return pools.length === 0 ? [] : streamOrigins.groups({
      pools: new Set(pools.map(({ pool }) => pool)),
      nowMs: clock.nowMs(),
      onlyOwn: false,
      maxStreams: MAX_RECENT_STREAMS,
      withinMs,
    });
  }

  #pools(): PoolVersions[] {
    return poolVersions(this.#parts.board, this.#parts.clock.nowMs());
  }

  #recordFailed(): void {
    this.#recordedRevision = NOT_RECORDED;
    this.#recordedVersions = undefined;
    this.#parts.log.warn(LogPart.Platform, "streams not recorded");
  }
}

/** Identifies the versions of all pools, whatever their order. */
function versionsTextOf(groups: readonly StreamOrigin[]): string {
  const names = groups.map(({ pool, version }) =>
    JSON.stringify([pool, version])
  );
  return [...new Set(names)].sort().join();
}

function isSameOrigin(a: StreamOrigin, b: StreamOrigin): boolean {
  return a.pool === b.pool && a.version === b.version;
}
