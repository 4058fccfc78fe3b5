/**
 * Adaptive safety margin for predicted times to the first event: a running
 * estimate of a quantile of the ratio of actual to predicted times. It decides
 * when a queued request counts as late.
 *
 * When a pool is full, queued requests are placed just before their latest
 * start time, so a systematic prediction error makes most of them late at once.
 */

/** Initial ratio. */
const INITIAL_MARGIN_RATIO = 1.4;

/**
 * Bounds of the ratio, against outliers of single targets that fail or stall.
 */
const MIN_MARGIN_RATIO = 1.1;
const MAX_MARGIN_RATIO = 4;

/**
 * Quantile: the share of first events that should arrive within the margin. A
 * higher one would give up requests that could still be on time; a lower one
 * would queue requests that are on time behind requests that turn out late.
 */
const WITHIN_SHARE = 0.8;

/**
 * Step of the estimate per observation: it follows a change of load within tens
 * of requests.
 */
const STEP_RATIO = 0.05;

/**
 * Factor by which predicted times to the first event are multiplied, so that a
 * fixed share of first events arrive in time.
 */
export class PredictionMargin {
  #ratio = INITIAL_MARGIN_RATIO;

  /** Factor on the predicted time, from 1.1 to 4. */
  get ratio(): number {
    return this.#ratio;
  }

  /**
   * Updates the margin from an observed first event.
   *
   * @param durationMs Time to the first event.
   * @param predictedMs Time predicted for an idle target.
   */
  record(durationMs: number, predictedMs: number): void {
    const isWithin = durationMs <= this.#ratio * predictedMs;
    const adjustedRatio = this.#ratio +
      (isWithin ? -(1 - WITHIN_SHARE) : WITHIN_SHARE) * STEP_RATIO;
    this.#ratio = Math.min(
      MAX_MARGIN_RATIO,
      Math.max(MIN_MARGIN_RATIO, adjustedRatio),
    );
  }
}
