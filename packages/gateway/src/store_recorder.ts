/** Keeps one record in the platform's store up to date, at a bounded rate. */

import type { Clock } from "./ports.ts";

/** What is recorded, where, and how often at most. */
export interface RecorderOptions<T> {
  readonly clock: Clock;
  /** Least time between two records. */
  readonly everyMs: number;
  /** Pause after a record that the platform did not take. */
  readonly retryMs: number;
  /** @returns What is to be recorded; undefined while the last record holds. */
  next(): T | undefined;
  /** @returns Whether the platform has it. */
  write(record: T): Promise<boolean>;
  /** Called where the platform did not take it, so that it is due again. */
  onFailed(record: T): void;
}

/** Records whenever something is due. */
export class StoreRecorder<T> {
  readonly #options: RecorderOptions<T>;
  #recording = false;
  #notBeforeMs = -Infinity;

  /** @param options What is recorded, where, and how often at most. */
  constructor(options: RecorderOptions<T>) {
    this.#options = options;
  }

  /** @param forMs Time for which nothing is recorded from now on. */
  holdFor(forMs: number): void {
    this.#notBeforeMs = this.#options.clock.nowMs() + forMs;
  }

  /** @returns Once the platform has what is due, or did not take it. */
  async record(): Promise<void> {
    const { clock, everyMs, retryMs, next, write, onFailed } = this.#options;
    if (this.#recording || clock.nowMs() < this.#notBeforeMs) {
      return;
    }
    const record = next();
    if (record === undefined) {
      return;
    }
    this.#recording = true;
    this.holdFor(everyMs);
    const isRecorded = await write(record);
    this.#recording = false;
    if (!isRecorded) {
      onFailed(record);
      this.holdFor(retryMs);
    }
  }
}
