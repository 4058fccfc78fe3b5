/** Expected durations of runs at targets, from those that this instance saw. */

/** Weights of one run in the moving averages, those of RFC 6298 for TCP. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** Mean deviations above the mean within which almost all runs end. */
const DEVIATION_RATIO = 4;

interface DurationEstimate {
  readonly meanMs: number;
  readonly deviationMs: number;
}

/** Durations of complete runs by route. */
export class RunDurations {
  readonly #byRoute = new Map<string, DurationEstimate>();

  /**
   * Records a run whose answer was complete.
   *
   * @param route Name of the route.
   * @param tookMs Time from sending the request to the end of the answer.
   */
  record(route: string, tookMs: number): void {
    const before = this.#byRoute.get(route) ??
      { meanMs: tookMs, deviationMs: tookMs / 2 };
    const errorMs = tookMs - before.meanMs;
    const deviationMs = before.deviationMs +
      DEVIATION_WEIGHT * (Math.abs(errorMs) - before.deviationMs);
    const meanMs = before.meanMs + MEAN_WEIGHT * errorMs;
    this.#byRoute.set(route, { meanMs, deviationMs });
  }

  /**
   * Returns the time within which almost all runs of a route end.
   *
   * @param route Name of the route.
   * @returns A duration in milliseconds; undefined if no run has ended.
   */
  expectedMs(route: string): number | undefined {
    const estimate = this.#byRoute.get(route);
    return estimate &&
      estimate.meanMs + DEVIATION_RATIO * estimate.deviationMs;
  }
}
