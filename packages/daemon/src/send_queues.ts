/** Queues of dispatches that wait to be sent, one for each pool. */

import PQueue from "p-queue";
import { RankedQueue, type RankOptions } from "./ranked_queue.ts";

/** Limits of the queue of each pool. */
export interface SendQueueLimits {
  /** Dispatches of one pool that may be connecting or sending at a time. */
  readonly maxConcurrentSends: number;
  /** Dispatches of one pool that may be queued. */
  readonly maxQueuedSends: number;
}

type SendQueue = PQueue<RankedQueue, RankOptions>;

/** Sends the queued dispatches of each pool in order of rank. */
export class SendQueues {
  readonly #limits: SendQueueLimits;
  readonly #byPool = new Map<string, SendQueue>();

  /** @param limits Limits of the queue of each pool. */
  constructor(limits: SendQueueLimits) {
    this.#limits = limits;
  }

  /**
   * Checks whether the queue of a pool is full.
   *
   * @param pool Name of the pool.
   * @returns Whether no further dispatch may be queued.
   */
  isFull(pool: string): boolean {
    return this.#queueOf(pool).size >= this.#limits.maxQueuedSends;
  }

  /**
   * Queues a dispatch.
   *
   * @param send Sends the dispatch; its slot is freed when the promise settles.
   * @param options Pool of the dispatch, and the values that it is ranked by.
   */
  add(
    send: () => Promise<void>,
    { pool, ...rank }: RankOptions & { readonly pool: string },
  ): void {
    void this.#queueOf(pool).add(send, rank);
  }

  #queueOf(pool: string): SendQueue {
    let queue = this.#byPool.get(pool);
    if (queue === undefined) {
      queue = new PQueue<RankedQueue, RankOptions>({
        concurrency: this.#limits.maxConcurrentSends,
        queueClass: RankedQueue,
      });
      this.#byPool.set(pool, queue);
    }
    return queue;
  }
}
