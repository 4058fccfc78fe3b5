/**
 * Quarantine of requests that may crash targets (poison requests).
 *
 * A request, or a part of its prompt, may crash each target that begins to
 * answer it, and callers send such requests with new ids and through any
 * instance. When a target ends, other requests that merely ran on it at the
 * time are affected as well. Therefore two crashes only make suspects of the
 * keys that explain them. A request with a suspect key runs as a trial: on one
 * target at a time and without another suspect on that target. If a target
 * answers it, its keys are cleared; if the target ends, requests like it are
 * quarantined.
 *
 * The state consists of sets of ended targets and times of answers only, so
 * that instances converge whatever the order and repetition of the updates that
 * they receive.
 */

import {
  type CrashCause,
  type CrashEnd,
  type CrashRecord,
  findCrashCauses,
} from "./crash_causes.ts";

/** Keys of a request, by which crashes are attributed. */
export interface CrashKeys {
  /**
   * Hash of the whole request, equal for all attempts and on all instances;
   * absent if it was not computed.
   */
  readonly fingerprint?: string;
  /**
   * Hashes of the parts of its prompt that other requests may share; absent if
   * there are none or they were not computed.
   */
  readonly promptParts?: readonly string[];
}

/** Crashes under one key, as instances send them to each other. */
export interface SuspectUpdate {
  /** The key: a request's fingerprint, or the hash of a part of prompts. */
  readonly fingerprint: string;
  /** Processes of targets that ended while they ran requests with the key. */
  readonly ended: readonly string[];
  /** Those of the ended processes that ran such a request as a trial. */
  readonly endedInTrial: readonly string[];
  /** Time since the last of these processes ended. */
  readonly ageMs: number;
  /**
   * Time since a target last answered a request with the key; absent if none
   * did.
   */
  readonly servedAgeMs?: number;
}

/** A part of prompts that a request on an ended target had. */
export interface ImplicatedPart {
  /** Hash of the part. */
  readonly part: string;
  /**
   * Time since a target answered a request with the part to the same holder;
   * absent if none did.
   */
  readonly servedAgeMs?: number;
}

/** A target that ended while it ran a request. */
export interface EndedTarget {
  readonly fingerprint: string;
  /**
   * Parts of the request's prompt; absent if the target had begun to answer it
   * well before, so that they did not cause the end.
   */
  readonly promptParts?: readonly ImplicatedPart[];
  /** The target's process, as a target may restart under the same id. */
  readonly process: string;
  /** Whether the request ran as a trial. */
  readonly inTrial: boolean;
}

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

/**
 * Quarantine after the first failed trial, the second, and each further one. A
 * key that crashes every target ends about two targets a day; one that was
 * quarantined by mistake is soon tried again.
 */
const QUARANTINE_MS: readonly number[] = [
  2 * MINUTE_MS,
  20 * MINUTE_MS,
  24 * HOUR_MS,
];

/**
 * Failed trials of a key that targets answered before, up to which it is not
 * quarantined: most requests of a workspace may have such a part.
 */
const TOLERATED_TRIALS_IF_SERVED = 2;

/** Time for which a key without a failed trial is kept. */
const RETENTION_MS = 10 * MINUTE_MS;

/**
 * Time for which failed trials are kept, so that the next quarantine is longer.
 */
const FAILED_TRIAL_RETENTION_MS = 48 * HOUR_MS;

/**
 * Largest number of keys; the oldest is evicted, and one with a failed trial
 * only if there is no other.
 */
const MAX_KEYS = 1024;

/**
 * Ended targets that are kept for a key; the oldest are dropped. A cause has to
 * keep more of them than the keys beside it, or it no longer explains theirs.
 */
const MAX_ENDED_TARGETS = 64;

/** Ended targets of a key in a message, the newest. */
const MAX_ENDED_SENT = 12;

/** Largest number of keys in a message, as a heartbeat is one datagram. */
const MAX_UPDATES_SENT = 12;

