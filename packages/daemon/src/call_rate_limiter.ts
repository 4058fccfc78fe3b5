/** A rate limiter for calls, with a bounded queue. */

import PQueue from "p-queue";

/** Limits of a {@link CallRateLimiter}. */
export interface CallRateLimits {
  /** Rate at which calls are started. */
  readonly callsPerSecond: number;
  /** Longest queueing time at this rate; sets the maximum queue length. */
  readonly maxWaitMs: number;
  /** Maximum number of calls in progress at a time. */
  readonly maxConcurrentCalls: number;
}

const MS_PER_SECOND = 1000;
const RATE_INTERVAL_MS = 100;

/** Starts calls at a limited rate; refuses calls while its queue is full. */
export class CallRateLimiter {
  readonly #queue: PQueue;
  readonly #maxQueuedCalls: number;

  /** @param limits Rate, queueing time and concurrency of the calls. */
  constructor(limits: CallRateLimits) {
    const callsPerInterval = limits.callsPerSecond * RATE_INTERVAL_MS /
      MS_PER_SECOND;
    this.#maxQueuedCalls = Math.ceil(
      limits.callsPerSecond * limits.maxWaitMs / MS_PER_SECOND,
    );
    this.#queue = new PQueue({
      concurrency: limits.maxConcurrentCalls,
      intervalCap: Math.max(1, Math.floor(callsPerInterval)),
      interval: Math.max(RATE_INTERVAL_MS, RATE_INTERVAL_MS / callsPerInterval),
    });
  }

  /** Number of queued calls. */
  get queuedCalls(): number {
    return this.#queue.size;
  }

  /**
   * Queues a call and runs it when the rate allows.
   *
   * @param call Starts the call.
   * @returns Result of the call, or `undefined` if the queue is full.
   */
  run<T>(call: () => Promise<T>): Promise<T | undefined> {
    if (this.#queue.size >= this.#maxQueuedCalls) {
      return Promise.resolve(undefined);
    }
    return this.#queue.add(call);
  }
}
