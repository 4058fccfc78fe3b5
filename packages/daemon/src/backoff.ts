/** Exponential backoff with jitter. */

const JITTERED_SHARE = 0.5;
const GROWTH = 2;

/** Bounds of a backoff, and where its jitter comes from. */
export interface BackoffOptions {
  readonly baseMs: number;
  readonly maxMs: number;
  /** Gives a number from 0 up to, not including, 1. */
  readonly random: () => number;
}

/** Delays between attempts, doubling up to a bound. */
export class Backoff {
  readonly #options: BackoffOptions;
  #ceilingMs: number;

  /** @param options Bounds and jitter. */
  constructor(options: BackoffOptions) {
    this.#options = options;
    this.#ceilingMs = options.baseMs;
  }

  /** @returns How long to wait before the next attempt. */
  nextDelayMs(): number {
    const { maxMs, random } = this.#options;
    const ceilingMs = Math.min(this.#ceilingMs, maxMs);
    this.#ceilingMs = Math.min(ceilingMs * GROWTH, maxMs);
    return ceilingMs * (1 - JITTERED_SHARE * random());
  }

  /** Starts over from the base after a success. */
  reset(): void {
    this.#ceilingMs = this.#options.baseMs;
  }
}