/**
 * Largest number of keys in the fleet's record, which has to fit into a row of
 * 64 KB in the platform's store.
 */
const MAX_UPDATES_STORED = 32;

/** Time for which new ended targets and cleared suspects are repeated. */
const REPEAT_MS = 1500;

/**
 * Time after the end of a target for which holders tell the keys of all their
 * requests, before they have heard of suspects.
 */
const KEYS_NEEDED_MS = 10_000;

/** Least time between two evictions of expired keys. */
const EVICTION_INTERVAL_MS = 1000;

/** Crashes of one key, and the last change of them. */
interface KeyRecord extends CrashRecord {
  readonly lastEndedAtMs: number;
  /** When an answer cleared the key of suspicion; -Infinity if none did. */
  readonly clearedAtMs: number;
}

/** Keys under which targets ended, and the quarantine of their requests. */
export class CrashSuspects {
  /** Ordered by the last change, oldest first. */
  readonly #records = new Map<string, KeyRecord>();
  /** Absent while records have changed since the causes were found. */
  #causes?: ReadonlyMap<string, CrashCause>;
  /** Causes of the present version, as text to compare them by. */
  #versionedCauses = describeCauses(new Map());
  #lastEndedAtMs = -Infinity;
  #version = 0;
  #evictedAtMs = -Infinity;

  /** Increases with every change of a suspect. */
  get version(): number {
    this.#findCauses();
    return this.#version;
  }

  /** Whether any key is suspect. */
  get hasSuspects(): boolean {
    return this.#findCauses().size > 0;
  }

  /**
   * @param nowMs The local time.
   * @returns Whether asks have to tell the keys of their requests.
   */
  needsKeys(nowMs: number): boolean {
    return nowMs - this.#lastEndedAtMs <= KEYS_NEEDED_MS || this.hasSuspects;
  }

  /**
   * Records that a target ended while it ran a request.
   *
   * @param end The target's process and the request.
   * @param nowMs The local time.
   */
  targetEnded(end: EndedTarget, nowMs: number): void {
    const { fingerprint, promptParts = [], process, inTrial } = end;
    const update = {
      ended: [process],
      endedInTrial: inTrial ? [process] : [],
      ageMs: 0,
    };
    this.merge([
      { fingerprint, ...update },
      ...promptParts.map(({ part, servedAgeMs }) => ({
        fingerprint: part,
        ...update,
        servedAgeMs,
      })),
    ], nowMs);
  }

