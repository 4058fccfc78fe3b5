/** Priority queue that orders the queued dispatches of a pool. */

import type { Queue, QueueAddOptions } from "p-queue";

/** Values that a queued dispatch is ranked by. */
export interface RankOptions extends QueueAddOptions {
  /** Rank of the request's tier; 0 is sent first. */
  readonly tierRank: number;
  /** Value of the request; a higher one is sent first within a tier. */
  readonly value: number;
}

/** A task of the queue, as p-queue passes it. */
export type RunFunction = () => Promise<unknown>;

interface RankedItem {
  readonly id: string | undefined;
  readonly tierRank: number;
  readonly arrivalNumber: number;
  readonly run: RunFunction;
  value: number;
}

const LOWEST_TIER_RANK = Number.MAX_SAFE_INTEGER;

/** A `queueClass` for p-queue; orders by tier rank, value and arrival. */
export class RankedQueue implements Queue<RunFunction, RankOptions> {
  /** Sorted so that the next item to run is the last. */
  readonly #items: RankedItem[] = [];
  #nextArrivalNumber = 0;

  /** Number of queued tasks. */
  get size(): number {
    return this.#items.length;
  }

  /**
   * Adds a task after all tasks of the same or a better rank.
   *
   * @param run Task to add.
   * @param options Rank of the task; without a tier rank it runs last.
   */
  enqueue(run: RunFunction, options?: Partial<RankOptions>): void {
    this.#insert({
      id: options?.id,
      tierRank: options?.tierRank ?? LOWEST_TIER_RANK,
      value: options?.value ?? 0,
      arrivalNumber: this.#nextArrivalNumber++,
      run,
    });
  }

  /**
   * Removes the task of the best rank.
   *
   * @returns The task, or undefined if the queue is empty.
   */
  dequeue(): RunFunction | undefined {
    return this.#items.pop()?.run;
  }

  /**
   * Finds the tasks of a rank.
   *
   * @param options Rank to match; an absent field matches every task.
   * @returns Matching tasks, best rank first.
   */
  filter(options: Readonly<Partial<RankOptions>>): RunFunction[] {
    const { tierRank, value } = options;
    return this.#items
      .filter((item) => tierRank === undefined || item.tierRank === tierRank)
      .filter((item) => value === undefined || item.value === value)
      .map((item) => item.run)
      .reverse();
  }

  /**
   * Changes the value of a queued task within its tier.
   *
   * @param id Id of the task.
   * @param priority New value of the task.
   * @throws ReferenceError if no queued task has the id.
   */
  setPriority(id: string, priority: number): void {
    const item = this.#removeById(id);
    if (item === undefined) {
      throw new ReferenceError(`no queued task has the id "${id}"`);
    }
    item.value = priority;
    this.#insert(item);
  }

  /**
   * Removes a task from the queue.
   *
   * @param id Id of the task; an unknown id is ignored.
   */
  remove(id: string): void {
    this.#removeById(id);
  }

  #removeById(id: string): RankedItem | undefined {
    const index = this.#items.findIndex((item) => item.id === id);
    return index < 0 ? undefined : this.#items.splice(index, 1)[0];
  }

  #insert(item: RankedItem): void {
    let low = 0;
    let high = this.#items.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (runsBefore(item, this.#items[middle])) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.#items.splice(low, 0, item);
  }
}

function runsBefore(item: RankedItem, other: RankedItem): boolean {
  if (item.tierRank !== other.tierRank) {
    return item.tierRank < other.tierRank;
  }
  if (item.value !== other.value) {
    return item.value > other.value;
  }
  return item.arrivalNumber < other.arrivalNumber;
}
