/** Rates of failures, and when one is higher than another beyond chance. */

/** Answers, counted. */
export interface Tally {
  answers: number;
  failures: number;
}

/** Answers of the new version before it may be called bad. */
export const MIN_BAD_ANSWERS = 8;

/** Standard deviations by which rates have to differ; looked at many times. */
const DEVIATIONS = 3;

/** Usual rate of failures where the old version has given no answers. */
const UNKNOWN_RATE = 0.5;

/** @returns A tally of nothing. */
export function emptyTally(): Tally {
  return { answers: 0, failures: 0 };
}

/**
 * Counts one answer more.
 *
 * @param tally What to add it to.
 * @param failed Whether it was a failure.
 */
export function count(tally: Tally, failed: boolean): void {
  tally.answers++;
  tally.failures += Number(failed);
}

/**
 * @param tallies Tallies of different answers.
 * @returns All of them as one.
 */
export function sumOf(tallies: readonly Tally[]): Tally {
  const sum = emptyTally();
  for (const { answers, failures } of tallies) {
    sum.answers += answers;
    sum.failures += failures;
  }
  return sum;
}

/**
 * @param tally Some answers.
 * @param baseline Others to compare them with.
 * @param margin Part by which the rate has to be higher, beyond chance.
 * @returns Whether it is.
 */
export function isRateHigher(
  tally: Tally,
  baseline: Tally,
  margin: number,
): boolean {
  const [least] = wilsonBounds(tally);
  const [, most] = wilsonBounds(baseline);
  return tally.answers >= MIN_BAD_ANSWERS && least > most + margin;
}

/**
 * @param tally Some answers.
 * @returns Part of them that failed.
 */
export function rateOf({ answers, failures }: Tally): number {
  return answers === 0 ? UNKNOWN_RATE : failures / answers;
}

/** Wilson's interval for a rate, which holds for few answers, too. */
function wilsonBounds(tally: Tally): [number, number] {
  if (tally.answers === 0) {
    return [UNKNOWN_RATE, UNKNOWN_RATE];
  }
  const n = tally.answers;
  const rate = rateOf(tally);
  const squared = DEVIATIONS * DEVIATIONS;
  const scale = 1 + squared / n;
  const center = (rate + squared / (2 * n)) / scale;
  const variance = rate * (1 - rate) / n + squared / (4 * n * n);
  const spread = DEVIATIONS * Math.sqrt(variance) / scale;
  return [center - spread, center + spread];
}
