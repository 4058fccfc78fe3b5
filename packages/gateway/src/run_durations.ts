/** Expected durations of runs at targets, from those that this instance saw. */

/** Weights of one run in the moving averages, those of RFC 6298 for TCP. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** Mean deviations above the mean within which almost all runs end. */
const DEVIATION_RATIO = 4;

/** Durations for one unit of the answer's length. */
interface DurationEstimate {
  readonly meanMs: number;
  readonly deviationMs: number;
}

/** A run that is recorded or predicted. */
export interface RunSize {
  /** Name of the request's route. */
  readonly route: string;
  /**
   * Units of the answer's length, such as tokens, to which durations of the
   * route are proportional; 1 if the length is not known before.
   */
  readonly units: number;
}

/** Durations of complete runs by route, for each unit of the answer's length. */
export class RunDurations {
  readonly #byRoute = new Map<string, DurationEstimate>();

  /**
   * Records a run whose answer was complete.
   *
   * @param run Route and size of the run.
   * @param durationMs Time from sending the request to the end of the answer.
   */
  record({ route, units }: RunSize, durationMs: number): void {
    const tookMs = durationMs / units;
    const before = this.#byRoute.get(route) ??
      { meanMs: tookMs, deviationMs: tookMs / 2 };
    const errorMs = tookMs - before.meanMs;
    const deviationMs = before.deviationMs +
      DEVIATION_WEIGHT * (Math.abs(errorMs) - before.deviationMs);
    const meanMs = before.meanMs + MEAN_WEIGHT * errorMs;
    this.#byRoute.set(route, { meanMs, deviationMs });
  }

  /**
   * Returns the time within which almost all runs of a route and size end.
   *
   * @param run Route and size of the run.
   * @returns A duration in milliseconds; undefined if no run has ended.
   */
  expectedMs({ route, units }: RunSize): number | undefined {
    const estimate = this.#byRoute.get(route);
    return estimate &&
      units * (estimate.meanMs + DEVIATION_RATIO * estimate.deviationMs);
  }
}
