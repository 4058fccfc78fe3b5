/**
 * Share of each rank's recent requests that was served, to detect starvation of
 * a low rank under a surge of higher ranks.
 */

/** Half-life of the exponentially decayed counts. */
const HALF_LIFE_MS = 3000;

/**
 * A rank is starved while its served share is below this ratio of the lowest
 * served share above it. Operators require at least a quarter of the share of
 * all requests.
 */
const MIN_SERVED_RATIO = 0.35;

/**
 * Ratio that applies to a rank of short work instead, relative to the highest
 * served share above it: such work takes hardly any time from the ranks above,
 * so it should be served as often as the best served of them, but not more.
 */
const MIN_SERVED_RATIO_SHORT = 0.95;

/**
 * Work counts as short if its mean duration is below this ratio of the longest
 * mean duration of a rank above.
 */
const SHORT_WORK_RATIO = 0.4;

/**
 * Weight of one observation in the moving average of a rank's work duration.
 */
const DURATION_SMOOTHING_FACTOR = 0.05;

/**
 * Minimum number of requests of a rank below which its share is not
 * significant.
 */
const MIN_REQUESTS = 3;

interface Counts {
  served: number;
  refused: number;
  atMs: number;
  /** Mean time that the rank's work occupies a slot; 0 until some has ended. */
  workMs: number;
}

/** Served shares and work durations by rank. */
export class RankShares {
  readonly #byRank = new Map<number, Counts>();

  /**
   * Records whether a request was placed or refused.
   *
   * @param rank Rank of the request; 0 is the highest.
   * @param isServed True if it was placed, false if it was refused.
   * @param nowMs Current local time in milliseconds.
   */
  recordOutcome(rank: number, isServed: boolean, nowMs: number): void {
    const counts = this.#decayed(rank, nowMs);
    if (isServed) {
      counts.served++;
    } else {
      counts.refused++;
    }
  }

  /**
   * Records requests that holders refused by themselves.
   *
   * @param rank Rank of the requests.
   * @param count Number of the requests.
   * @param nowMs Current local time in milliseconds.
   */
  recordRefusals(rank: number, count: number, nowMs: number): void {
    this.#decayed(rank, nowMs).refused += count;
  }

  /**
   * Records the duration of work at its target.
   *
   * @param rank Rank of the work.
   * @param durationMs Time that it occupied a slot.
   * @param nowMs Current local time in milliseconds.
   */
  recordDuration(rank: number, durationMs: number, nowMs: number): void {
    const counts = this.#decayed(rank, nowMs);
    counts.workMs = counts.workMs === 0 ? durationMs : counts.workMs +
      DURATION_SMOOTHING_FACTOR * (durationMs - counts.workMs);
  }

  /**
   * @param rank A rank.
   * @returns Mean time in milliseconds that its work occupies a slot; undefined
   * until some has ended.
   */
  workMs(rank: number): number | undefined {
    return this.#byRank.get(rank)?.workMs || undefined;
  }

  /**
   * Finds the ranks that are served too rarely compared with the ranks above
   * them.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns Ranks whose requests should be served first.
   */
  starved(nowMs: number): ReadonlySet<number> {
    const starved = new Set<number>();
    let minShareAbove = Infinity;
    let maxShareAbove = 0;
    let maxWorkAboveMs = 0;
    for (const rank of [...this.#byRank.keys()].sort((a, b) => a - b)) {
      const { served, refused, workMs } = this.#decayed(rank, nowMs);
      const total = served + refused;
      if (total < MIN_REQUESTS) {
        continue;
      }
      const share = served / total;
      const isShort = workMs < SHORT_WORK_RATIO * maxWorkAboveMs;
      const requiredShare = isShort
        ? MIN_SERVED_RATIO_SHORT * maxShareAbove
        : MIN_SERVED_RATIO * minShareAbove;
      if (minShareAbove !== Infinity && share < requiredShare) {
        starved.add(rank);
      }
      maxShareAbove = Math.max(maxShareAbove, share);
      maxWorkAboveMs = Math.max(maxWorkAboveMs, workMs);
      minShareAbove = Math.min(minShareAbove, share);
    }
    return starved;
  }

  #decayed(rank: number, nowMs: number): Counts {
    let counts = this.#byRank.get(rank);
    if (counts === undefined) {
      counts = { served: 0, refused: 0, atMs: nowMs, workMs: 0 };
      this.#byRank.set(rank, counts);
    }
    const factor = 0.5 ** ((nowMs - counts.atMs) / HALF_LIFE_MS);
    counts.served *= factor;
    counts.refused *= factor;
    counts.atMs = nowMs;
    return counts;
  }
}
