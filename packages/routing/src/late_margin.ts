/**
 * How much longer than foreseen a first event may take, learned from those that
 * came.
 *
 * Requests that wait are started just before it is too late when a pool is full,
 * so an error of the forecast makes most of them late at once.
 */

/** Where learning starts. */
const STARTING_MARGIN = 1.4;

/** Bounds of what is believed, against single targets that fail or stall. */
const LEAST_MARGIN = 1.1;
const MOST_MARGIN = 4;

/**
 * Part of the first events that are to come within the margin. More would give
 * up requests that might be on time, fewer would let work in time wait behind
 * work that is late after all.
 */
const WITHIN_PART = 0.8;

/**
 * Step by which one observation moves the margin: it follows a change of load
 * within some tens of requests.
 */
const STEP = 0.05;

/** A margin that holds for a part of the first events. */
export class LateMargin {
  #margin = STARTING_MARGIN;

  /** Times the foreseen time within which a first event comes. */
  get times(): number {
    return this.#margin;
  }

  /**
   * Learns from a first event.
   *
   * @param tookMs The time it took.
   * @param foreseenMs What an idle target would have taken.
   */
  learn(tookMs: number, foreseenMs: number): void {
    const isWithin = tookMs <= this.#margin * foreseenMs;
    const moved = this.#margin +
      (isWithin ? -(1 - WITHIN_PART) : WITHIN_PART) * STEP;
    this.#margin = Math.min(MOST_MARGIN, Math.max(LEAST_MARGIN, moved));
  }
}
