/** The queues in which dispatches wait to be sent, one for each pool. */

import PQueue from "p-queue";
import { RankedQueue, type RankOptions } from "./ranked_queue.ts";

/** Bounds of each queue. */
export interface SendQueueLimits {
  /** Dispatches of one pool that are being connected and sent at a time. */
  readonly concurrentSends: number;
  /** Dispatches of one pool that wait for their turn. */
  readonly maxQueuedSends: number;
}

type SendQueue = PQueue<RankedQueue, RankOptions>;

/** Sends the dispatches of each pool by rank. */
export class SendQueues {
  readonly #limits: SendQueueLimits;
  readonly #byPool = new Map<string, SendQueue>();

  /** @param limits Bounds of each queue. */
  constructor(limits: SendQueueLimits) {
    this.#limits = limits;
  }

  /**
   * @param pool The pool.
   * @returns Whether no more dispatches may wait.
   */
  isFull(pool: string): boolean {
    return this.#queueOf(pool).size >= this.#limits.maxQueuedSends;
  }

  /**
   * Adds a dispatch.
   *
   * @param send Sends it; the turn ends when its promise settles.
   * @param options Its pool, and what it is ranked by.
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
        concurrency: this.#limits.concurrentSends,
        queueClass: RankedQueue,
      });
      this.#byPool.set(pool, queue);
    }
    return queue;
  }
}
