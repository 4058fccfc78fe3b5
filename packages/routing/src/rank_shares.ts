/**
 * How large a share of each rank's requests was served lately, so that a surge
 * of higher ranks does not shut a lower one out altogether.
 */

/** Time in which what was counted fades to half. */
const HALF_LIFE_MS = 3000;

/**
 * A rank whose served share is below this part of the least served higher
 * rank's goes first. Operators require at least a quarter of what all requests
 * get; short requests of low rank take little from the others.
 */
const LEAST_PART = 0.6;

/** Counts below this are chance. */
const FEW = 3;

interface Counts {
  served: number;
  refused: number;
  atMs: number;
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
  note(rank: number, isServed: boolean, nowMs: number): void {
    const counts = this.#faded(rank, nowMs);
    if (isServed) {
      counts.served++;
    } else {
      counts.refused++;
    }
  }

  /**
   * Finds ranks that get too little beside the ranks above them.
   *
   * @param nowMs The local time.
   * @returns Ranks whose requests go first for now.
   */
  neglected(nowMs: number): ReadonlySet<number> {
    const neglected = new Set<number>();
    let leastAbove = Infinity;
    for (const rank of [...this.#byRank.keys()].sort((a, b) => a - b)) {
      const { served, refused } = this.#faded(rank, nowMs);
      const total = served + refused;
      if (total < FEW) {
        continue;
      }
      const share = served / total;
      if (leastAbove !== Infinity && share < LEAST_PART * leastAbove) {
        neglected.add(rank);
      }
      leastAbove = Math.min(leastAbove, share);
    }
    return neglected;
  }

  #faded(rank: number, nowMs: number): Counts {
    let counts = this.#byRank.get(rank);
    if (counts === undefined) {
      counts = { served: 0, refused: 0, atMs: nowMs };
      this.#byRank.set(rank, counts);
    }
    const factor = 0.5 ** ((nowMs - counts.atMs) / HALF_LIFE_MS);
    counts.served *= factor;
    counts.refused *= factor;
    counts.atMs = nowMs;
    return counts;
  }
}
