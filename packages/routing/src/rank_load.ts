/**
 * Offered load of each rank of a pool: the slots that its arriving requests
 * need.
 *
 * A request of a low rank waits not only for those ahead of it, but also for
 * those of higher ranks that arrive before its turn. Where higher ranks alone
 * fill a pool, its wait lasts as long as their surge. If it is refused at once,
 * its caller retries when the pool has capacity again.
 */

/**
 * Time constants of two moving averages of the arriving work; the lower average
 * counts. The longer one distinguishes a surge from a short burst, the shorter
 * one reacts to the end of a surge.
 */
const SHORT_AVERAGE_MS = 500;
const LONG_AVERAGE_MS = 3000;

/** Arrived work of one rank in milliseconds, exponentially decayed by age. */
interface Load {
  shortWorkMs: number;
  longWorkMs: number;
  atMs: number;
}

/** Offered load by rank. */
export class RankLoad {
  readonly #byRank = new Map<number, Load>();

  /**
   * Records the arrival of requests of one rank.
   *
   * @param rank Rank of the requests; 0 is the highest.
   * @param workMs Time that their work occupies a slot, in total.
   * @param nowMs Current local time in milliseconds.
   */
  record(rank: number, workMs: number, nowMs: number): void {
    const { shortWorkMs, longWorkMs } = this.#decayed(rank, nowMs);
    this.#byRank.set(rank, {
      shortWorkMs: shortWorkMs + workMs,
      longWorkMs: longWorkMs + workMs,
      atMs: nowMs,
    });
  }

  /**
   * Returns the offered load of all ranks above a rank.
   *
   * @param rank The rank.
   * @param nowMs Current local time in milliseconds.
   * @returns Mean number of slots that their requests need.
   */
  slotsAbove(rank: number, nowMs: number): number {
    const above = [...this.#byRank.keys()].filter((other) => other < rank)
      .map((other) => this.#decayed(other, nowMs));
    const shortMs = above.reduce((sum, load) => sum + load.shortWorkMs, 0);
    const longMs = above.reduce((sum, load) => sum + load.longWorkMs, 0);
    return Math.min(shortMs / SHORT_AVERAGE_MS, longMs / LONG_AVERAGE_MS);
  }

  #decayed(rank: number, nowMs: number): Load {
    const load = this.#byRank.get(rank);
    if (load === undefined) {
      return { shortWorkMs: 0, longWorkMs: 0, atMs: nowMs };
    }
    const ageMs = nowMs - load.atMs;
    return {
      shortWorkMs: load.shortWorkMs * Math.exp(-ageMs / SHORT_AVERAGE_MS),
      longWorkMs: load.longWorkMs * Math.exp(-ageMs / LONG_AVERAGE_MS),
      atMs: nowMs,
    };
  }
}
