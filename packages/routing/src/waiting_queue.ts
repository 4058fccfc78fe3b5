/**
 * Queue of one pool: the requests that wait for a target, with their sort keys.
 */

import type { OnTimeQueue } from "./backlog.ts";
import { PredictionMargin } from "./prediction_margin.ts";
import {
  firstInOrder,
  inOrder,
  isLate,
  isOverShare,
  type KeyedWork,
  type OrderContext,
  orderKeyOf,
  type WaitingWork,
} from "./queue_order.ts";
import { type Candidate, firstMsAt, IDLE_USE } from "./target_choice.ts";
import type { WorkAsk } from "./work_ask.ts";

/**
 * Length above which a queue is reordered only at intervals, as the cost of a
 * reorder is proportional to the length. In between, only free slots are
 * filled.
 */
const LONG_QUEUE_LENGTH = 32;
const MIN_REORDER_INTERVAL_MS = 10;

/** Interval between two reorders for each queued request. */
const REORDER_MS_PER_REQUEST = 0.25;

/** Queued requests by ask. */
export class WaitingQueue {
  readonly #byAsk = new Map<string, KeyedWork>();
  readonly #margin = new PredictionMargin();
  readonly #onChange: (ask: WorkAsk, change: 1 | -1) => void;
  #reorderedAtMs = -Infinity;
  /** Idle target with the pool's mean latency model at the last reorder. */
  #typical?: Candidate;

  /**
   * @param onChange Called when an ask entered the queue, with 1, or left it,
   * with -1.
   */
  constructor(onChange: (ask: WorkAsk, change: 1 | -1) => void = () => {}) {
    this.#onChange = onChange;
  }

  /** Number of queued requests. */
  get size(): number {
    return this.#byAsk.size;
  }

  /**
   * @param askId Id of an ask.
   * @returns Whether it is queued.
   */
  has(askId: string): boolean {
    return this.#byAsk.has(askId);
  }

  /**
   * Adds a request, or recomputes the sort key of a queued one.
   *
   * @param work The request.
   * @returns The request with its sort key.
   */
  add(work: WaitingWork): KeyedWork {
    const { ask } = work;
    const isNew = !this.#byAsk.has(ask.askId);
    const keyed = this.#keyed(work);
    this.#byAsk.set(ask.askId, keyed);
    if (isNew) {
      this.#onChange(ask, 1);
    }
    return keyed;
  }

  /**
   * Returns the whole queue in the order of the sort keys of the last reorder.
   *
   * @param context What the order depends on besides the requests.
   * @returns All requests with their sort keys, the next one first.
   */
  inOrder(context: OrderContext): KeyedWork[] {
    return inOrder(this.#byAsk.values(), context);
  }

  /**
   * Removes a request, if it is queued.
   *
   * @param askId Id of its ask.
   */
  remove(askId: string): void {
    const keyed = this.#byAsk.get(askId);
    if (keyed !== undefined) {
      this.#byAsk.delete(askId);
      this.#onChange(keyed.work.ask, -1);
    }
  }

  /**
   * Finds the queued asks of a holder.
   *
   * @param holderId Id of the holder.
   * @param beforeMs Local time in milliseconds; asks queued at this time or
   * later are left out.
   * @returns Ids of the asks.
   */
  askIdsOf(holderId: string, beforeMs: number): string[] {
    return [...this.#byAsk.values()]
      .filter(({ work }) =>
        work.ask.holderId === holderId && work.waitingSinceMs < beforeMs
      )
      .map(({ work }) => work.ask.askId);
  }

  /**
   * @param nowMs Current local time in milliseconds.
   * @returns Whether the whole queue should be reordered now.
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
   * Recomputes all sort keys and returns the whole queue in order.
   *
   * @param typical Idle target with the pool's mean latency model; absent where
   * the pool has no targets.
   * @param context What the order depends on besides the requests.
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
   * Finds the next request by the sort keys of the last reorder.
   *
   * @param context What the order depends on besides the requests.
   * @param skipped Ids of asks to leave out.
   * @returns The next request; undefined where there is none.
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
   * Finds the on-time requests of an ask's rank whose workspaces are within
   * their shares, or those whose workspaces are over them, as that of the ask.
   * It goes by the sort keys of the last reorder.
   *
   * @param ask The ask.
   * @param context What the order depends on besides the requests.
   * @returns Their number, and the one that has waited longest.
   */
  onTime(ask: WorkAsk, context: OrderContext): OnTimeQueue {
    const isOver = isOverShare(ask, context);
    let count = 0;
    let longest: WaitingWork | undefined;
    for (const keyed of this.#byAsk.values()) {
      const { work } = keyed;
      const isAlike = work.ask.rank === ask.rank &&
        isOverShare(work.ask, context) === isOver;
      if (!isAlike || isLate(keyed, context.nowMs)) {
        continue;
      }
      count++;
      const isLonger = longest === undefined ||
        work.waitingSinceMs < longest.waitingSinceMs;
      longest = isLonger ? work : longest;
    }
    return { count, longest };
  }

  /**
   * Adapts the prediction margin to an observed latency.
   *
   * @param promptTokens Tokens of the request's prompt.
   * @param firstMs Time to the first event, or to the answer of a plain call.
   */
  recordFirstEvent(promptTokens: number, firstMs: number): void {
    if (this.#typical !== undefined) {
      const predictedMs = firstMsAt(this.#typical, { promptTokens }, IDLE_USE);
      this.#margin.record(firstMs, predictedMs);
    }
  }

  #keyed(work: WaitingWork): KeyedWork {
    const typical = this.#typical;
    const marginRatio = this.#margin.ratio;
    return { work, key: orderKeyOf(work, { typical, marginRatio }) };
  }
}
