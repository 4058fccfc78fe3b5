/** Keeps calls under a rate, with a bound on how many wait. */

import PQueue from "p-queue";

/** A rate and how long a call may wait for its turn. */
export interface CallRate {
  readonly callsPerSecond: number;
  readonly maxWaitMs: number;
  readonly concurrency: number;
}

const MS_PER_SECOND = 1000;
const INTERVAL_MS = 100;

/** A rate-limited queue in front of the platform. */
export class CallGate {
  readonly #queue: PQueue;
  readonly #maxWaiting: number;

  /** @param rate The share of the platform's rate that is ours. */
  constructor(rate: CallRate) {
    const callsPerInterval = rate.callsPerSecond * INTERVAL_MS / MS_PER_SECOND;
    this.#maxWaiting = Math.ceil(
      rate.callsPerSecond * rate.maxWaitMs / MS_PER_SECOND,
    );
    this.#queue = new PQueue({
      concurrency: rate.concurrency,
      intervalCap: Math.max(1, Math.floor(callsPerInterval)),
      interval: Math.max(INTERVAL_MS, INTERVAL_MS / callsPerInterval),
    });
  }

  /** @returns How many calls wait for their turn. */
  get waiting(): number {
    return this.#queue.size;
  }

  /**
   * Runs a call at its turn.
   *
   * @param call The call.
   * @returns Its result, or nothing when too many wait already.
   */
  run<T>(call: () => Promise<T>): Promise<T | undefined> {
    if (this.#queue.size >= this.#maxWaiting) {
      return Promise.resolve(undefined);
    }
    return this.#queue.add(call);
  }
}
