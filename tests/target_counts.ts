/** Counts of stand-in targets, which show what was sent and ran. */

import { getJson } from "./fleet_http.ts";

type CountByName = Readonly<Record<string, number>>;

/** Counts of one stand-in, as it sends them. */
interface StandinCounts {
  readonly dispatchesByRequestId: CountByName;
  readonly runsByRequestId: CountByName;
  readonly runsByKey: CountByName;
  /** Number of streams that an engine cancelled; absent for services. */
  readonly cancelled?: number;
}

/** Counts of several targets, as read at one time. */
export class TargetCounts {
  readonly #byTarget: ReadonlyMap<string, StandinCounts>;

  private constructor(byTarget: ReadonlyMap<string, StandinCounts>) {
    this.#byTarget = byTarget;
  }

  /**
   * Reads the counts of all targets.
   *
   * @param addresses Address of each target, by id.
   * @returns The counts.
   */
  static async read(
    addresses: ReadonlyMap<string, string>,
  ): Promise<TargetCounts> {
    const byTarget = new Map<string, StandinCounts>();
    for (const [id, address] of addresses) {
      byTarget.set(id, await getJson(address, "/standin/counts"));
    }
    return new TargetCounts(byTarget);
  }

  /** Number of requests sent to each target, by target id. */
  get dispatchesByTarget(): Record<string, number> {
    return Object.fromEntries(
      [...this.#byTarget].map(([id, counts]) => [
        id,
        sumCounts(counts.dispatchesByRequestId),
      ]),
    );
  }

  /** Number of streams that were cancelled on all targets. */
  get cancelled(): number {
    return this.#sum((counts) => counts.cancelled ?? 0);
  }

  /** Number of requests sent to all targets; repetitions count each time. */
  get dispatches(): number {
    return this.#sum((counts) => sumCounts(counts.dispatchesByRequestId));
  }

  /** Highest number of times that one request was sent, over all targets. */
  get maxDispatchesPerRequest(): number {
    const sums = new Map<string, number>();
    for (const { dispatchesByRequestId } of this.#byTarget.values()) {
      for (const [id, count] of Object.entries(dispatchesByRequestId)) {
        sums.set(id, (sums.get(id) ?? 0) + count);
      }
    }
    return Math.max(0, ...sums.values());
  }

  /**
   * Counts how often a request was sent.
   *
   * @param requestId Id of the request.
   * @returns Number of times, over all targets.
   */
  dispatchesOf(requestId: string): number {
    return this.#sum((counts) => counts.dispatchesByRequestId[requestId] ?? 0);
  }

  /**
   * Counts the runs of requests with an idempotency key.
   *
   * @param key The idempotency key.
   * @returns Number of runs that began, over all targets.
   */
  runsOfKey(key: string | undefined): number {
    return this.#sum((counts) => counts.runsByKey[key ?? ""] ?? 0);
  }

  #sum(count: (counts: StandinCounts) => number): number {
    return [...this.#byTarget.values()]
      .reduce((sum, counts) => sum + count(counts), 0);
  }
}

function sumCounts(counts: CountByName): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}
