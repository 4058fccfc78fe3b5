/** Cache events as an engine publishes them: late and with gaps. */

import type {
  CacheEventKind,
  CacheEventsAnswer,
} from "@chestnuthatch/wire/target_protocol";
import {
  type RandomSource,
  seededRandomSource,
} from "@chestnuthatch/core/random_source";

/** How late and how gappy the events are. */
export interface CacheEventLogOptions {
  /** Age an event must have before it is published. */
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

/** Bounded log of cache events. */
export class CacheEventLog {
  readonly #options: CacheEventLogOptions;
  readonly #randomness: RandomSource;
  #events: LoggedEvent[] = [];
  #lastSequence = 0;

  /** @param options How late and how gappy the events are. */
  constructor(options: CacheEventLogOptions) {
    this.#options = options;
    this.#randomness = seededRandomSource(options.seed);
  }

  /**
   * Logs one event, or loses it.
   *
   * @param event What happened.
   * @param nowMs When it happened.
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
   * @param after Sequence number read last, 0 for none.
   * @param nowMs The time now.
   * @returns The next events that are old enough.
   */
  read(after: number, nowMs: number): CacheEventsAnswer {
    const latestMs = nowMs - this.#options.lagMs;
    const from = this.#firstIndexAfter(after);
    const events = this.#events
      .slice(from, from + MAX_EVENTS_PER_ANSWER)
      .filter((event) => event.atMs <= latestMs)
      .map(({ sequence, kind, blockHash }) => ({ sequence, kind, blockHash }));
    return { events, lastSequence: events.at(-1)?.sequence ?? after };
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