  /**
   * Merges updates of another instance or from the store.
   *
   * @param updates Keys under which targets ended.
   * @param nowMs The local time.
   * @returns Number of keys with ended targets that were not known.
   */
  merge(updates: readonly SuspectUpdate[], nowMs: number): number {
    return updates.filter((update) => this.#mergeOne(update, nowMs)).length;
  }

  /**
   * Clears the keys of a request that a target answered.
   *
   * @param keys Keys of the request.
   * @param nowMs The local time.
   */
  served(keys: CrashKeys, nowMs: number): void {
    for (const key of listKeys(keys)) {
      const known = this.#records.get(key);
      if (known !== undefined) {
        const isSuspect = this.#findCauses().has(key);
        this.#put({
          ...known,
          ...endsSince(known.ended, nowMs),
          servedAtMs: nowMs,
          clearedAtMs: isSuspect ? nowMs : known.clearedAtMs,
        });
      }
    }
  }

  /**
   * @param keys Keys of a request; undefined if there are none.
   * @returns Whether the request must run as a trial.
   */
  isSuspect(keys: CrashKeys | undefined): boolean {
    return this.hasSuspects && this.suspectKeysOf(keys).length > 0;
  }

  /**
   * @param keys Keys of a request; undefined if there are none.
   * @returns Those of the keys that are suspect.
   */
  suspectKeysOf(keys: CrashKeys | undefined): string[] {
    const causes = this.#findCauses();
    return causes.size === 0
      ? []
      : listKeys(keys).filter((key) => causes.has(key));
  }

  /**
   * @param keys Keys of a request; undefined if there are none.
   * @param nowMs The local time.
   * @returns Remaining quarantine of the request in milliseconds; 0 if none.
   */
  quarantineLeftMs(keys: CrashKeys | undefined, nowMs: number): number {
    if (!this.hasSuspects) {
      return 0;
    }
    const all = new Set(listKeys(keys));
    const leftMs = this.suspectKeysOf(keys)
      .map((key) => this.#findCauses().get(key)!)
      .filter(({ requiredKeys }) => requiredKeys.every((key) => all.has(key)))
      .map((cause) => cause.lastEndedAtMs + quarantineMs(cause) - nowMs);
    return Math.max(0, ...leftMs);
  }

  /**
   * @param keys Keys of a request.
   * @returns Number of targets that ended under one of the keys since its last
   * answer; that of the key with the most.
   */
  endedCount(keys: CrashKeys): number {
    return Math.max(
      0,
      ...listKeys(keys).map((key) => this.#records.get(key)?.ended.size ?? 0),
    );
  }

  /**
   * Returns suspects for other instances, and suspects that were cleared
   * recently. If there are too many, those that failed a trial take precedence,
   * then the newest.
   *
   * @param nowMs The local time.
   * @returns The suspects to send.
   */
  updatesToSend(nowMs: number): SuspectUpdate[] {
    return this.#newestUpdates(nowMs, MAX_UPDATES_SENT);
  }

  /**
   * Returns suspects for the fleet's record in the store, selected as those for
   * other instances.
   *
   * @param nowMs The local time.
   * @returns The suspects to record.
   */
  updatesToStore(nowMs: number): SuspectUpdate[] {
    return this.#newestUpdates(nowMs, MAX_UPDATES_STORED);
  }

  #newestUpdates(nowMs: number, maxCount: number): SuspectUpdate[] {
    const sent = new Set(
      [...this.#findCauses().values()].flatMap(({ key, requiredKeys }) => [
        key,
        ...requiredKeys,
      ]),
    );
    const records = [...this.#records.values()].filter(({ key, clearedAtMs }) =>
      sent.has(key) || nowMs - clearedAtMs <= REPEAT_MS
    );
    const withoutFailedTrial = records.filter((record) =>
      !hasFailedTrial(record)
    );
    return [...withoutFailedTrial, ...records.filter(hasFailedTrial)]
      .slice(-maxCount).map((record) => updateOf(record, nowMs));
  }

  /**
   * Returns keys under which targets ended recently, suspect or not. They are
   * repeated as an earlier message to the coordinator may have been lost.
   *
   * @param nowMs The local time.
   * @returns The newest of these keys.
   */
  recentUpdates(nowMs: number): SuspectUpdate[] {
    return [...this.#records.values()]
      .filter(({ ended, lastEndedAtMs }) =>
        ended.size > 0 && nowMs - lastEndedAtMs <= REPEAT_MS
      )
      .slice(-MAX_UPDATES_SENT).map((record) => updateOf(record, nowMs));
  }

  /**
   * Removes keys under which no target ended for the retention time.
   *
   * @param nowMs The local time.
   */
  evictExpired(nowMs: number): void {
    if (nowMs - this.#evictedAtMs < EVICTION_INTERVAL_MS) {
      return;
    }
    this.#evictedAtMs = nowMs;
    for (const record of [...this.#records.values()]) {
      const retentionMs = hasFailedTrial(record)
        ? FAILED_TRIAL_RETENTION_MS
        : RETENTION_MS;
      if (nowMs - record.lastEndedAtMs > retentionMs) {
        this.#remove(record.key);
      }
    }
  }

  #mergeOne(update: SuspectUpdate, nowMs: number): boolean {
    const { fingerprint, ended, endedInTrial, ageMs, servedAgeMs } = update;
    const known = this.#records.get(fingerprint);
    if (known === undefined && ended.length === 0) {
      return false;
    }
    const atMs = nowMs - ageMs;
    const servedAtMs = Math.max(
      known?.servedAtMs ?? -Infinity,
      servedAgeMs === undefined ? -Infinity : nowMs - servedAgeMs,
    );
    const all = new Map(known?.ended);
    for (const process of ended) {
      const before = all.get(process);
      all.set(process, {
        atMs: Math.min(before?.atMs ?? Infinity, atMs),
        inTrial: before?.inTrial === true || endedInTrial.includes(process),
      });
    }
    const merged = endsSince(all, servedAtMs);
    const hasGrown = [...merged.ended].some(([process, { inTrial }]) =>
      inTrial !== known?.ended.get(process)?.inTrial
    );
    const isCleared = merged.ended.size < (known?.ended.size ?? 0);
    if (hasGrown || isCleared) {
      this.#put({
        key: fingerprint,
        ...merged,
        servedAtMs,
        lastEndedAtMs: Math.max(known?.lastEndedAtMs ?? -Infinity, atMs),
        clearedAtMs: known?.clearedAtMs ?? -Infinity,
      });
    }
    if (hasGrown) {
      this.#lastEndedAtMs = Math.max(this.#lastEndedAtMs, atMs);
    }
    return hasGrown;
  }

  #put(record: KeyRecord): void {
    this.#records.delete(record.key);
    this.#records.set(record.key, record);
    this.#causes = undefined;
    if (this.#records.size > MAX_KEYS) {
      const records = [...this.#records.values()];
      const evicted = records.find((each) => !hasFailedTrial(each));
      this.#remove((evicted ?? records[0]!).key);
    }
  }

  #remove(key: string): void {
    this.#records.delete(key);
    this.#causes = undefined;
  }

  #findCauses(): ReadonlyMap<string, CrashCause> {
    if (this.#causes === undefined) {
      this.#causes = findCrashCauses([...this.#records.values()]);
      const description = describeCauses(this.#causes);
      this.#version += Number(description !== this.#versionedCauses);
      this.#versionedCauses = description;
    }
    return this.#causes;
  }
}

