/** Timers that fire when told to, for tests. */

import type { CancelTimer, Timers } from "./timers.ts";

interface ManualTimer {
  readonly delayMs: number;
  readonly run: () => void;
}

/** Keeps timers until {@link ManualTimers.fire}. */
export class ManualTimers implements Timers {
  readonly #timers = new Set<ManualTimer>();

  after(delayMs: number, run: () => void): CancelTimer {
    const timer = { delayMs, run };
    this.#timers.add(timer);
    return () => this.#timers.delete(timer);
  }

  /**
   * @param delayMs Which timers: those set for this long.
   * @returns How many fired.
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
