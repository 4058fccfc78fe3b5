/** A silent attempt that is kept until another target has begun to answer. */

import type { TargetAttempt } from "./target_attempt.ts";

/**
 * Time for which two targets may work on one request. One that is full says so
 * within a few milliseconds, and one that cannot be reached is given up after
 * 120; the operators allow 400 in all, of which the way of a close takes a part.
 */
const STANDBY_MS = 250;

/** Holds at most one attempt, for a while. */
export class StandbyAttempt {
  readonly #onOver: (attempt: TargetAttempt) => void;
  #attempt?: TargetAttempt;
  #timer?: NodeJS.Timeout;

  /** @param onOver Called with an attempt whose time is over. */
  constructor(onOver: (attempt: TargetAttempt) => void) {
    this.#onOver = onOver;
  }

  /** @param attempt The attempt to keep; one that was kept before is over. */
  keep(attempt: TargetAttempt): void {
    this.end();
    this.#attempt = attempt;
    this.#timer = setTimeout(() => {
      // Where this instance was late itself, the other target's word that it
      // cannot take the request may be there, not yet handled.
      setImmediate(() => this.is(attempt) && this.end());
    }, STANDBY_MS);
  }

  /**
   * @param attempt An attempt.
   * @returns Whether it is the one that is kept.
   */
  is(attempt: TargetAttempt): boolean {
    return this.#attempt === attempt;
  }

  /** @returns The attempt that was kept, if any; it is kept no longer. */
  take(): TargetAttempt | undefined {
    const attempt = this.#attempt;
    clearTimeout(this.#timer);
    this.#attempt = undefined;
    return attempt;
  }

  /** Ends its time at once. */
  end(): void {
    const attempt = this.take();
    if (attempt !== undefined) {
      this.#onOver(attempt);
    }
  }
}
