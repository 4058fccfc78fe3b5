/** A clock that moves when told, and runs what was put on it in order. */

interface Scheduled {
  readonly atMs: number;
  readonly sequence: number;
  readonly action: () => void;
}

/** Time and a queue of actions, soonest first. */
export class ManualClock {
  #nowMs = 0;
  #sequence = 0;
  /** A binary heap by time, then by order of scheduling. */
  readonly #heap: Scheduled[] = [];

  /** @returns Milliseconds from 0. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /**
   * Puts an action on the clock.
   *
   * @param delayMs From now.
   * @param action What to run.
   */
  later(delayMs: number, action: () => void): void {
    const atMs = this.#nowMs + Math.max(0, delayMs);
    this.#push({ atMs, sequence: this.#sequence++, action });
  }

  /**
   * Moves the clock and runs what falls due, also what that adds.
   *
   * @param ms How far.
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

  #push(item: Scheduled): void {
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

  #pop(): Scheduled {
    const heap = this.#heap;
    const first = heap[0];
    const last = heap.pop()!;
    if (heap.length > 0) this.#sink(last);
    return first;
  }

  #sink(item: Scheduled): void {
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

function isBefore(a: Scheduled, b: Scheduled): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}
