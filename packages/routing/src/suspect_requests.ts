/**
 * Requests under which targets ended.
 *
 * A request may crash each target that begins to run it, and it comes again
 * under new ids and through any instance. Under each target that ends there are
 * others as well, which only happened to run there. So two ended targets make a
 * request no more than a suspect: it then runs as a trial, at one target at a
 * time and beside no other suspect. Where that ends well, the request is cleared;
 * where the target ends again, the request is held back.
 *
 * All that is kept are sets of ended targets, so that instances which heard of
 * the same ones, in any order and more than once, come to the same.
 */

/** What is known of one request, as instances tell each other. */
export interface SuspectNews {
  /** The same for all attempts at the request, on all instances. */
  readonly fingerprint: string;
  /** Processes of targets that ended under it. */
  readonly ended: readonly string[];
  /** Those of them that ended under a trial. */
  readonly endedInTrial: readonly string[];
  /** Time since the last of them ended. */
  readonly ageMs: number;
}

/** One target that ended under a request. */
export interface EndedTarget {
  readonly fingerprint: string;
  /** The target's process: it may start again under the same id. */
  readonly process: string;
  readonly inTrial: boolean;
}

/** Ended targets from which on a request is a suspect. */
const SUSPECT_ENDED = 2;

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

/**
 * How long a request is held back after its first failed trial, its second, and
 * each one after. A request that never ends well costs some two targets a day;
 * one that was held back by mistake is soon tried again.
 */
const HOLD_MS: readonly number[] = [
  2 * MINUTE_MS,
  20 * MINUTE_MS,
  24 * HOUR_MS,
];

/** How long a request is remembered that was not held back. */
const SUSPECT_MS = 10 * MINUTE_MS;

/** How long a failed trial counts, so that the next hold is longer. */
const TRIAL_REMEMBERED_MS = 48 * HOUR_MS;

/** Requests that are remembered; those whose targets ended longest ago go. */
const MOST_REQUESTS = 1024;

/** Ended targets that are kept for a request; more decide nothing. */
const MOST_ENDED = 8;

/** Suspects that instances tell each other of, the newest of them. */
const MOST_TOLD = 12;

/** Time for which a holder repeats to the coordinator what it noted. */
const REPEATED_MS = 1500;

/** Time between two looks for what may be forgotten. */
const LOOK_EVERY_MS = 1000;

interface SuspectRequest {
  readonly fingerprint: string;
  readonly ended: ReadonlySet<string>;
  readonly endedInTrial: ReadonlySet<string>;
  readonly lastEndedAtMs: number;
}

/** Requests under which targets ended, by fingerprint. */
export class SuspectRequests {
  /** The one whose targets ended longest ago first. */
  readonly #byFingerprint = new Map<string, SuspectRequest>();
  #suspects = 0;
  #version = 0;
  #lookedAtMs = -Infinity;

  /** Changes whenever what is told of suspects does. */
  get version(): number {
    return this.#version;
  }

  /** Whether any request is a suspect, so that fingerprints are needed. */
  get isAny(): boolean {
    return this.#suspects > 0;
  }

