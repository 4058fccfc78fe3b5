/** Keeps a record in the platform's store up to date at a limited rate. */

import type { Clock } from "./ports.ts";
import { reportUnhandled } from "./run_isolated.ts";

/** Source, destination and rate limit of a {@link StoreRecorder}. */
export interface RecorderOptions<T> {
  readonly clock: Clock;
  /** Minimum time between two writes. */
  readonly minIntervalMs: number;
  /** Delay before a failed write is retried. */
  readonly retryDelayMs: number;
  /**
   * @returns Content to record; undefined while the last record is still valid.
   */
  next(): T | undefined;
  /** @returns Whether the platform stored the record. */
  write(record: T): Promise<boolean>;
  /** Called after a failed write, so that `next` returns the content again. */
  onFailed(record: T): void;
}

/** Writes a record whenever its content has changed, one write at a time. */
export class StoreRecorder<T> {
  readonly #options: RecorderOptions<T>;
  #isWriting = false;
  #notBeforeMs = -Infinity;

  /** @param options Source, destination and rate limit. */
  constructor(options: RecorderOptions<T>) {
    this.#options = options;
  }

  /** @param forMs Time from now for which nothing is written. */
  pauseFor(forMs: number): void {
    this.#notBeforeMs = this.#options.clock.nowMs() + forMs;
  }

  /**
   * Writes the record, if its content has changed and the rate limit allows it.
   *
   * @returns Resolves when the write has succeeded or failed, or if none is
   * due.
   */
  async record(): Promise<void> {
    const { clock, minIntervalMs, retryDelayMs, next, write, onFailed } =
      this.#options;
    if (this.#isWriting || clock.nowMs() < this.#notBeforeMs) {
      return;
    }
    const record = next();
    if (record === undefined) {
      return;
    }
    this.#isWriting = true;
    this.pauseFor(minIntervalMs);
    const isRecorded = await write(record).catch((error) => {
      reportUnhandled(error);
      return false;
    });
    this.#isWriting = false;
    if (!isRecorded) {
      onFailed(record);
      this.pauseFor(retryDelayMs);
    }
  }
}
