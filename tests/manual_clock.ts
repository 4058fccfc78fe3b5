/** A manual clock for tests: time advances by call and runs due actions. */

interface ScheduledAction {
  readonly atMs: number;
  readonly sequence: number;
  readonly action: () => void;
}

/** A clock with a queue of scheduled actions, earliest first. */
export class ManualClock {
  #nowMs = 0;
  #sequence = 0;
  /** Binary heap, ordered by due time, then by order of scheduling. */
  readonly #heap: ScheduledAction[] = [];

  /** @returns Current time, in milliseconds from 0. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /**
   * Schedules an action.
   *
   * @param delayMs Delay from now, in milliseconds; below 0 counts as 0.
   * @param action Function to run.
   */
  schedule(delayMs: number, action: () => void): void {
    const atMs = this.#nowMs + Math.max(0, delayMs);
    this.#push({ atMs, sequence: this.#sequence++, action });
  }

  /**
   * Advances the clock and runs every action that falls due, including those
   * that such an action schedules.
   *
   * @param ms Time to advance by, in milliseconds.
   */
  advance(ms: number): void {
    const endMs = this.#nowMs + ms;
    while (this.#heap.length > 0 && this.#heap[0].atMs <= endMs) {
      const due = this.#pop();
      this.#nowMs = due.atMs;
      due.action();
    }
    this.#nowMs = endMs;
  }

  #push(item: ScheduledAction): void {
    const heap = this.#heap;
    let index = heap.push(item) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (isBefore(heap[parent], item)) break;
      heap[index] = heap[parent];
      index = parent;
    }
    heap[index] = item;
  }

  #pop(): ScheduledAction {
    const heap = this.#heap;
    const first = heap[0];
    const last = heap.pop()!;
    if (heap.length > 0) this.#siftDown(last);
    return first;
  }

  #siftDown(item: ScheduledAction): void {
    const heap = this.#heap;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1], heap[child])) {
        child += 1;
      }
      if (isBefore(item, heap[child])) break;
      heap[index] = heap[child];
      index = child;
    }
    heap[index] = item;
  }
}

function isBefore(a: ScheduledAction, b: ScheduledAction): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}
