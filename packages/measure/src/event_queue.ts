/** Simulated clock with a priority queue of scheduled events. */

/** Handle of a scheduled event. */
export interface ScheduledEvent {
  /** Prevents the event from running. */
  cancel(): void;
}

interface QueuedEvent {
  readonly atMs: number;
  /** Sequence number; events of the same time run in scheduling order. */
  readonly order: number;
  /** Undefined once the event is cancelled. */
  callback: (() => void) | undefined;
}

/**
 * Clock that runs scheduled events in order of time. Its time advances only
 * from event to event, never while an event runs.
 */
export class EventQueue {
  readonly #heap: QueuedEvent[] = [];
  #nowMs = 0;
  #nextOrder = 0;

  /** Current simulated time in milliseconds. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /**
   * Schedules an event.
   *
   * @param atMs Time of the event; a time in the past counts as now.
   * @param callback Function that the event runs.
   * @returns A handle to cancel the event.
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
   * Schedules an event after a delay.
   *
   * @param delayMs Time from now until the event.
   * @param callback Function that the event runs.
   * @returns A handle to cancel the event.
   */
  after(delayMs: number, callback: () => void): ScheduledEvent {
    return this.at(this.#nowMs + delayMs, callback);
  }

  /**
   * Runs all events up to a time and advances the clock to it.
   *
   * @param untilMs Time to stop at; events of exactly this time still run.
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
