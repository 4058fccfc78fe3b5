/**
 * Preserves the origins of streams beyond the lifetime of the instances that
 * know them. While targets of several versions serve, the coordinator records
 * in the platform's store which version began each stream, and a new one, or a
 * fleet that lost all its instances, continues from that record.
 */

import type { Coordinator } from "@chestnuthatch/routing/coordinator";
import { type MixedPool, mixedPools } from "@chestnuthatch/routing/mixed_pools";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import {
  returnWindowMs,
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
  readonly coordinator: Pick<Coordinator, "importStreams" | "awaitsStreams">;
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
  #readAtMs = -Infinity;

  /** @param parts Dependencies. */
  constructor(parts: StreamRecorderParts) {
    this.#parts = parts;
    const { clock, platform } = parts;
    this.#recorder = new StoreRecorder({
      clock,
      minIntervalMs: MIN_RECORD_INTERVAL_MS,
      retryDelayMs: RECORD_RETRY_MS,
      next: () => this.#nextRecord(),
      write: (record) => platform.recordStreams(record),
      onFailed: () => this.#recordFailed(),
    });
  }

  /** This instance became the coordinator, and needs what others recorded. */
  becameCoordinator(): void {
    this.#recorder.pauseFor(FIRST_RECORD_DELAY_MS);
    this.#recordedRevision = NOT_RECORDED;
    if (this.#mixedPools().length > 0) {
      this.#read();
    }
  }

  /** Lets the streams be recorded again, since the record may be lost. */
  invalidateRecord(): void {
    this.#recordedRevision = NOT_RECORDED;
  }

  /** Reads the record if a stream that is taken up is not known. */
  tick(): void {
    const { coordinator, clock } = this.#parts;
    const isDue = clock.nowMs() - this.#readAtMs >= MIN_READ_INTERVAL_MS;
    if (coordinator.awaitsStreams && isDue) {
      this.#read();
    }
  }

  #read(): void {
    this.#readAtMs = this.#parts.clock.nowMs();
    this.#parts.platform.readStreams();
  }

  /**
   * Restores streams from the platform's store.
   *
   * @param record Streams by origin.
   * @param ageMs Age of the record.
   */
  restore(record: readonly StreamOriginGroup[], ageMs: number): void {
    const { board, coordinator, clock, log } = this.#parts;
    if (ageMs >= returnWindowMs(board.routes)) {
      return;
    }
    coordinator.importStreams(record, clock.nowMs());
    log.info(LogPart.Platform, "streams restored", {
      ageMs: Math.round(ageMs),
      streams: record.reduce((sum, { keys }) => sum + keys.length, 0),
    });
  }

  /** Records streams that changed; called by the coordinator only. */
  record(): void {
    void this.#recorder.record();
  }

  #nextRecord(): StreamOriginGroup[] | undefined {
    const { board: { streamOrigins }, clock } = this.#parts;
    const pools = this.#mixedPools();
    const { revision } = streamOrigins;
    if (pools.length === 0 || revision === this.#recordedRevision) {
      return undefined;
    }
    this.#recordedRevision = revision;
    const groups = streamOrigins.groups({
      pools: new Set(pools.map(({ pool }) => pool)),
      nowMs: clock.nowMs(),
      onlyOwn: false,
      maxStreams: MAX_RECORDED_STREAMS,
    });
    // A version without streams may still have begun one that is not known.
    const others = pools.flatMap(({ pool, versions }) =>
      versions.filter((version) =>
        !groups.some((each) => each.pool === pool && each.version === version)
      ).map((version) => ({ pool, version, keys: [] }))
    );
    return [...groups, ...others];
  }

  /**
   * Lists streams that began recently, for the heartbeats of the coordinator.
   *
   * @param withinMs Time from now within which they were recorded.
   * @returns The streams by origin.
   */
  recent(withinMs: number): StreamOriginGroup[] {
    const pools = this.#mixedPools();
    const { board: { streamOrigins }, clock } = this.#parts;
    return pools.length === 0 ? [] : streamOrigins.groups({
      pools: new Set(pools.map(({ pool }) => pool)),
      nowMs: clock.nowMs(),
      onlyOwn: false,
      maxStreams: MAX_RECENT_STREAMS,
      withinMs,
    });
  }

  #mixedPools(): MixedPool[] {
    return mixedPools(this.#parts.board, this.#parts.clock.nowMs());
  }

  #recordFailed(): void {
    this.#recordedRevision = NOT_RECORDED;
    this.#parts.log.warn(LogPart.Platform, "streams not recorded");
  }
}
