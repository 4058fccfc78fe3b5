/**
 * Statistics of the answers of one software version: failures by target and
 * route, and response times.
 */

import { countAnswer, emptyTally, type Tally } from "./failure_rates.ts";

/** Outcome and time of one request, answered or not. */
export interface VersionAnswer {
  /** Whether it comes from the new version. */
  readonly isCanary: boolean;
  readonly targetId: string;
  readonly route: string;
  /**
   * Whether the target answered with an error, or with a broken or wrong
   * answer.
   */
  readonly failed: boolean;
  /**
   * Response time relative to the usual time for a request of its size. Absent
   * if no answer arrived, or if the target had not warmed up.
   */
  readonly slowness?: number;
}

/**
 * An answer is a stall if it took this many times its target's lower quartile.
 */
const STALL_RATIO = 2.5;

/** Least number of times of a target for quartiles to be computed. */
const MIN_TARGET_TIMES = 4;

/** Least number of times of a route for its quartiles to be compared. */
export const MIN_ROUTE_TIMES = 15;

/**
 * Number of latest answers that are also evaluated on their own, as a version
 * may turn bad after many good answers.
 */
const MAX_LATEST_ANSWERS = 40;

/** Number of latest times that are kept for each target and each route. */
const MAX_KEPT_TIMES = 60;

/** Lower quartile and median of a sample. */
export interface Quartiles {
  readonly lower: number;
  readonly median: number;
}

/**
 * Number of answers and failures, in total and by target, on a set of routes.
 */
export class ScopeTally {
  readonly total = emptyTally();
  readonly byTarget = new Map<string, Tally>();

  /**
   * Counts an answer.
   *
   * @param targetId Id of the target that answered.
   * @param failed Whether the answer was a failure.
   */
  add(targetId: string, failed: boolean): void {
    countAnswer(this.total, failed);
    countAnswer(getOrCreate(this.byTarget, targetId, emptyTally), failed);
  }
}

/** Counts and times of the answers of one version. */
export class VersionAnswers {
  readonly all = new ScopeTally();
  readonly byRoute = new Map<string, ScopeTally>();
  /** Latest response times by target, relative to the usual times. */
  readonly timesByTarget = new Map<string, number[]>();
  /** Latest response times by route, relative to the usual times. */
  readonly timesByRoute = new Map<string, number[]>();
  readonly #latest: VersionAnswer[] = [];

  /** @param answer An answer of this version. */
  add(answer: VersionAnswer): void {
    const { targetId, route, failed, slowness } = answer;
    pushBounded(this.#latest, answer, MAX_LATEST_ANSWERS);
    this.all.add(targetId, failed);
    getOrCreate(this.byRoute, route, () => new ScopeTally()).add(
      targetId,
      failed,
    );
    if (slowness !== undefined) {
      const timesOfTarget = getOrCreate(
        this.timesByTarget,
        targetId,
        emptyTimes,
      );
      pushBounded(timesOfTarget, slowness, MAX_KEPT_TIMES);
      const timesOfRoute = getOrCreate(this.timesByRoute, route, emptyTimes);
      pushBounded(timesOfRoute, slowness, MAX_KEPT_TIMES);
    }
  }

  /** @returns Counts of the latest answers only. */
  latest(): ScopeTally {
    const tally = new ScopeTally();
    this.#latest.forEach(({ targetId, failed }) => tally.add(targetId, failed));
    return tally;
  }

  /** @returns Quartiles of the times of each target that has enough of them. */
  quartiles(): Quartiles[] {
    return [...this.timesByTarget.values()]
      .filter(({ length }) => length >= MIN_TARGET_TIMES).map(quartilesOf);
  }

  /**
   * Counts stalls: answers that were slow in comparison with others of the same
   * target.
   *
   * @returns The number of answers with times, and of stalls as failures.
   */
  stalls(): Tally {
    const tally = emptyTally();
    for (const times of this.timesByTarget.values()) {
      if (times.length >= MIN_TARGET_TIMES) {
        const limit = STALL_RATIO * quartilesOf(times).lower;
        times.forEach((time) => countAnswer(tally, time > limit));
      }
    }
    return tally;
  }

  /**
   * @param route A route.
   * @returns Times of the answers on all other routes.
   */
  timesOfOthers(route: string): number[] {
    return [...this.timesByRoute].filter(([name]) => name !== route)
      .flatMap(([, times]) => times);
  }
}

/**
 * Computes the lower quartile and the median of a sample.
 *
 * @param figures The sample, with at least one value.
 * @returns The quartiles.
 */
export function quartilesOf(figures: readonly number[]): Quartiles {
  const sorted = [...figures].sort((a, b) => a - b);
  const at = (fraction: number) =>
    sorted[Math.floor(fraction * (sorted.length - 1))]!;
  return { lower: at(0.25), median: at(0.5) };
}

function emptyTimes(): number[] {
  return [];
}

function pushBounded<T>(items: T[], item: T, maxLength: number): void {
  items.push(item);
  if (items.length > maxLength) {
    items.shift();
  }
}

function getOrCreate<T>(map: Map<string, T>, key: string, make: () => T): T {
  let entry = map.get(key);
  if (entry === undefined) {
    entry = make();
    map.set(key, entry);
  }
  return entry;
}
