/** An interface for timers, so that tests can replace them. */

/** Cancels a timer; has no effect once it has fired. */
export type CancelTimer = () => void;

/** Schedules one-shot timers. */
export interface Timers {
  /**
   * Schedules a function to run once.
   *
   * @param delayMs Delay in milliseconds.
   * @param run Function to run after the delay.
   * @returns A function that cancels the timer.
   */
  schedule(delayMs: number, run: () => void): CancelTimer;
}

/** Node.js timers, unreferenced so that they never keep the process alive. */
export const NODE_TIMERS: Timers = {
  schedule(delayMs, run) {
    const timer = setTimeout(run, delayMs);
    timer.unref();
    return () => clearTimeout(timer);
  },
};
