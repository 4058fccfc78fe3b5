/**
 * Quarantine of requests that may crash targets (poison requests).
 *
 * A request may crash each target that begins to run it, and callers retry it
 * with new ids and through any instance. When a target ends, other requests
 * that merely ran on it at the time are affected as well. Therefore two ended
 * targets only make a request a suspect. A suspect runs as a trial: on one
 * target at a time and without another suspect on that target. If the trial
 * succeeds, the request is cleared; if the target ends again, the request is
 * quarantined.
 *
 * The state consists of sets of ended targets only, so that instances converge
 * whatever the order and repetition of the updates that they receive.
 */

/**
 * Targets that ended under one request, as instances send them to each other.
 */
export interface SuspectUpdate {
  /** Hash of the request, equal for all attempts and on all instances. */
  readonly fingerprint: string;
  /** Processes of targets that ended while they ran the request. */
  readonly ended: readonly string[];
  /** Those of the ended processes that ran the request as a trial. */
  readonly endedInTrial: readonly string[];
  /** Time since the last of these processes ended. */
  readonly ageMs: number;
}

/** A target that ended while it ran a request. */
export interface EndedTarget {
  readonly fingerprint: string;
  /** The target's process, as a target may restart under the same id. */
  readonly process: string;
  /** Whether the request ran as a trial. */
  readonly inTrial: boolean;
}

/** Number of ended targets that make a request a suspect. */
const MIN_SUSPECT_ENDED = 2;

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

/**
 * Quarantine of a request after its first failed trial, its second, and each
 * further one. A request that crashes every target ends about two targets a
 * day; one that was quarantined by mistake is soon tried again.
 */
const QUARANTINE_MS: readonly number[] = [
  2 * MINUTE_MS,
  20 * MINUTE_MS,
  24 * HOUR_MS,
];

/** Time for which a request without a failed trial is kept. */
const RETENTION_MS = 10 * MINUTE_MS;

/**
 * Time for which failed trials are kept, so that the next quarantine is longer.
 */
const FAILED_TRIAL_RETENTION_MS = 48 * HOUR_MS;

/**
 * Largest number of requests; the one with the oldest ended target is evicted.
 */
const MAX_REQUESTS = 1024;

/**
 * Ended targets that are kept for a request; further ones change no decision.
 */
const MAX_ENDED_TARGETS = 8;

/** Largest number of requests in a message, as a heartbeat is one datagram. */
const MAX_UPDATES_SENT = 12;

/** Time for which a holder repeats a new ended target in reports. */
const REPEAT_MS = 1500;

/** Least time between two evictions of expired requests. */
const EVICTION_INTERVAL_MS = 1000;

interface SuspectRequest {
  readonly fingerprint: string;
  readonly ended: ReadonlySet<string>;
  readonly endedInTrial: ReadonlySet<string>;
  readonly lastEndedAtMs: number;
}

/** Requests under which targets ended, and the quarantine of these requests. */
export class SuspectRequests {
  /** Ordered by the last new ended target, oldest first. */
  readonly #byFingerprint = new Map<string, SuspectRequest>();
  #suspectCount = 0;
  #version = 0;
  #evictedAtMs = -Infinity;

  /** Increases with every change of a suspect. */
  get version(): number {
    return this.#version;
  }

  /** Whether any request is a suspect; fingerprints are only needed then. */
  get hasSuspects(): boolean {
    return this.#suspectCount > 0;
  }

  /**
   * Records that a target ended while it ran a request.
   *
   * @param ended The target's process and the request.
   * @param nowMs The local time.
   */
  targetEnded(
    { fingerprint, process, inTrial }: EndedTarget,
    nowMs: number,
  ): void {
    const endedInTrial = inTrial ? [process] : [];
    this.merge(
      [{ fingerprint, ended: [process], endedInTrial, ageMs: 0 }],
      nowMs,
    );
  }

