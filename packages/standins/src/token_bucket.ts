/** A token bucket, for rate limits on a clock that is handed in. */

/** Rate and burst of a bucket. */
export interface TokenBucketOptions {
  readonly perSecond: number;
  /** Most that can be taken at once. */
  readonly burst: number;
}

const MS_PER_SECOND = 1_000;

/** Gives out permission at a steady rate. */
export class TokenBucket {
  readonly #options: TokenBucketOptions;
  #level: number;
  #filledAtMs = 0;

  /** @param options Rate and burst. */
  constructor(options: TokenBucketOptions) {
    this.#options = options;
    this.#level = options.burst;
  }

  /**
   * Takes one permission.
   *
   * @param nowMs The time now.
   * @returns Whether there was one.
   */
  take(nowMs: number): boolean {
    this.#fill(nowMs);
    if (this.#level < 1) {
      return false;
    }
    this.#level -= 1;
    return true;
  }

  #fill(nowMs: number): void {
    const { perSecond, burst } = this.#options;
    const passedMs = Math.max(0, nowMs - this.#filledAtMs);
    const gained = passedMs * perSecond / MS_PER_SECOND;
    this.#level = Math.min(burst, this.#level + gained);
    this.#filledAtMs = Math.max(this.#filledAtMs, nowMs);
  }
}
