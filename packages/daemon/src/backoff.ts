/** Exponential backoff with jitter. */

/** Share of a delay that is random. */
const JITTER_SHARE = 0.5;
const GROWTH_FACTOR = 2;

/** Bounds and source of jitter of a {@link Backoff}. */
export interface BackoffOptions {
  /** Upper bound of the first delay. */
  readonly baseMs: number;
  /** Upper bound of every delay. */
  readonly maxMs: number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/** Computes the delays between attempts, doubling up to a maximum. */
export class Backoff {
  readonly #options: BackoffOptions;
  #ceilingMs: number;

  /** @param options Bounds and source of jitter. */
  constructor(options: BackoffOptions) {
    this.#options = options;
    this.#ceilingMs = options.baseMs;
  }

  /**
   * Computes the next delay and doubles the following one.
   *
   * @returns Delay before the next attempt, in milliseconds.
   */
  nextDelayMs(): number {
    const { maxMs, random } = this.#options;
    const ceilingMs = Math.min(this.#ceilingMs, maxMs);
    this.#ceilingMs = Math.min(ceilingMs * GROWTH_FACTOR, maxMs);
    return ceilingMs * (1 - JITTER_SHARE * random());
  }

  /** Resets the delay to its base, after a success. */
  reset(): void {
    this.#ceilingMs = this.#options.baseMs;
  }
}