function describeCauses(causes: ReadonlyMap<string, CrashCause>): string {
  return JSON.stringify([...causes.values()]);
}

function listKeys({ fingerprint, promptParts = [] }: CrashKeys = {}): string[] {
  return fingerprint === undefined
    ? [...promptParts]
    : [fingerprint, ...promptParts];
}

/** Ends after a time; the newest ones if there are too many. */
function endsSince(
  ended: ReadonlyMap<string, CrashEnd>,
  afterMs: number,
): { ended: ReadonlyMap<string, CrashEnd> } {
  const later = [...ended].filter(([, { atMs }]) => atMs > afterMs);
  return { ended: new Map(later.slice(-MAX_ENDED_TARGETS)) };
}

function hasFailedTrial({ ended }: CrashRecord): boolean {
  return [...ended.values()].some(({ inTrial }) => inTrial);
}

function quarantineMs({ failedTrials, wasServed }: CrashCause): number {
  const tolerated = wasServed ? TOLERATED_TRIALS_IF_SERVED : 0;
  const counted = Math.min(failedTrials - tolerated, QUARANTINE_MS.length);
  return counted > 0 ? QUARANTINE_MS[counted - 1]! : 0;
}

function updateOf(record: KeyRecord, nowMs: number): SuspectUpdate {
  const { key, ended, lastEndedAtMs, servedAtMs } = record;
  const processes = [...ended.keys()].slice(-MAX_ENDED_SENT);
  return {
    fingerprint: key,
    ended: processes,
    endedInTrial: processes.filter((process) => ended.get(process)!.inTrial),
    ageMs: nowMs - lastEndedAtMs,
    ...(servedAtMs > -Infinity
      ? { servedAgeMs: nowMs - servedAtMs }
      : undefined),
  };
}
