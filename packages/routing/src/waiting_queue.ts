/**
 * The requests of one pool that wait for a target, with what decides on their
 * order.
 */

import { LateMargin } from "./late_margin.ts";
import {
  inOrder,
  type KeyedWork,
  nextOf,
  type OrderFacts,
  orderKeyOf,
  type WaitingWork,
} from "./queue_order.ts";
import { type Candidate, firstMsAt, IDLE } from "./target_choice.ts";

/**
 * A queue longer than this is looked at as a whole only every so often: a look
 * costs time in proportion to its length. In between, only free slots are given
 * away.
 */
const LONG_QUEUE = 32;
const LOOK_MS = 10;

/** Time between two looks for each request that waits. */
const LOOK_MS_PER_WAITING = 0.25;

/** Waiting requests by ask. */
export class WaitingQueue {
  readonly #byAsk = new Map<string, KeyedWork>();
  readonly #margin = new LateMargin();
  #lookedAtMs = -Infinity;
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
        work.ask.holderId === holderId && work.sinceMs < beforeMs
      )
      .map(({ work }) => work.ask.askId);
  }

  /**
   * @param nowMs The local time.
   * @returns Whether it is time to look at the queue as a whole.
   */
  isDue(nowMs: number): boolean {
    const everyMs = Math.max(LOOK_MS, LOOK_MS_PER_WAITING * this.size);
    return this.size <= LONG_QUEUE || nowMs - this.#lookedAtMs >= everyMs;
  }

  /**
   * Looks at the queue as a whole.
   *
   * @param typical An idle target of the mean pace; absent where there is none.
   * @param facts What else decides on the order.
   * @returns All requests, the next one first.
   */
  lookAt(typical: Candidate | undefined, facts: OrderFacts): WaitingWork[] {
    this.#lookedAtMs = facts.nowMs;
    this.#typical = typical;
    for (const { work } of this.#byAsk.values()) {
      this.add(work);
    }
    return inOrder(this.#byAsk.values(), facts).map(({ work }) => work);
  }

  /**
   * @param facts What else decides on the order.
   * @param passed Asks that are passed by.
   * @returns The one that is next, by the paces of the last look.
   */
  next(
    facts: OrderFacts,
    passed: ReadonlySet<string>,
  ): WaitingWork | undefined {
    const left = [...this.#byAsk.values()]
      .filter(({ work }) => !passed.has(work.ask.askId));
    return nextOf(left, facts)?.work;
  }

  /**
   * Learns from how long a first event, or the answer of a plain call, took.
   *
   * @param promptTokens Tokens of its prompt.
   * @param firstMs The time it took at its target.
   */
  learnFirst(promptTokens: number, firstMs: number): void {
    if (this.#typical !== undefined) {
      const foreseenMs = firstMsAt(this.#typical, { promptTokens }, IDLE);
      this.#margin.learn(firstMs, foreseenMs);
    }
  }

  #keyed(work: WaitingWork): KeyedWork {
    const typical = this.#typical;
    const marginTimes = this.#margin.times;
    return { work, key: orderKeyOf(work, { typical, marginTimes }) };
  }
}
