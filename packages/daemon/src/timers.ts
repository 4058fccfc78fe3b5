/** Timers, handed in so that tests can fire them. */

/** Undoes a timer that has not fired. */
export type CancelTimer = () => void;

/** Sets one-shot timers. */
export interface Timers {
  /**
   * @param delayMs How long to wait.
   * @param run What to do then.
   * @returns What undoes it.
   */
  after(delayMs: number, run: () => void): CancelTimer;
}

/** Timers of the runtime; they never keep the process alive. */
export const NODE_TIMERS: Timers = {
  after(delayMs, run) {
    const timer = setTimeout(run, delayMs);
    timer.unref();
    return () => clearTimeout(timer);
  },
};
