/**
 * How much of a pool the requests of each rank take up, by what comes in.
 *
 * A request of a low rank waits not only for what is before it, but also for
 * what will come before its turn. Where higher ranks alone fill a pool, its wait
 * is as long as their surge; told so at once, its caller comes back to a pool
 * that has room.
 */

/**
 * Times over which what comes in is averaged. The lower average counts: the
 * longer time tells a surge from some requests that come together, the shorter
 * one when the surge is over.
 */
const SHORT_AVERAGE_MS = 500;
const LONG_AVERAGE_MS = 3000;

/** What came in of one rank, in milliseconds of work, faded by age. */
interface Load {
  shortWorkMs: number;
  longWorkMs: number;
  atMs: number;
}

/** Slots that each rank's requests need. */
export class RankLoad {
  readonly #byRank = new Map<number, Load>();

  /**
   * Notes a request that came in.
   *
   * @param rank Its rank.
   * @param workMs Time that its work takes at a target.
   * @param nowMs The local time.
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
   * @param rank A rank.
   * @param nowMs The local time.
   * @returns Slots that requests of the ranks above it need, on average.
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
