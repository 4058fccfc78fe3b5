/** Token bucket for rate limits; the caller passes the time. */

/** Rate and burst of a token bucket. */
export interface TokenBucketOptions {
  /** Tokens added per second. */
  readonly ratePerSecond: number;
  /** Capacity of the bucket, and its initial number of tokens. */
  readonly burst: number;
}

const MS_PER_SECOND = 1_000;

/** Token bucket rate limiter. */
export class TokenBucket {
  readonly #options: TokenBucketOptions;
  #availableTokens: number;
  #refilledAtMs = 0;

  /** @param options Rate and burst of the bucket. */
  constructor(options: TokenBucketOptions) {
    this.#options = options;
    this.#availableTokens = options.burst;
  }

  /**
   * Takes one token if available.
   *
   * @param nowMs The time now.
   * @returns Whether a token was taken.
   */
  tryTake(nowMs: number): boolean {
    this.#refill(nowMs);
    if (this.#availableTokens < 1) {
      return false;
    }
    this.#availableTokens -= 1;
    return true;
  }

  #refill(nowMs: number): void {
    const { ratePerSecond, burst } = this.#options;
    const elapsedMs = Math.max(0, nowMs - this.#refilledAtMs);
    const gainedTokens = elapsedMs * ratePerSecond / MS_PER_SECOND;
    this.#availableTokens = Math.min(
      burst,
      this.#availableTokens + gainedTokens,
    );
    this.#refilledAtMs = Math.max(this.#refilledAtMs, nowMs);
  }
}
