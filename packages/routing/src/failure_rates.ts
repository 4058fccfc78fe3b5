/** Failure rates, and the test whether one is significantly higher. */

/** Number of answers and of failures among them. */
export interface Tally {
  answers: number;
  failures: number;
}

/**
 * Least number of answers of the new version for the verdict that it is bad.
 */
export const MIN_BAD_ANSWERS = 8;

/**
 * Standard deviations of the confidence intervals. It is high, as rates are
 * compared again after every few answers.
 */
const Z_SCORE = 3;

/** Failure rate that is assumed of a version without answers. */
const DEFAULT_FAILURE_RATE = 0.5;

/**
 * Weight of the assumed rate, as a number of answers. The confidence interval of
 * fewer answers contains almost any rate.
 */
const DEFAULT_RATE_WEIGHT = 8;

/**
 * Weight of an observed failure, as a number of failures. Above 1, as few answers
 * may show a lower rate than the version's own.
 */
const FAILURE_WEIGHT = 1.5;

/** @returns A tally without answers. */
export function emptyTally(): Tally {
  return { answers: 0, failures: 0 };
}

/**
 * Adds one answer to a tally.
 *
 * @param tally The tally, which is changed.
 * @param failed Whether the answer was a failure.
 */
export function countAnswer(tally: Tally, failed: boolean): void {
  tally.answers++;
  tally.failures += Number(failed);
}

/**
 * Tests whether a failure rate is significantly higher than another one, by the
 * bounds of their confidence intervals.
 *
 * @param tally Answers to test.
 * @param baseline Answers to compare them with.
 * @param margin Difference of the rates, from 0 to 1, that is tolerated in
 * addition.
 * @returns Whether the rate of `tally` is higher.
 */
export function isRateHigher(
  tally: Tally,
  baseline: Tally,
  margin: number,
): boolean {
  const [lower] = wilsonBounds(tally);
  const upper = Math.min(wilsonBounds(baseline)[1], assumedRateOf(baseline));
  return tally.answers >= MIN_BAD_ANSWERS && lower > upper + margin;
}

/**
 * Computes a failure rate.
 *
 * @param tally Counted answers.
 * @returns The share of the answers that failed, from 0 to 1; a default of 0.5
 * if there are none.
 */
export function rateOf({ answers, failures }: Tally): number {
  return answers === 0 ? DEFAULT_FAILURE_RATE : failures / answers;
}

/**
 * Highest failure rate to assume by the answers and the rate that is assumed
 * without any. A good answer never raises it.
 */
function assumedRateOf({ answers, failures }: Tally): number {
  const assumedFailures = DEFAULT_FAILURE_RATE * DEFAULT_RATE_WEIGHT;
  const rate = (FAILURE_WEIGHT * failures + assumedFailures) /
    (answers + DEFAULT_RATE_WEIGHT);
  return Math.max(DEFAULT_FAILURE_RATE, rate);
}

/** Wilson score interval of a rate, which is also valid for few answers. */
function wilsonBounds(tally: Tally): [number, number] {
  if (tally.answers === 0) {
    return [DEFAULT_FAILURE_RATE, DEFAULT_FAILURE_RATE];
  }
  const n = tally.answers;
  const rate = rateOf(tally);
  const zSquared = Z_SCORE * Z_SCORE;
  const scale = 1 + zSquared / n;
  const center = (rate + zSquared / (2 * n)) / scale;
  const variance = rate * (1 - rate) / n + zSquared / (4 * n * n);
  const spread = Z_SCORE * Math.sqrt(variance) / scale;
  return [center - spread, center + spread];
}
