/**
 * Retry budget: bounds the repeats that the fleet sends, so that retries don't
 * amplify an overload.
 */

const MS_PER_S = 1000;
const SLICE_MS = 500;

/**
 * Share of the users' bound that is handed out. The rest covers repeats that
 * instances send on their own while they cannot reach the coordinator.
 */
const USED_BOUND_SHARE = 0.6;

/** Bound on repeats in a sliding window, as the users set it. */
export interface RetryBudgetBound {
  /** Permitted repeats per first send. */
  readonly ratio: number;
  /** Permitted repeats per window in addition to the ratio. */
  readonly slack: number;
  readonly windowS: number;
}

interface Slice {
  readonly beganAtMs: number;
  firstSends: number;
  repeats: number;
}

/** Counts the first sends and repeats of a pool over a sliding window. */
export class RetryBudget {
  #bound: RetryBudgetBound;
  readonly #slices: Slice[] = [];

  /** @param bound Bound that applies to the whole fleet. */
  constructor(bound: RetryBudgetBound) {
    this.#bound = bound;
  }

  /**
   * Replaces the bound.
   *
   * @param bound Bound that applies from now on.
   */
  setBound(bound: RetryBudgetBound): void {
    this.#bound = bound;
  }

  /**
   * Records the first send of a request.
   *
   * @param nowMs Current local time in milliseconds.
   */
  recordFirst(nowMs: number): void {
    this.#slice(nowMs).firstSends++;
  }

  /**
   * Consumes one repeat of the budget, if any is left.
   *
   * @param share Share (0 to 1) of the fleet's slack that this instance may
   * use.
   * @param nowMs Current local time in milliseconds.
   * @returns Whether the repeat may be sent.
   */
  tryConsume(share: number, nowMs: number): boolean {
    const slice = this.#slice(nowMs);
    let first = 0;
    let repeats = 0;
    for (const { firstSends: f, repeats: r } of this.#slices) {
      first += f;
      repeats += r;
    }
    const bound = this.#bound.ratio * first + this.#bound.slack * share;
    if (repeats + 1 > bound * USED_BOUND_SHARE) {
      return false;
    }
    slice.repeats++;
    return true;
  }

  #slice(nowMs: number): Slice {
    const oldest = nowMs - this.#bound.windowS * MS_PER_S;
    while (this.#slices.length > 0 && this.#slices[0]!.beganAtMs < oldest) {
      this.#slices.shift();
    }
    let newest = this.#slices.at(-1);
    if (newest === undefined || nowMs - newest.beganAtMs >= SLICE_MS) {
      newest = { beganAtMs: nowMs, firstSends: 0, repeats: 0 };
      this.#slices.push(newest);
    }
    return newest;
  }
}
