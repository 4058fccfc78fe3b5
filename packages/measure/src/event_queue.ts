/** A manual clock with the events that are still to come, in order of time. */

/** An event that is still to come. */
export interface ScheduledEvent {
  /** Keeps the event from happening. */
  cancel(): void;
}

interface QueuedEvent {
  readonly atMs: number;
  /** Events of the same time happen in the order they were scheduled. */
  readonly order: number;
  callback: (() => void) | undefined;
}

/** Runs events in order of time; time stands still between them. */
export class EventQueue {
  readonly #heap: QueuedEvent[] = [];
  #nowMs = 0;
  #nextOrder = 0;

  /** The time on the manual clock. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /**
   * Schedules an event.
   *
   * @param atMs When it happens; a time in the past means now.
   * @param callback What happens.
   * @returns A handle that cancels it.
   */
  at(atMs: number, callback: () => void): ScheduledEvent {
    const event: QueuedEvent = {
      atMs: Math.max(atMs, this.#nowMs),
      order: this.#nextOrder++,
      callback,
    };
    this.#push(event);
    return { cancel: () => event.callback = undefined };
  }

  /**
   * Schedules an event some time from now.
   *
   * @param delayMs How long from now.
   * @param callback What happens.
   * @returns A handle that cancels it.
   */
  after(delayMs: number, callback: () => void): ScheduledEvent {
    return this.at(this.#nowMs + delayMs, callback);
  }

  /**
   * Lets time pass.
   *
   * @param untilMs The time to stop at; events of that time still happen.
   */
  runUntil(untilMs: number): void {
    for (
      let first = this.#heap[0];
      first !== undefined && first.atMs <= untilMs;
      first = this.#heap[0]
    ) {
      this.#popFirst();
      this.#nowMs = first.atMs;
      first.callback?.();
    }
    this.#nowMs = untilMs;
  }

  #push(event: QueuedEvent): void {
    const heap = this.#heap;
    let index = heap.length;
    heap.push(event);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, heap[parent])) {
        break;
      }
      heap[index] = heap[parent];
      index = parent;
    }
    heap[index] = event;
  }

  #popFirst(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) {
      return;
    }
    let index = 0;
    for (
      let child = smallerChild(heap, index);
      child < heap.length && isBefore(heap[child], last);
      child = smallerChild(heap, index)
    ) {
      heap[index] = heap[child];
      index = child;
    }
    heap[index] = last;
  }
}

function smallerChild(heap: readonly QueuedEvent[], index: number): number {
  const left = 2 * index + 1;
  const right = left + 1;
  return right < heap.length && isBefore(heap[right], heap[left])
    ? right
    : left;
}

function isBefore(a: QueuedEvent, b: QueuedEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}
