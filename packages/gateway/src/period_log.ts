/**
 * Tracks periods that begin and end, such as pauses of targets, so that each is
 * logged once and a state that alternates does not fill the log.
 */

/** Minimum time between two log lines about a key. */
const MIN_LOG_INTERVAL_MS = 1000;

/** Writes the log lines about periods. */
export interface PeriodSink<T> {
  /**
   * Called when a period begins.
   *
   * @param value What is in it.
   */
  began(value: T): void;
  /**
   * Called when a period ends.
   *
   * @param value What was in it as it began.
   * @param tookMs Time since it began.
   */
  ended(value: T, tookMs: number): void;
}

/** A period, as it was logged last. */
interface LoggedPeriod<T> {
  readonly value: T;
  readonly hasEnded: boolean;
  readonly loggedAtMs: number;
}

/** Periods by key, each with at most one log line a second. */
export class PeriodLog<T> {
  readonly #sink: PeriodSink<T>;
  readonly #logged = new Map<string, LoggedPeriod<T>>();

  /** @param sink Writes the log lines. */
  constructor(sink: PeriodSink<T>) {
    this.#sink = sink;
  }

  /**
   * Compares the present state with the logged one.
   *
   * @param present What is in a period now, by key.
   * @param nowMs Current local time in milliseconds.
   */
  update(present: ReadonlyMap<string, T>, nowMs: number): void {
    for (const [key, { value, hasEnded, loggedAtMs }] of [...this.#logged]) {
      if (nowMs - loggedAtMs < MIN_LOG_INTERVAL_MS) {
        continue;
      }
      if (hasEnded) {
        this.#logged.delete(key);
      } else if (!present.has(key)) {
        this.#logged.set(key, { value, hasEnded: true, loggedAtMs: nowMs });
        this.#sink.ended(value, nowMs - loggedAtMs);
      }
    }
    for (const [key, value] of present) {
      if (!this.#logged.has(key)) {
        this.#logged.set(key, { value, hasEnded: false, loggedAtMs: nowMs });
        this.#sink.began(value);
      }
    }
  }
}
