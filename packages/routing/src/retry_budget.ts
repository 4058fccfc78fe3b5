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

/**
 * Share of the slack that an instance may hand out at its start. The rest of the
 * bound covers several such starts within a window.
 */
const INITIAL_SLACK_SHARE = 0.1;

/** Bound on repeats in a sliding window, as the users set it. */
export interface RetryBudgetBound {
  /** Permitted repeats per first send. */
  readonly ratio: number;
  /** Permitted repeats per window in addition to the ratio. */
  readonly slack: number;
  readonly windowS: number;
}

/** Sends of a pool within the window by age, for another coordinator. */
export interface RetryHistory {
  readonly pool: string;
  /** First sends by whole seconds of age, the latest second first. */
  readonly firstSends: readonly number[];
  /** Repeats by whole seconds of age, the latest second first. */
  readonly repeats: readonly number[];
}

/** Part of the fleet that a coordinator hands out repeats for. */
export interface RetryScope {
  /** Share (0 to 1) of the fleet's slack that may be handed out. */
  readonly share: number;
  /** Time since this instance started, in milliseconds. */
  readonly uptimeMs: number;
  readonly nowMs: number;
}

/**
 * Converts a history to what an instance takes over at a later time.
 *
 * @param history Sends of a pool at an earlier time.
 * @param of Time since then in milliseconds, and the share (0 to 1) of the
 * fleet that is taken over.
 * @returns The share of these sends by their age now.
 */
export function takenOverHistory(
  { pool, firstSends, repeats }: RetryHistory,
  { ageMs, share }: { ageMs: number; share: number },
): RetryHistory {
  const elapsedSeconds = Math.floor(ageMs / MS_PER_S);
  const takeOver = (bySecond: readonly number[]) => [
    ...new Array<number>(elapsedSeconds).fill(0),
    ...bySecond.map((count) => count * share),
  ];
  return {
    pool,
    firstSends: takeOver(firstSends),
    repeats: takeOver(repeats),
  };
}

interface Slice {
  readonly beganAtMs: number;
  firstSends: number;
  repeats: number;
}

type SendCount = "firstSends" | "repeats";

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
   * Consumes one repeat of the budget, if any is left. An instance that started
   * within the window may not know of all repeats, so its slack grows until it
   * has run for a window.
   *
   * @param scope Part of the fleet that repeats are handed out for.
   * @returns Whether the repeat may be sent.
   */
  tryConsume({ share, uptimeMs, nowMs }: RetryScope): boolean {
    const slice = this.#slice(nowMs);
    const { ratio, slack } = this.#bound;
    const knownShare = Math.min(
      1,
      Math.max(INITIAL_SLACK_SHARE, uptimeMs / this.#windowMs),
    );
    const bound = ratio * sumOf(this.#slices, "firstSends") +
      slack * share * knownShare;
    if (sumOf(this.#slices, "repeats") + 1 > bound * USED_BOUND_SHARE) {
      return false;
    }
    slice.repeats++;
    return true;
  }

  /**
   * Returns the sends within the window.
   *
   * @param pool Name of the pool that this budget belongs to.
   * @param nowMs Current local time in milliseconds.
   * @returns The sends by age.
   */
  history(pool: string, nowMs: number): RetryHistory {
    this.#expire(nowMs);
    return {
      pool,
      firstSends: this.#bySecond("firstSends", nowMs),
      repeats: this.#bySecond("repeats", nowMs),
    };
  }

  /**
   * Adds sends that other coordinators granted, unless they are known here.
   * What the two count in different seconds may be the same sends: such repeats
   * count twice, and such first sends once, so that the budget is not exceeded.
   *
   * @param history Sends by age.
   * @param nowMs Local time in milliseconds that the ages count from.
   */
  importHistory(history: RetryHistory, nowMs: number): void {
    const known = this.history(history.pool, nowMs);
    const firstSends = missingInTotal(history.firstSends, known.firstSends);
    const added = history.repeats.map((repeats, age) => ({
      // The end of the second, so that its sends don't expire too early.
      beganAtMs: nowMs - age * MS_PER_S,
      repeats: Math.max(0, repeats - (known.repeats[age] ?? 0)),
      firstSends: firstSends[age] ?? 0,
    }));
    this.#slices.push(
      ...added.filter(({ repeats, firstSends }) => repeats + firstSends > 0),
    );
    this.#slices.sort((a, b) => a.beganAtMs - b.beganAtMs);
    this.#expire(nowMs);
  }

  get #windowMs(): number {
    return this.#bound.windowS * MS_PER_S;
  }

  #bySecond(count: SendCount, nowMs: number): number[] {
    const bySecond = new Array<number>(Math.ceil(this.#bound.windowS)).fill(0);
    for (const slice of this.#slices) {
      const age = Math.floor((nowMs - slice.beganAtMs) / MS_PER_S);
      bySecond[Math.min(age, bySecond.length - 1)]! += slice[count];
    }
    return bySecond;
  }

  #expire(nowMs: number): void {
    const oldestMs = nowMs - this.#windowMs;
    while (this.#slices.length > 0 && this.#slices[0]!.beganAtMs < oldestMs) {
      this.#slices.shift();
    }
  }

  #slice(nowMs: number): Slice {
    this.#expire(nowMs);
    let newest = this.#slices.at(-1);
    if (newest === undefined || nowMs - newest.beganAtMs >= SLICE_MS) {
      newest = { beganAtMs: nowMs, firstSends: 0, repeats: 0 };
      this.#slices.push(newest);
    }
    return newest;
  }
}

/**
 * Counts by age that are missing in the known ones, where a known count one
 * second older may be the same.
 */
function missingInTotal(
  counts: readonly number[],
  known: readonly number[],
): number[] {
  let unmatched = 0;
  let knownTotal = known[0] ?? 0;
  return counts.map((count, age) => {
    knownTotal += known[age + 1] ?? 0;
    unmatched += count;
    const missing = Math.max(0, unmatched - knownTotal);
    unmatched -= missing;
    return missing;
  });
}

function sumOf(slices: readonly Slice[], count: SendCount): number {
  return slices.reduce((sum, slice) => sum + slice[count], 0);
}
