/** Log of an engine's cache events, published with a delay and with gaps. */

import type {
  CacheEventKind,
  CacheEventsAnswer,
} from "@chestnuthatch/wire/target_protocol";
import {
  type RandomSource,
  seededRandomSource,
} from "@chestnuthatch/core/random_source";

/** Delay and loss of published events. */
export interface CacheEventLogOptions {
  /** Delay until an event is published. */
  readonly lagMs: number;
  /** Share of events (0 to 1) that are never published. */
  readonly lossShare: number;
  readonly seed: number;
}

interface LoggedEvent {
  readonly sequence: number;
  readonly kind: CacheEventKind;
  readonly blockHash: string;
  readonly atMs: number;
}

const MAX_LOGGED_EVENTS = 20_000;
const MAX_EVENTS_PER_ANSWER = 2_000;

/** Bounded log of cache events in order of their sequence numbers. */
export class CacheEventLog {
  readonly #options: CacheEventLogOptions;
  readonly #randomness: RandomSource;
  #events: LoggedEvent[] = [];
  #lastSequence = 0;

  /** @param options Delay and loss of published events, and the loss's seed. */
  constructor(options: CacheEventLogOptions) {
    this.#options = options;
    this.#randomness = seededRandomSource(options.seed);
  }

  /**
   * Records an event, or drops it at random. A dropped event still uses a
   * sequence number, so that readers can detect the gap.
   *
   * @param event Kind of the event and fingerprint of the block.
   * @param nowMs Time of the event.
   */
  record(
    event: { readonly kind: CacheEventKind; readonly blockHash: string },
    nowMs: number,
  ): void {
    this.#lastSequence += 1;
    if (this.#randomness.next() < this.#options.lossShare) {
      return;
    }
    const sequence = this.#lastSequence;
    this.#events.push({ ...event, sequence, atMs: nowMs });
    if (this.#events.length > 2 * MAX_LOGGED_EVENTS) {
      this.#events = this.#events.slice(-MAX_LOGGED_EVENTS);
    }
  }

  /**
   * Reads published events.
   *
   * @param afterSequence Sequence number of the last event read; 0 for none.
   * @param nowMs The time now.
   * @returns The following events whose delay has passed.
   */
  read(afterSequence: number, nowMs: number): CacheEventsAnswer {
    const latestPublishedMs = nowMs - this.#options.lagMs;
    const fromIndex = this.#firstIndexAfter(afterSequence);
    const events = this.#events
      .slice(fromIndex, fromIndex + MAX_EVENTS_PER_ANSWER)
      .filter((event) => event.atMs <= latestPublishedMs)
      .map(({ sequence, kind, blockHash }) => ({ sequence, kind, blockHash }));
    return { events, lastSequence: events.at(-1)?.sequence ?? afterSequence };
  }

  #firstIndexAfter(sequence: number): number {
    let low = 0;
    let high = this.#events.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#events[middle].sequence <= sequence) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
