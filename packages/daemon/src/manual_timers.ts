/** Timers that a test fires explicitly. */

import type { CancelTimer, Timers } from "./timers.ts";

interface ManualTimer {
  readonly delayMs: number;
  readonly run: () => void;
}

/** Holds scheduled timers until {@link ManualTimers.fire} runs them. */
export class ManualTimers implements Timers {
  readonly #timers = new Set<ManualTimer>();

  /**
   * Adds a timer that runs only when it is fired.
   *
   * @param delayMs Delay by which {@link ManualTimers.fire} selects the timer.
   * @param run Function to run.
   * @returns A function that cancels the timer.
   */
  schedule(delayMs: number, run: () => void): CancelTimer {
    const timer = { delayMs, run };
    this.#timers.add(timer);
    return () => this.#timers.delete(timer);
  }

  /**
   * Fires all timers with a given delay.
   *
   * @param delayMs Delay with which the timers were scheduled, in milliseconds.
   * @returns Number of timers that fired.
   */
  fire(delayMs: number): number {
    const due = [...this.#timers].filter((timer) => timer.delayMs === delayMs);
    for (const timer of due) {
      this.#timers.delete(timer);
      timer.run();
    }
    return due.length;
  }
}
