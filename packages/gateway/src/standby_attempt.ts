/** The attempt at a silent target while another target is tried. */

import type { TargetAttempt } from "./target_attempt.ts";

/**
 * Time for which two targets may run one request. A full target rejects within
 * a few milliseconds, and a connection attempt times out after 120 ms. The
 * operators allow 400 ms in all, which includes the time that the close of the
 * connection takes to reach the target.
 */
const STANDBY_TIMEOUT_MS = 250;

/** Holds at most one attempt, and expires it after a timeout. */
export class StandbyAttempt {
  readonly #onExpired: (attempt: TargetAttempt) => void;
  #attempt?: TargetAttempt;
  #timer?: NodeJS.Timeout;

  /** @param onExpired Called with the held attempt when it expires. */
  constructor(onExpired: (attempt: TargetAttempt) => void) {
    this.#onExpired = onExpired;
  }

  /**
   * Holds an attempt until the timeout; one held before expires at once.
   *
   * @param attempt The attempt at the silent target.
   */
  hold(attempt: TargetAttempt): void {
    this.expire();
    this.#attempt = attempt;
    this.#timer = setTimeout(() => {
      // If this process was late, the other target's rejection may have arrived
      // already; it is handled first.
      setImmediate(() => this.holds(attempt) && this.expire());
    }, STANDBY_TIMEOUT_MS);
  }

  /**
   * @param attempt An attempt.
   * @returns Whether it is the attempt held now.
   */
  holds(attempt: TargetAttempt): boolean {
    return this.#attempt === attempt;
  }

  /** @returns The held attempt, if any, which is released without expiring. */
  release(): TargetAttempt | undefined {
    const attempt = this.#attempt;
    clearTimeout(this.#timer);
    this.#attempt = undefined;
    return attempt;
  }

  /** Expires the held attempt, if any, at once. */
  expire(): void {
    const attempt = this.release();
    if (attempt !== undefined) {
      this.#onExpired(attempt);
    }
  }
}
