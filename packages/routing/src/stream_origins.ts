/**
 * Where streams began: the pool and the software version of the target that
 * brought the first event. What targets of two versions write does not fit into
 * one stream, so a stream goes on at its version only, also when its caller
 * takes it up at another instance.
 */

import { hash32 } from "@chestnuthatch/core/text_hash";
import type { RouteTable } from "./route_table.ts";

/** Pool and software version of a stream. */
export interface StreamOrigin {
  readonly pool: string;
  readonly version: string;
}

/** Streams of one origin, as instances send them to each other. */
export interface StreamOriginGroup extends StreamOrigin {
  readonly keys: readonly number[];
  /**
   * Time before the fleet's record for which the record has all versions of the
   * pool, in milliseconds; absent if it has all that ever served.
   */
  readonly historyMs?: number;
}

/**
 * Time for which a stream can be taken up, relative to the longest timeout of
 * the routes. A caller may have begun the stream at the end of one timeout, and
 * wait for another one.
 */
const RETURN_WINDOW_RATIO = 2;

/** Return window while no configuration is known. */
const DEFAULT_RETURN_WINDOW_MS = 60_000;

/**
 * Time for which the origin of a completed stream is kept: its end may still
 * have to be written to a slow caller.
 */
const COMPLETED_RETENTION_MS = 3000;

/** Largest number of streams; the one that was recorded first is evicted. */
const MAX_STREAMS = 100_000;

/** Least time between two evictions of expired streams. */
const EVICTION_INTERVAL_MS = 1000;

const HASH_COUNT = 2 ** 32;
/** Bits of the second hash, so that a key is an exact number. */
const SECOND_HASH_COUNT = 2 ** 21;

interface RecordedStream {
  readonly origin: StreamOrigin;
  /** Whether it began at this instance. */
  readonly isOwn: boolean;
  readonly isCompleted: boolean;
  readonly recordedAtMs: number;
  readonly expiresAtMs: number;
}

/** How a stream is recorded. */
export interface RecordOptions {
  readonly nowMs: number;
  /** Time for which the caller may return. */
  readonly windowMs: number;
  /** Whether it began at this instance. */
  readonly isOwn?: boolean;
}

/** Which streams are listed. */
export interface GroupOptions {
  readonly pools: ReadonlySet<string>;
  readonly nowMs: number;
  /** Whether streams that began at other instances are left out. */
  readonly onlyOwn: boolean;
  /** Largest number of streams; those that were recorded first are left out. */
  readonly maxStreams: number;
  /** Time from now within which they were recorded; all if absent. */
  readonly withinMs?: number;
}

/**
 * Identifies a stream by its caller's attempt that brought the first event.
 *
 * @param workspace Name of the caller's workspace; empty if there is none.
 * @param requestId Request id of the attempt.
 * @returns A hash that is wide enough to tell streams apart.
 */
export function streamKeyOf(workspace: string, requestId: string): number {
  const second = hash32(`${requestId} ${workspace}`) % SECOND_HASH_COUNT;
  return hash32(`${workspace} ${requestId}`) + second * HASH_COUNT;
}

/**
 * Computes the time for which a caller may take a stream up.
 *
 * @param routes Routes in force; undefined while none are known.
 * @returns A duration in milliseconds, from the stream's last event.
 */
export function returnWindowMs(routes: RouteTable | undefined): number {
  return routes === undefined
    ? DEFAULT_RETURN_WINDOW_MS
    : RETURN_WINDOW_RATIO * routes.longestTimeoutMs;
}

/** Origins of the streams that callers may take up, by the streams' keys. */
export class StreamOrigins {
  readonly #byKey = new Map<number, RecordedStream>();
  #evictedAtMs = -Infinity;
  #revision = 0;

  /** Number of streams, including those that have expired since. */
  get size(): number {
    return this.#byKey.size;
  }

  /** Increases when a stream is recorded. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Records the origin of a stream, or that it has gone on there.
   *
   * @param key Key of the stream.
   * @param origin Its pool and version.
   * @param options The local time, the time for which the caller may return, and
   * whether the stream began at this instance.
   */
  record(key: number, origin: StreamOrigin, options: RecordOptions): void {
    const { nowMs, windowMs } = options;
    const isOwn = options.isOwn === true ||
      this.#byKey.get(key)?.isOwn === true;
    this.#evictExpired(nowMs);
    this.#byKey.delete(key);
    this.#byKey.set(key, {
      origin,
      isOwn,
      isCompleted: false,
      recordedAtMs: nowMs,
      expiresAtMs: nowMs + windowMs,
    });
    this.#revision++;
    if (this.#byKey.size > MAX_STREAMS) {
      const [oldest] = this.#byKey.keys();
      this.#byKey.delete(oldest!);
    }
  }

  /**
   * Records that a stream was completed, so that its caller will hardly return.
   *
   * @param key Key of the stream.
   * @param nowMs The local time.
   */
  completed(key: number, nowMs: number): void {
    const stream = this.#byKey.get(key);
    if (stream !== undefined) {
      const expiresAtMs = nowMs + COMPLETED_RETENTION_MS;
      this.#byKey.set(key, { ...stream, isCompleted: true, expiresAtMs });
    }
  }

  /**
   * @param key Key of a stream.
   * @param nowMs The local time.
   * @returns Its origin; undefined if it is not known.
   */
  get(key: number, nowMs: number): StreamOrigin | undefined {
    const stream = this.#byKey.get(key);
    const isKnown = stream !== undefined && nowMs < stream.expiresAtMs;
    return isKnown ? stream.origin : undefined;
  }

  /**
   * Lists the open streams of some pools, for other instances.
   *
   * @param options Which streams are listed.
   * @returns The streams by origin, without those that were completed.
   */
  groups(
    { pools, nowMs, onlyOwn, maxStreams, withinMs = Infinity }: GroupOptions,
  ): StreamOriginGroup[] {
    const listed = [...this.#byKey].filter(([, stream]) =>
      pools.has(stream.origin.pool) && nowMs < stream.expiresAtMs &&
      (stream.isOwn || !onlyOwn) && !stream.isCompleted &&
      nowMs - stream.recordedAtMs < withinMs
    );
    const groups = new Map<string, StreamOrigin & { keys: number[] }>();
    for (const [key, { origin }] of listed.slice(-maxStreams)) {
      const name = JSON.stringify([origin.pool, origin.version]);
      const group = groups.get(name) ?? { ...origin, keys: [] };
      groups.set(name, group);
      group.keys.push(key);
    }
    return [...groups.values()];
  }

  /**
   * Records streams of another instance, or of the fleet's record. Those that
   * are known are left as they are: a report repeats them, which does not mean
   * that they have gone on.
   *
   * @param groups The streams by origin.
   * @param options The local time, and the time for which callers may return.
   */
  merge(groups: readonly StreamOriginGroup[], options: RecordOptions): void {
    for (const { pool, version, keys } of groups) {
      const origin = { pool, version };
      keys.filter((key) => !this.#byKey.has(key))
        .forEach((key) => this.record(key, origin, options));
    }
  }

  #evictExpired(nowMs: number): void {
    if (nowMs - this.#evictedAtMs < EVICTION_INTERVAL_MS) {
      return;
    }
    this.#evictedAtMs = nowMs;
    for (const [key, { expiresAtMs }] of this.#byKey) {
      if (expiresAtMs <= nowMs) {
        this.#byKey.delete(key);
      }
    }
  }
}
