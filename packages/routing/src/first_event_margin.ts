/**
 * How much longer than foreseen a first event may take, learned from those that
 * came.
 *
 * Requests that wait are started just before it is too late when a pool is full,
 * so an error of the forecast makes most of them late at once.
 */

/** Where learning starts. */
const INITIAL_MARGIN_RATIO = 1.4;

/** Bounds of what is believed, against single targets that fail or stall. */
const MIN_MARGIN_RATIO = 1.1;
const MAX_MARGIN_RATIO = 4;

/**
 * Part of the first events that are to come within the margin. More would give
 * up requests that might be on time, fewer would let work in time wait behind
 * work that is late after all.
 */
const WITHIN_SHARE = 0.8;

/**
 * Step by which one observation moves the margin: it follows a change of load
 * within some tens of requests.
 */
const STEP_RATIO = 0.05;

/** A margin that holds for a part of the first events. */
export class FirstEventMargin {
  #ratio = INITIAL_MARGIN_RATIO;

  /** Times the foreseen time within which a first event comes. */
  get ratio(): number {
    return this.#ratio;
  }

  /**
   * Learns from a first event.
   *
   * @param durationMs The time it took.
   * @param predictedMs What an idle target would have taken.
   */
  learn(durationMs: number, predictedMs: number): void {
    const isWithin = durationMs <= this.#ratio * predictedMs;
    const moved = this.#ratio +
      (isWithin ? -(1 - WITHIN_SHARE) : WITHIN_SHARE) * STEP_RATIO;
    this.#ratio = Math.min(MAX_MARGIN_RATIO, Math.max(MIN_MARGIN_RATIO, moved));
  }
}
