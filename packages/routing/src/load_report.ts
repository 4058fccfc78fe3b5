/**
 * Reports of targets on their load, and how predictions and learned times
 * depend on the slowdown that they state.
 */

/** Load that a target reported with an answer, as its holder passes it on. */
export interface LoadReport {
  /** Number of requests that run at the target. */
  readonly running: number;
  /** Number of requests that wait there. */
  readonly waiting: number;
  /** Time that work takes at this moment, relative to the usual time. */
  readonly slowdownRatio: number;
  /** Time since the report arrived at the holder. */
  readonly ageMs: number;
}

/** Largest number of requests that a report may state. */
export const MAX_REPORTED_REQUESTS = 100_000;

/** Range of the slowdown that a report may state. */
export const MIN_REPORTED_RATIO = 0.1;
export const MAX_REPORTED_RATIO = 100;

/**
 * Bounds of the slowdown that is used, against forged reports. Slow periods of
 * shared machines take about 2.5 times as long as usual.
 */
const MIN_USED_RATIO = 0.25;
const MAX_USED_RATIO = 8;

/**
 * Time constant with which a report loses its weight. Slow periods last about
 * 600 ms, so one is over soon after its report.
 */
const DECAY_MS = 300;

/** Checks of the fields of a report, in the order of its fields. */
const IS_VALID_FIELD: Readonly<
  Record<keyof LoadReport, (value: number) => boolean>
> = {
  running: isRequestCount,
  waiting: isRequestCount,
  slowdownRatio: (ratio) =>
    ratio >= MIN_REPORTED_RATIO && ratio <= MAX_REPORTED_RATIO,
  ageMs: (ageMs) => ageMs >= 0,
};

/**
 * Validates a report that another instance passed on.
 *
 * @param report The report.
 * @returns Name of the first field that is out of range; undefined if none is.
 */
export function invalidFieldOf(
  report: LoadReport,
): keyof LoadReport | undefined {
  const fields = Object.keys(IS_VALID_FIELD) as (keyof LoadReport)[];
  return fields.find((field) => !IS_VALID_FIELD[field](report[field]));
}

/**
 * Limits a reported slowdown to the range that is used.
 *
 * @param slowdownRatio Slowdown as it was reported.
 * @returns The slowdown, from 0.25 to 8.
 */
export function usedRatio(slowdownRatio: number): number {
  return Math.min(MAX_USED_RATIO, Math.max(MIN_USED_RATIO, slowdownRatio));
}

/**
 * Computes the slowdown to assume some time after a report.
 *
 * @param ratio Limited slowdown of the report.
 * @param ageMs Time since the report.
 * @returns A ratio that approaches 1 with the age.
 */
export function decayedRatio(ratio: number, ageMs: number): number {
  return ratio === 1 ? 1 : 1 + (ratio - 1) * Math.exp(-ageMs / DECAY_MS);
}

/**
 * Computes the mean slowdown to assume for the time since a report, such as the
 * time between the first and the last event of a stream.
 *
 * @param ratio Limited slowdown of the report.
 * @param ageMs Time since the report.
 * @returns Mean of {@link decayedRatio} over that time.
 */
export function meanRatioSince(ratio: number, ageMs: number): number {
  if (ratio === 1 || ageMs <= 0) {
    return ratio;
  }
  const decays = ageMs / DECAY_MS;
  return 1 + (ratio - 1) * (1 - Math.exp(-decays)) / decays;
}

/**
 * Estimates how long work would have taken at the target's usual speed.
 *
 * The division never moves the observed time past the expected one. So a report
 * that the observed time does not confirm, such as a forged or an old one,
 * teaches no speed that was not observed.
 *
 * @param tookMs Observed time.
 * @param expectedMs Time that the target's latency model predicts.
 * @param of Slowdown that was reported with the answer.
 * @returns The observed time divided by the slowdown, up to the expected time.
 */
export function usualDurationMs(
  tookMs: number,
  expectedMs: number,
  { ratio }: { ratio: number },
): number {
  const usualMs = tookMs / ratio;
  return ratio >= 1
    ? Math.max(usualMs, Math.min(tookMs, expectedMs))
    : Math.min(usualMs, Math.max(tookMs, expectedMs));
}

function isRequestCount(count: number): boolean {
  return Number.isInteger(count) && count >= 0 &&
    count <= MAX_REPORTED_REQUESTS;
}
