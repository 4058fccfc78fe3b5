/** The order in which waiting dispatches of a pool are sent. */

import type { Queue, QueueAddOptions } from "p-queue";

/** What a queued dispatch is ranked by. */
export interface RankOptions extends QueueAddOptions {
  /** Rank of the tier; 0 is sent first. */
  readonly tierRank: number;
  /** Worth of the request; higher is sent first within a tier. */
  readonly value: number;
}

/** A task of the queue. */
export type RunFunction = () => Promise<unknown>;

interface RankedItem {
  readonly id: string | undefined;
  readonly tierRank: number;
  readonly arrival: number;
  readonly run: RunFunction;
  value: number;
}

const LOWEST_TIER_RANK = Number.MAX_SAFE_INTEGER;

/** A `queueClass` for p-queue: tier rank, then value, then arrival. */
export class RankedQueue implements Queue<RunFunction, RankOptions> {
  /** Sorted with the next item to run at the end. */
  readonly #items: RankedItem[] = [];
  #arrivals = 0;

  /** @returns How many tasks wait. */
  get size(): number {
    return this.#items.length;
  }

  /**
   * Adds a task behind all that rank the same or better.
   *
   * @param run The task.
   * @param options Its rank; without one it is last.
   */
  enqueue(run: RunFunction, options?: Partial<RankOptions>): void {
    this.#insert({
      id: options?.id,
      tierRank: options?.tierRank ?? LOWEST_TIER_RANK,
      value: options?.value ?? 0,
      arrival: this.#arrivals++,
      run,
    });
  }

  /** @returns The best ranked task, taken out of the queue. */
  dequeue(): RunFunction | undefined {
    return this.#items.pop()?.run;
  }

  /**
   * Finds tasks of one rank.
   *
   * @param options The rank looked for; a field left out matches all.
   * @returns The tasks, best ranked first.
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
   * Changes the value of a waiting task; its tier stays.
   *
   * @param id The task's id.
   * @param priority The new value.
   */
  setPriority(id: string, priority: number): void {
    const item = this.#take(id);
    if (item === undefined) {
      throw new ReferenceError(`No task with the id "${id}" waits.`);
    }
    item.value = priority;
    this.#insert(item);
  }

  /** @param id Id of a task to take out; unknown ids are ignored. */
  remove(id: string): void {
    this.#take(id);
  }

  #take(id: string): RankedItem | undefined {
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
  return item.arrival < other.arrival;
}
