/** How many repeats the fleet may send, so that retries never feed a surge. */

const MS_PER_S = 1000;
const SLICE_MS = 500;

/**
 * Share of the users' bound that is handed out. The rest covers repeats that
 * instances send on their own while they cannot hear the coordinator.
 */
const USED_BOUND_SHARE = 0.6;

/** Bound on repeats, as the users gave it. */
export interface RetryBudgetBound {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats that are free in each window. */
  readonly slack: number;
  readonly windowS: number;
}

interface Slice {
  readonly beganAtMs: number;
  first: number;
  repeats: number;
}

/** Counts first sends and repeats of a pool over a sliding window. */
export class RetryBudget {
  #bound: RetryBudgetBound;
  readonly #slices: Slice[] = [];

  /** @param bound The bound that holds for the whole fleet. */
  constructor(bound: RetryBudgetBound) {
    this.#bound = bound;
  }

  /** @param bound The bound from now on. */
  setBound(bound: RetryBudgetBound): void {
    this.#bound = bound;
  }

  /**
   * Notes a request's first send.
   *
   * @param nowMs The local time.
   */
  recordFirst(nowMs: number): void {
    this.#slice(nowMs).first++;
  }

  /**
   * Takes one repeat from the budget.
   *
   * @param share Share (0 to 1) of the fleet's budget this instance may use.
   * @param nowMs The local time.
   * @returns Whether the repeat may be sent.
   */
  tryTake(share: number, nowMs: number): boolean {
    const slice = this.#slice(nowMs);
    let first = 0;
    let repeats = 0;
    for (const { first: f, repeats: r } of this.#slices) {
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
      newest = { beganAtMs: nowMs, first: 0, repeats: 0 };
      this.#slices.push(newest);
    }
    return newest;
  }
}
