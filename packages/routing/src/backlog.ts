/**
 * Detection of standing backlogs in the queue of one pool.
 *
 * Load pattern: more on-time work of a rank than its capacity, for longer than
 * an objective. Under earliest-deadline-first order each request then starts
 * just before it would be late, and every small error of a prediction makes it
 * late. While a rank has a standing backlog, its on-time requests are served
 * newest first instead. A burst, whose queue becomes short again within an
 * objective, is no standing backlog.
 */

import type { WaitingWork } from "./queue_order.ts";

/**
 * A backlog begins once all waits of this time were long. The waits before the
 * end of the last one don't count, so this is the minimum time in between too.
 */
const BEGIN_WINDOW_MS = 500;

/** A backlog ends if some wait of this time was short. */
const END_WINDOW_MS = 250;

/** Share of its objective above which a request's wait is long. */
const LONG_WAIT_SHARE = 1 / 4;

/** Share of its objective below which a request's wait is short. */
const SHORT_WAIT_SHARE = 1 / 8;

/**
 * Minimum time between a begin and the end: each change of the order reverses
 * the queue.
 */
const MIN_STANDING_MS = 500;

/**
 * Lower bound of the time without a placement after which earlier waits tell
 * nothing about the queue; it is the objective if that is longer.
 */
const MIN_SILENCE_MS = 500;

/**
 * A backlog begins only while its on-time requests number at least this ratio
 * of their recent peak: after a burst, the queue shrinks while the waits still
 * grow, and all of it may be served on time in order of arrival.
 */
const MIN_PEAK_RATIO = 0.9;

/** Time constant in objectives with which the recent peak decays. */
const PEAK_DECAY_OBJECTIVES = 4;

const NO_RANKS: ReadonlySet<number> = new Set();

/** The queued on-time requests of one rank. */
export interface OnTimeQueue {
  readonly count: number;
  /** The one that has waited longest; absent if there are none. */
  readonly longest?: WaitingWork;
}

/** A standing backlog of one rank. */
export interface StandingBacklog {
  readonly rank: number;
  /** Local time at which it was detected, in milliseconds. */
  readonly beganAtMs: number;
  /** Minimum wait since the waits became long, in milliseconds. */
  readonly minWaitMs: number;
}

/** Recent waits of one rank. */
interface RankWaits {
  /** Time since which all waits are long; absent after one that was not. */
  longSinceMs?: number;
  /** Time since which no wait is short; absent after one that was. */
  notShortSinceMs?: number;
  shortAtMs: number;
  /** Decayed peak of the number of on-time requests. */
  peakCount: number;
  /** Minimum wait since `longSinceMs`, and while a backlog stands. */
  minWaitMs: number;
  /** Time after `observedAtMs` for which the waits are significant. */
  validForMs: number;
  observedAtMs: number;
  /** Begin of the standing backlog; absent while there is none. */
  beganAtMs?: number;
}

/** Standing backlogs of one pool by rank. */
export class Backlog {
  readonly #byRank = new Map<number, RankWaits>();

  /**
   * Records the wait of a rank as one of its requests is placed. It is that of
   * the on-time request that has waited longest: the placed one itself, if
   * requests are placed in order of arrival. Newest-first order makes the wait
   * of the placed one short.
   *
   * @param rank The rank.
   * @param of The on-time requests of the rank, the placed one included, and
   * the current local time in milliseconds.
   */
  recordPlaced(
    rank: number,
    { count, longest, nowMs }: OnTimeQueue & { nowMs: number },
  ): void {
    const waits = this.#current(rank, nowMs);
    const waitMs = longest === undefined ? 0 : nowMs - longest.waitingSinceMs;
    const objectiveMs = longest?.ask.objectiveLeftMs ?? 0;
    recordPeak(waits, { count, objectiveMs, nowMs });
    waits.observedAtMs = nowMs;
    waits.validForMs = Math.max(MIN_SILENCE_MS, objectiveMs);
    const isShort = longest === undefined ||
      waitMs < SHORT_WAIT_SHARE * objectiveMs;
    waits.shortAtMs = isShort ? nowMs : waits.shortAtMs;
    waits.notShortSinceMs = isShort
      ? undefined
      : waits.notShortSinceMs ?? nowMs;
    const isLong = waitMs > LONG_WAIT_SHARE * objectiveMs;
    if (isLong || waits.beganAtMs !== undefined) {
      waits.longSinceMs ??= nowMs;
      waits.minWaitMs = Math.min(waits.minWaitMs, waitMs);
    } else {
      forgetLongWaits(waits);
    }
    if (waits.beganAtMs !== undefined) {
      endIfShort(waits, nowMs);
    } else if (mayBegin(waits, { count, objectiveMs, nowMs })) {
      waits.beganAtMs = nowMs;
    }
  }

  /**
   * Returns the ranks whose on-time requests are served newest first.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns The ranks with a standing backlog.
   */
  ranks(nowMs: number): ReadonlySet<number> {
    const standing = this.standing(nowMs);
    return standing.length === 0
      ? NO_RANKS
      : new Set(standing.map(({ rank }) => rank));
  }

  /**
   * Lists the standing backlogs.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns One for each rank that has one.
   */
  standing(nowMs: number): StandingBacklog[] {
    return [...this.#byRank.keys()].flatMap((rank) => {
      const { beganAtMs, minWaitMs } = this.#current(rank, nowMs);
      return beganAtMs === undefined ? [] : [{ rank, beganAtMs, minWaitMs }];
    });
  }

  /** Waits of a rank, without those that are too old to be significant. */
  #current(rank: number, nowMs: number): RankWaits {
    const known = this.#byRank.get(rank);
    if (
      known !== undefined && nowMs - known.observedAtMs <= known.validForMs
    ) {
      return known;
    }
    const waits: RankWaits = {
      shortAtMs: -Infinity,
      peakCount: 0,
      minWaitMs: Infinity,
      validForMs: Infinity,
      observedAtMs: nowMs,
    };
    this.#byRank.set(rank, waits);
    return waits;
  }
}

/** A placement: on-time requests of its rank, and their objective. */
interface Placement {
  readonly count: number;
  readonly objectiveMs: number;
  readonly nowMs: number;
}

function recordPeak(
  waits: RankWaits,
  { count, objectiveMs, nowMs }: Placement,
): void {
  const decayMs = PEAK_DECAY_OBJECTIVES * Math.max(1, objectiveMs);
  const decay = Math.exp((waits.observedAtMs - nowMs) / decayMs);
  waits.peakCount = Math.max(count, decay * waits.peakCount);
}

function mayBegin(
  { longSinceMs, notShortSinceMs, peakCount }: RankWaits,
  { count, objectiveMs, nowMs }: Placement,
): boolean {
  return longSinceMs !== undefined && notShortSinceMs !== undefined &&
    nowMs - longSinceMs >= BEGIN_WINDOW_MS &&
    nowMs - notShortSinceMs >= objectiveMs &&
    count >= MIN_PEAK_RATIO * peakCount;
}

function endIfShort(waits: RankWaits, nowMs: number): void {
  const isEnded = nowMs - waits.beganAtMs! >= MIN_STANDING_MS &&
    nowMs - waits.shortAtMs <= END_WINDOW_MS;
  if (isEnded) {
    waits.beganAtMs = undefined;
    forgetLongWaits(waits);
  }
}

function forgetLongWaits(waits: RankWaits): void {
  waits.longSinceMs = undefined;
  waits.minWaitMs = Infinity;
}
