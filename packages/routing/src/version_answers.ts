/** Answers of one version: failures by target and route, and times. */

import { count, emptyTally, type Tally } from "./failure_rates.ts";

/** One answer, or the lack of one. */
export interface VersionAnswer {
  readonly isCanary: boolean;
  readonly targetId: string;
  readonly route: string;
  /** The target answered with a failure, or its answer broke off or is wrong. */
  readonly failed: boolean;
  /**
   * Time that it took, in parts of what is usual for its size; absent where
   * nothing came, or the target had not warmed up.
   */
  readonly slowness?: number;
}

/** An answer is a stall beyond so many times the lower quartile of its target. */
const STALL_FACTOR = 2.5;

/** Times of a target from which quartiles are taken. */
const MIN_TARGET_TIMES = 4;

/** The same of a route. */
export const MIN_ROUTE_TIMES = 15;

/**
 * Latest answers of the new version that are looked at by themselves: it may
 * turn bad late, after many good answers.
 */
const LATEST_ANSWERS = 40;

/** Latest times that are kept of a target, and of a route. */
const KEPT_TIMES = 60;

/** Lower quartile and median of some times. */
export interface Quartiles {
  readonly lower: number;
  readonly median: number;
}

/** Answers of one version on one route or on all. */
export class ScopeTally {
  readonly total = emptyTally();
  readonly byTarget = new Map<string, Tally>();

  /**
   * @param targetId Who answered.
   * @param failed Whether the answer was a failure.
   */
  add(targetId: string, failed: boolean): void {
    count(this.total, failed);
    count(entryOf(this.byTarget, targetId, emptyTally), failed);
  }
}

/** Answers of one version. */
export class VersionAnswers {
  readonly all = new ScopeTally();
  readonly byRoute = new Map<string, ScopeTally>();
  readonly timesByTarget = new Map<string, number[]>();
  readonly timesByRoute = new Map<string, number[]>();
  readonly #latest: VersionAnswer[] = [];

  /** @param answer An answer of this version. */
  add(answer: VersionAnswer): void {
    const { targetId, route, failed, slowness } = answer;
    keep(this.#latest, answer, LATEST_ANSWERS);
    this.all.add(targetId, failed);
    entryOf(this.byRoute, route, () => new ScopeTally()).add(targetId, failed);
    if (slowness !== undefined) {
      const ofTarget = entryOf(this.timesByTarget, targetId, emptyTimes);
      keep(ofTarget, slowness, KEPT_TIMES);
      const ofRoute = entryOf(this.timesByRoute, route, emptyTimes);
      keep(ofRoute, slowness, KEPT_TIMES);
    }
  }

  /** @returns The latest answers alone. */
  latest(): ScopeTally {
    const tally = new ScopeTally();
    this.#latest.forEach(({ targetId, failed }) => tally.add(targetId, failed));
    return tally;
  }

  /** @returns Quartiles of each target that answered often enough. */
  quartiles(): Quartiles[] {
    return [...this.timesByTarget.values()]
      .filter(({ length }) => length >= MIN_TARGET_TIMES).map(quartilesOf);
  }

  /** @returns Answers with times, those as failures that were slow for their target. */
  stalls(): Tally {
    const tally = emptyTally();
    for (const times of this.timesByTarget.values()) {
      if (times.length >= MIN_TARGET_TIMES) {
        const limit = STALL_FACTOR * quartilesOf(times).lower;
        times.forEach((time) => count(tally, time > limit));
      }
    }
    return tally;
  }

  /**
   * @param route A route.
   * @returns Times on all other routes.
   */
  timesOfOthers(route: string): number[] {
    return [...this.timesByRoute].filter(([name]) => name !== route)
      .flatMap(([, times]) => times);
  }
}

/**
 * @param figures Some figures, one at least.
 * @returns Their quartiles.
 */
export function quartilesOf(figures: readonly number[]): Quartiles {
  const sorted = [...figures].sort((a, b) => a - b);
  const at = (part: number) => sorted[Math.floor(part * (sorted.length - 1))]!;
  return { lower: at(0.25), median: at(0.5) };
}

function emptyTimes(): number[] {
  return [];
}

function keep<T>(latest: T[], one: T, most: number): void {
  latest.push(one);
  if (latest.length > most) {
    latest.shift();
  }
}

function entryOf<T>(map: Map<string, T>, key: string, make: () => T): T {
  let entry = map.get(key);
  if (entry === undefined) {
    entry = make();
    map.set(key, entry);
  }
  return entry;
}
