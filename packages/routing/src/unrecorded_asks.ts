/**
 * Asks whose workspace may spend more, but only once the platform's store has
 * confirmed a record that covers them.
 */

import type { WorkAsk } from "./work_ask.ts";

/**
 * Longest wait of an ask for the record: the store usually answers within
 * milliseconds, and within half of this while it is slow.
 */
const MAX_WAIT_MS = 400;

interface WaitingAsk {
  readonly ask: WorkAsk;
  readonly sinceMs: number;
}

/** Asks that wait for a record, in the order of their arrival. */
export class UnrecordedAsks {
  readonly #waiting = new Map<string, WaitingAsk>();

  /** Number of asks that wait. */
  get size(): number {
    return this.#waiting.size;
  }

  /**
   * @param pool Name of a pool.
   * @returns Number of asks for it that wait.
   */
  countOf(pool: string): number {
    return [...this.#waiting.values()]
      .filter(({ ask }) => ask.pool === pool).length;
  }

  /**
   * Lets an ask wait, unless it has waited for too long.
   *
   * @param ask The ask.
   * @param nowMs Current local time in milliseconds.
   * @returns Whether it waits.
   */
  hold(ask: WorkAsk, nowMs: number): boolean {
    const sinceMs = this.#waiting.get(ask.askId)?.sinceMs ?? nowMs;
    if (nowMs - sinceMs >= MAX_WAIT_MS) {
      this.drop(ask.askId);
      return false;
    }
    this.#waiting.set(ask.askId, { ask, sinceMs });
    return true;
  }

  /**
   * @param askId Id of an ask.
   * @returns Whether it waits.
   */
  has(askId: string): boolean {
    return this.#waiting.has(askId);
  }

  /** @returns The asks that wait, the oldest first. */
  all(): WorkAsk[] {
    return [...this.#waiting.values()].map(({ ask }) => ask);
  }

  /**
   * Ends the wait of an ask.
   *
   * @param askId Id of the ask; unknown ids are ignored.
   */
  drop(askId: string): void {
    this.#waiting.delete(askId);
  }

  /** Ends the wait of all asks. */
  clear(): void {
    this.#waiting.clear();
  }
}