  /**
   * Notes that a target ended under a request.
   *
   * @param ended Which, and under what.
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
   * Takes in what another instance knows, or the fleet recorded.
   *
   * @param news Requests under which targets ended.
   * @param nowMs The local time.
   * @returns How many of them were not known so.
   */
  merge(news: readonly SuspectNews[], nowMs: number): number {
    return news.filter((each) => this.#mergeOne(each, nowMs)).length;
  }

  /** @param fingerprint A request that a target has served. */
  served(fingerprint: string): void {
    this.#remove(fingerprint);
  }

  /**
   * @param fingerprint A request; undefined where it was not told.
   * @returns Whether it is to run as a trial only.
   */
  isSuspect(fingerprint: string | undefined): boolean {
    const request = this.#get(fingerprint);
    return request !== undefined && isSuspect(request);
  }

  /**
   * @param fingerprint A request; undefined where it was not told.
   * @param nowMs The local time.
   * @returns How long it is still held back; 0 if it is not.
   */
  heldForMs(fingerprint: string | undefined, nowMs: number): number {
    const request = this.#get(fingerprint);
    return request === undefined
      ? 0
      : Math.max(0, request.lastEndedAtMs + holdMs(request) - nowMs);
  }

  /**
   * @param fingerprint A request.
   * @returns How many targets ended under it, as far as is known here.
   */
  endedCount(fingerprint: string): number {
    return this.#get(fingerprint)?.ended.size ?? 0;
  }

  /**
   * @param nowMs The local time.
   * @returns The newest suspects, those that failed a trial before all others,
   * for other instances and for the record.
   */
  toTell(nowMs: number): SuspectNews[] {
    if (!this.isAny) {
      return [];
    }
    const suspects = [...this.#byFingerprint.values()].filter(isSuspect);
    const onlySuspected = suspects.filter((request) =>
      !hasFailedTrial(request)
    );
    return [...onlySuspected, ...suspects.filter(hasFailedTrial)]
      .slice(-MOST_TOLD).map((request) => newsOf(request, nowMs));
  }

  /**
   * @param nowMs The local time.
   * @returns What was noted just now, also of requests that are no suspects: a
   * message that told the coordinator may have been lost.
   */
  lately(nowMs: number): SuspectNews[] {
    return [...this.#byFingerprint.values()]
      .filter(({ lastEndedAtMs }) => nowMs - lastEndedAtMs <= REPEATED_MS)
      .slice(-MOST_TOLD).map((request) => newsOf(request, nowMs));
  }

  /**
   * Forgets requests under which no target has ended for long.
   *
   * @param nowMs The local time.
   */
  forgetOld(nowMs: number): void {
    if (nowMs - this.#lookedAtMs < LOOK_EVERY_MS) {
      return;
    }
    this.#lookedAtMs = nowMs;
    for (const request of [...this.#byFingerprint.values()]) {
      const keptMs = hasFailedTrial(request) ? TRIAL_REMEMBERED_MS : SUSPECT_MS;
      if (nowMs - request.lastEndedAtMs > keptMs) {
        this.#remove(request.fingerprint);
      }
    }
  }

  #get(fingerprint: string | undefined): SuspectRequest | undefined {
    return fingerprint === undefined
      ? undefined
      : this.#byFingerprint.get(fingerprint);
  }

  #mergeOne(news: SuspectNews, nowMs: number): boolean {
    const { fingerprint, ended, endedInTrial, ageMs } = news;
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
      this.#suspects++;
      this.#version++;
    }
    const [oldest] = this.#byFingerprint.keys();
    if (this.#byFingerprint.size > MOST_REQUESTS) {
      this.#remove(oldest!);
    }
  }

  #remove(fingerprint: string): void {
    const request = this.#byFingerprint.get(fingerprint);
    if (request !== undefined && isSuspect(request)) {
      this.#suspects--;
      this.#version++;
    }
    this.#byFingerprint.delete(fingerprint);
  }
}

function isSuspect(request: SuspectRequest): boolean {
  return request.ended.size >= SUSPECT_ENDED || hasFailedTrial(request);
}

function hasFailedTrial({ endedInTrial }: SuspectRequest): boolean {
  return endedInTrial.size > 0;
}

function holdMs({ endedInTrial: { size } }: SuspectRequest): number {
  return size === 0 ? 0 : HOLD_MS[Math.min(size, HOLD_MS.length) - 1]!;
}

function union(
  known: ReadonlySet<string> | undefined,
  more: readonly string[],
): ReadonlySet<string> {
  return new Set([...known ?? [], ...more].slice(0, MOST_ENDED));
}

function newsOf(request: SuspectRequest, nowMs: number): SuspectNews {
  return {
    fingerprint: request.fingerprint,
    ended: [...request.ended],
    endedInTrial: [...request.endedInTrial],
    ageMs: nowMs - request.lastEndedAtMs,
  };
}
