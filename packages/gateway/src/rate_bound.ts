/** Bounds how often something is done within a second. */

const MS_PER_S = 1000;

/** Number of times that something was done in the present second. */
export class RateBound {
  readonly #maxPerS: number;
  #windowStartMs = -Infinity;
  #taken = 0;

  /** @param maxPerS Number of times that it may be done in a second. */
  constructor(maxPerS: number) {
    this.#maxPerS = maxPerS;
  }

  /**
   * Decides whether it may be done now, and counts it.
   *
   * @param nowMs The local time.
   * @returns Whether it may be done once more.
   */
  take(nowMs: number): boolean {
    if (nowMs - this.#windowStartMs >= MS_PER_S) {
      this.#windowStartMs = nowMs;
      this.#taken = 0;
    }
    this.#taken++;
    return this.#taken <= this.#maxPerS;
  }
}
