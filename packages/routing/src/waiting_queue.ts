/**
 * The requests of one pool that wait for a target, with what decides on their
 * order.
 */

import { FirstEventMargin } from "./first_event_margin.ts";
import {
  firstInOrder,
  inOrder,
  type KeyedWork,
  type OrderContext,
  orderKeyOf,
  type WaitingWork,
} from "./queue_order.ts";
import { type Candidate, firstMsAt, IDLE_USE } from "./target_choice.ts";

/**
 * A queue longer than this is looked at as a whole only every so often: a look
 * costs time in proportion to its length. In between, only free slots are given
 * away.
 */
const LONG_QUEUE_LENGTH = 32;
const MIN_REORDER_INTERVAL_MS = 10;

/** Time between two looks for each request that waits. */
const REORDER_MS_PER_REQUEST = 0.25;

/** Waiting requests by ask. */
export class WaitingQueue {
  readonly #byAsk = new Map<string, KeyedWork>();
  readonly #margin = new FirstEventMargin();
  #reorderedAtMs = -Infinity;
  /** An idle target of their mean pace, as of the last look. */
  #typical?: Candidate;

  /** Number of requests. */
  get size(): number {
    return this.#byAsk.size;
  }

  /**
   * @param askId An ask.
   * @returns Whether it waits here.
   */
  has(askId: string): boolean {
    return this.#byAsk.has(askId);
  }

  /** @param work A request that begins to wait. */
  add(work: WaitingWork): void {
    this.#byAsk.set(work.ask.askId, this.#keyed(work));
  }

  /** @param askId An ask that no longer waits. */
  remove(askId: string): void {
    this.#byAsk.delete(askId);
  }

  /**
   * @param holderId A holder.
   * @param beforeMs Only requests that began to wait before this.
   * @returns Ids of its asks.
   */
  askIdsOf(holderId: string, beforeMs: number): string[] {
    return [...this.#byAsk.values()]
      .filter(({ work }) =>
        work.ask.holderId === holderId && work.waitingSinceMs < beforeMs
      )
      .map(({ work }) => work.ask.askId);
  }

  /**
   * @param nowMs The local time.
   * @returns Whether it is time to look at the queue as a whole.
   */
  isReorderDue(nowMs: number): boolean {
    const intervalMs = Math.max(
      MIN_REORDER_INTERVAL_MS,
      REORDER_MS_PER_REQUEST * this.size,
    );
    return this.size <= LONG_QUEUE_LENGTH ||
      nowMs - this.#reorderedAtMs >= intervalMs;
  }

  /**
   * Looks at the queue as a whole.
   *
   * @param typical An idle target of the mean pace; absent where there is none.
   * @param context What else decides on the order.
   * @returns All requests, the next one first.
   */
  reorder(
    typical: Candidate | undefined,
    context: OrderContext,
  ): WaitingWork[] {
    this.#reorderedAtMs = context.nowMs;
    this.#typical = typical;
    for (const { work } of this.#byAsk.values()) {
      this.add(work);
    }
    return inOrder(this.#byAsk.values(), context).map(({ work }) => work);
  }

  /**
   * @param context What else decides on the order.
   * @param skipped Asks that are passed by.
   * @returns The one that is next, by the paces of the last look.
   */
  next(
    context: OrderContext,
    skipped: ReadonlySet<string>,
  ): WaitingWork | undefined {
    const candidates = [...this.#byAsk.values()]
      .filter(({ work }) => !skipped.has(work.ask.askId));
    return firstInOrder(candidates, context)?.work;
  }

  /**
   * Learns from how long a first event, or the answer of a plain call, took.
   *
   * @param promptTokens Tokens of its prompt.
   * @param firstMs The time it took at its target.
   */
  recordFirstEvent(promptTokens: number, firstMs: number): void {
    if (this.#typical !== undefined) {
      const predictedMs = firstMsAt(this.#typical, { promptTokens }, IDLE_USE);
      this.#margin.learn(firstMs, predictedMs);
    }
  }

  #keyed(work: WaitingWork): KeyedWork {
    const typical = this.#typical;
    const marginRatio = this.#margin.ratio;
    return { work, key: orderKeyOf(work, { typical, marginRatio }) };
  }
}
