/**
 * Tracks for which time an instance knows all software versions that targets
 * had. Only then may it conclude which version began a stream: an instance that
 * has just started, or that was cut off, knows fewer versions than there were.
 */

/**
 * Longest time for which new streams wait until the fleet has recorded a version
 * of their pool. Streams of a version that is not recorded cannot be told from
 * those of others after a loss of all instances.
 */
const MAX_RECORD_WAIT_MS = 500;

/** A version of a pool, and since when this instance knows it. */
export interface KnownVersion {
  readonly version: string;
  readonly sinceMs: number;
}

/** For which time the versions of each pool are known completely. */
export class VersionCoverage {
  /** Since when this instance has followed the list of targets itself. */
  #followedSinceMs = Infinity;
  /** Since when the fleet's record has the versions of each pool. */
  readonly #recordedSinceMs = new Map<string, number>();
  readonly #recordedVersions = new Map<string, Set<string>>();
  #hasNoRecords = false;
  #confirmedAtMs = -Infinity;

  /** Local time up to which no version is missing that targets have. */
  get confirmedAtMs(): number {
    return this.#confirmedAtMs;
  }

  /**
   * Records that this instance has the list of targets as of a time.
   *
   * @param asOfMs Local time at which the list was that of the platform.
   */
  confirmed(asOfMs: number): void {
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, asOfMs);
  }

  /**
   * Records that this instance read the whole list of targets, and follows its
   * changes from then on. Changes before that may have been missed, so that the
   * fleet's record has to be read again.
   *
   * @param nowMs The local time.
   */
  followedFrom(nowMs: number): void {
    if (this.#followedSinceMs !== Infinity) {
      this.#recordedSinceMs.clear();
      this.#hasNoRecords = false;
    }
    this.#followedSinceMs = nowMs;
  }

  /** Records that no instance has recorded anything, so that none has served. */
  noRecords(): void {
    this.#hasNoRecords = true;
  }

  /**
   * Records that the fleet's record has the versions of a pool.
   *
   * @param pool Name of the pool.
   * @param sinceMs Local time since which it has all of them.
   */
  recorded(pool: string, sinceMs: number): void {
    this.#recordedSinceMs.set(pool, Math.min(sinceMs, this.sinceMs(pool)));
  }

  /**
   * Records which versions are in the fleet's record.
   *
   * @param groups Pools and their versions, all that the record has.
   */
  versionsRecorded(
    groups: readonly { readonly pool: string; readonly version: string }[],
  ): void {
    this.#recordedVersions.clear();
    for (const { pool, version } of groups) {
      const versions = this.#recordedVersions.get(pool) ?? new Set();
      this.#recordedVersions.set(pool, versions.add(version));
    }
  }

  /**
   * @param pool Name of a pool.
   * @returns Local time since which all of its versions are known.
   */
  sinceMs(pool: string): number {
    const recordedMs = this.#recordedSinceMs.get(pool) ??
      (this.#hasNoRecords ? -Infinity : Infinity);
    return Math.min(this.#followedSinceMs, recordedMs);
  }

  /**
   * Checks whether new streams of a pool have to wait until its versions are
   * recorded.
   *
   * @param pool Name of the pool.
   * @param versions Versions of its targets.
   * @param nowMs The local time.
   * @returns Whether a version became known recently, and is not recorded.
   */
  awaitsRecord(
    pool: string,
    versions: readonly KnownVersion[],
    nowMs: number,
  ): boolean {
    const recorded = this.#recordedVersions.get(pool);
    return versions.some(({ version, sinceMs }) =>
      recorded?.has(version) !== true && nowMs - sinceMs < MAX_RECORD_WAIT_MS
    );
  }
}