  /**
   * Merges updates of another instance or from the store.
   *
   * @param updates Requests under which targets ended.
   * @param nowMs The local time.
   * @returns Number of requests with ended targets that were not known.
   */
  merge(updates: readonly SuspectUpdate[], nowMs: number): number {
    return updates.filter((update) => this.#mergeOne(update, nowMs)).length;
  }

  /**
   * Clears a request that a target served.
   *
   * @param fingerprint Fingerprint of the request.
   */
  served(fingerprint: string): void {
    this.#remove(fingerprint);
  }

  /**
   * @param fingerprint Fingerprint of a request; undefined if there is none.
   * @returns Whether the request must run as a trial.
   */
  isSuspect(fingerprint: string | undefined): boolean {
    const request = this.#get(fingerprint);
    return request !== undefined && isSuspect(request);
  }

  /**
   * @param fingerprint Fingerprint of a request; undefined if there is none.
   * @param nowMs The local time.
   * @returns Remaining quarantine of the request in milliseconds; 0 if none.
   */
  quarantineLeftMs(fingerprint: string | undefined, nowMs: number): number {
    const request = this.#get(fingerprint);
    return request === undefined
      ? 0
      : Math.max(0, request.lastEndedAtMs + quarantineMs(request) - nowMs);
  }

  /**
   * @param fingerprint Fingerprint of a request.
   * @returns Number of targets that ended under the request.
   */
  endedCount(fingerprint: string): number {
    return this.#get(fingerprint)?.ended.size ?? 0;
  }

  /**
   * Returns suspects for other instances and for the store. If there are too
   * many, those that failed a trial take precedence, then the newest.
   *
   * @param nowMs The local time.
   * @returns The suspects to send.
   */
  updatesToSend(nowMs: number): SuspectUpdate[] {
    if (!this.hasSuspects) {
      return [];
    }
    const suspects = [...this.#byFingerprint.values()].filter(isSuspect);
    const withoutFailedTrial = suspects.filter((request) =>
      !hasFailedTrial(request)
    );
    return [...withoutFailedTrial, ...suspects.filter(hasFailedTrial)]
      .slice(-MAX_UPDATES_SENT).map((request) => updateOf(request, nowMs));
  }

  /**
   * Returns requests under which targets ended recently, suspects or not. They
   * are repeated as an earlier message to the coordinator may have been lost.
   *
   * @param nowMs The local time.
   * @returns The newest of these requests.
   */
  recentUpdates(nowMs: number): SuspectUpdate[] {
    return [...this.#byFingerprint.values()]
      .filter(({ lastEndedAtMs }) => nowMs - lastEndedAtMs <= REPEAT_MS)
      .slice(-MAX_UPDATES_SENT).map((request) => updateOf(request, nowMs));
  }

  /**
   * Removes requests under which no target ended for the retention time.
   *
   * @param nowMs The local time.
   */
  evictExpired(nowMs: number): void {
    if (nowMs - this.#evictedAtMs < EVICTION_INTERVAL_MS) {
      return;
    }
    this.#evictedAtMs = nowMs;
    for (const request of [...this.#byFingerprint.values()]) {
      const retentionMs = hasFailedTrial(request)
        ? FAILED_TRIAL_RETENTION_MS
        : RETENTION_MS;
      if (nowMs - request.lastEndedAtMs > retentionMs) {
        this.#remove(request.fingerprint);
      }
    }
  }

  #get(fingerprint: string | undefined): SuspectRequest | undefined {
    return fingerprint === undefined
      ? undefined
      : this.#byFingerprint.get(fingerprint);
  }

  #mergeOne(update: SuspectUpdate, nowMs: number): boolean {
    const { fingerprint, ended, endedInTrial, ageMs } = update;
    const known = this.#byFingerprint.get(fingerprint);
    const request = {
      fingerprint,
      ended: union(known?.ended, ended),
      endedInTrial: union(known?.endedInTrial, endedInTrial),
      lastEndedAtMs: Math.max(known?.lastEndedAtMs ?? -Infinity, nowMs - ageMs),
    };
    const hasGrown = request.ended.size > (known?.ended.size ?? 0) ||
      request.endedInTrial.size > (known?.endedInTrial.size ?? 0);
    if (hasGrown) {
      this.#remove(fingerprint);
      this.#put(request);
    }
    return hasGrown;
  }

  #put(request: SuspectRequest): void {
    this.#byFingerprint.set(request.fingerprint, request);
    if (isSuspect(request)) {
      this.#suspectCount++;
      this.#version++;
    }
    const [oldest] = this.#byFingerprint.keys();
    if (this.#byFingerprint.size > MAX_REQUESTS) {
      this.#remove(oldest!);
    }
  }

  #remove(fingerprint: string): void {
    const request = this.#byFingerprint.get(fingerprint);
    if (request !== undefined && isSuspect(request)) {
      this.#suspectCount--;
      this.#version++;
    }
    this.#byFingerprint.delete(fingerprint);
  }
}

function isSuspect(request: SuspectRequest): boolean {
  return request.ended.size >= MIN_SUSPECT_ENDED || hasFailedTrial(request);
}

function hasFailedTrial({ endedInTrial }: SuspectRequest): boolean {
  return endedInTrial.size > 0;
}

function quarantineMs({ endedInTrial: { size } }: SuspectRequest): number {
  return size === 0
    ? 0
    : QUARANTINE_MS[Math.min(size, QUARANTINE_MS.length) - 1]!;
}

function union(
  known: ReadonlySet<string> | undefined,
  added: readonly string[],
): ReadonlySet<string> {
  return new Set([...known ?? [], ...added].slice(0, MAX_ENDED_TARGETS));
}

function updateOf(request: SuspectRequest, nowMs: number): SuspectUpdate {
  return {
    fingerprint: request.fingerprint,
    ended: [...request.ended],
    endedInTrial: [...request.endedInTrial],
    ageMs: nowMs - request.lastEndedAtMs,
  };
}
