/**
 * How large a share of each rank's requests was served lately, so that a surge
 * of higher ranks does not shut a lower one out altogether.
 */

/** Time in which what was counted fades to half. */
const HALF_LIFE_MS = 3000;

/**
 * A rank goes first while its served share is below this part of the least
 * served rank above it. Operators require at least a quarter of what all
 * requests get.
 */
const MIN_SERVED_RATIO = 0.35;

/**
 * The same for a rank of short work, which takes next to nothing from the ranks
 * above: it is to be served as often as the best served of them, but not more.
 */
const MIN_SERVED_RATIO_SHORT = 0.95;

/** Work is short if it takes this part of the time of the ranks above. */
const SHORT_WORK_RATIO = 0.4;

/** How much one observation moves the time that a rank's work takes. */
const DURATION_SMOOTHING_FACTOR = 0.05;

/** Counts below this are chance. */
const MIN_COUNT = 3;

interface Counts {
  served: number;
  refused: number;
  atMs: number;
  /** Time that its work takes at a target; 0 until some has ended. */
  workMs: number;
}

/** Served shares by rank. */
export class RankShares {
  readonly #byRank = new Map<number, Counts>();

  /**
   * Notes what became of a request.
   *
   * @param rank Its rank.
   * @param isServed Whether it got a place, or else was refused.
   * @param nowMs The local time.
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
   * Notes how long work took at its target.
   *
   * @param rank The work's rank.
   * @param durationMs The time it took.
   * @param nowMs The local time.
   */
  recordDuration(rank: number, durationMs: number, nowMs: number): void {
    const counts = this.#decayed(rank, nowMs);
    counts.workMs = counts.workMs === 0 ? durationMs : counts.workMs +
      DURATION_SMOOTHING_FACTOR * (durationMs - counts.workMs);
  }

  /**
   * @param rank A rank.
   * @returns Time that its work takes at a target; undefined until some ended.
   */
  workMs(rank: number): number | undefined {
    return this.#byRank.get(rank)?.workMs || undefined;
  }

  /**
   * Finds ranks that get too little beside the ranks above them.
   *
   * @param nowMs The local time.
   * @returns Ranks whose requests go first for now.
   */
  starved(nowMs: number): ReadonlySet<number> {
    const starved = new Set<number>();
    let minShareAbove = Infinity;
    let maxShareAbove = 0;
    let maxWorkAboveMs = 0;
    for (const rank of [...this.#byRank.keys()].sort((a, b) => a - b)) {
      const { served, refused, workMs } = this.#decayed(rank, nowMs);
      const total = served + refused;
      if (total < MIN_COUNT) {
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
