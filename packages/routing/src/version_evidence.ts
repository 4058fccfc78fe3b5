/**
 * Canary analysis: compares the answers of a new version's targets with those
 * of the old version's targets to requests of the same routes at the same time.
 *
 * Faults of a few targets are not attributed to their version, and faults of
 * both versions are not attributed to the new one. A bad version may fail some
 * of its answers or be several times slower, on all routes or on a single one.
 */

import {
  isRateHigher,
  MIN_BAD_ANSWERS,
  rateOf,
  type Tally,
} from "./failure_rates.ts";
import {
  MIN_ROUTE_TIMES,
  type Quartiles,
  quartilesOf,
  ScopeTally,
  type VersionAnswer,
  VersionAnswers,
} from "./version_answers.ts";

/** Result of comparing the answers of the new and the old version. */
export enum Verdict {
  /** There are too few answers for a decision, or they are inconclusive. */
  TooFew = "too_few",
  /** The new version is as good as the old one. */
  Sound = "sound",
  /** The new version is worse than the old one. */
  Bad = "bad",
}

/** A verdict with its reason and counts, for the log. */
export interface VerdictFacts {
  readonly verdict: Verdict;
  /** The comparison that failed, and its route if any; absent unless bad. */
  readonly reason?: string;
  readonly canaryAnswers: number;
  readonly canaryFailures: number;
  readonly baselineAnswers: number;
  readonly baselineFailures: number;
}

/** Circumstances that a verdict depends on, besides the answers. */
export interface VerdictScope {
  /** Ids of the targets of the new version that may get requests now. */
  readonly newTargetIds: readonly string[];
  /**
   * Whether all requests go to the new version. Its load, and so its times,
   * then differ from those of the old version.
   */
  readonly isPromoted: boolean;
}

/**
 * Least number of good answers of the new version for the verdict that it is
 * sound.
 */
const MIN_SOUND_ANSWERS = 20;

/**
 * Number of targets, always fewer than half, whose failures may have causes of
 * their own. For the verdict that the version is sound, they are left out.
 */
const MAX_FAULTY_TARGETS = 2;

/**
 * Least number of good answers of the new version for the verdict that it is
 * sound, without those of the targets that answered well most often.
 */
const MIN_OTHER_ANSWERS = 10;

/**
 * Number of failures after which a version that is not sound is bad, however
 * few of its targets fail. Waiting longer would only fail more requests.
 */
const MAX_UNDECIDED_FAILURES = 25;

/** Tolerated difference of failure rates, in addition to statistical error. */
const FAILURE_RATE_MARGIN = 0.1;

/**
 * Least share of the counted targets that have to fail more often for the
 * failures to be attributed to the version.
 */
const MIN_FAILING_SHARE = 0.5;

/**
 * Least number of targets that have to fail more often for the failures to be
 * attributed to the version. In small pools, more than half of them suffice.
 */
const MIN_FAILING_TARGETS = 3;

/** Least number of answers of a target for it to be counted. */
const MIN_TARGET_ANSWERS = 3;

/** Tolerated difference of stall rates, in addition to statistical error. */
const STALL_RATE_MARGIN = 0.12;

/**
 * The new version is slow if its quartiles are this many times the old one's.
 */
const SLOW_RATIO = 2.2;

/**
 * The factor by which the new version's quartiles may exceed the old one's
 * after promotion. It is larger, as a burst of requests slows targets under
 * full load.
 */
const PROMOTED_SLOW_RATIO = 3;

/**
 * Targets with enough times that the comparison needs, or all if there are
 * fewer.
 */
const MIN_SLOW_TARGETS = 8;

/**
 * Returns the reason why the new version is worse, or undefined if it isn't.
 */
type Comparison = (
  canary: VersionAnswers,
  baseline: VersionAnswers,
  newTargetIds: readonly string[],
) => string | undefined;

const FAILURE_COMPARISONS: readonly Comparison[] = [
  (canary, baseline, { length }) =>
    failsMore(canary.all, baseline.all, length) ? "failures" : undefined,
  (canary, baseline, { length }) =>
    failsMore(canary.latest(), baseline.all, length)
      ? "failures lately"
      : undefined,
  (canary, baseline, { length }) => {
    const worse = [...canary.byRoute].find(([route, tally]) =>
      failsMore(
        tally,
        baseline.byRoute.get(route) ?? new ScopeTally(),
        length,
      )
    );
    return worse && `failures on ${worse[0]}`;
  },
  (canary, baseline, newTargetIds) =>
    failsTooOften(canary.all, baseline.all, newTargetIds)
      ? "failures of too many targets"
      : undefined,
];

const TIME_COMPARISONS: readonly Comparison[] = [
  (canary, baseline) =>
    isRateHigher(canary.stalls(), baseline.stalls(), STALL_RATE_MARGIN)
      ? "stalls"
      : undefined,
  (canary, baseline, { length: newTargets }) => {
    return isVersionSlower(canary, baseline, {
        newTargets,
        factor: SLOW_RATIO,
      })
      ? "slow"
      : undefined;
  },
  (canary, baseline) => {
    const slower = [...canary.timesByRoute.keys()].find((route) =>
      isRouteSlower(route, canary, baseline)
    );
    return slower && `slow on ${slower}`;
  },
];

const PROMOTED_COMPARISONS: readonly Comparison[] = [
  (canary, baseline, { length: newTargets }) => {
    const factor = PROMOTED_SLOW_RATIO;
    return isVersionSlower(canary, baseline, { newTargets, factor })
      ? "slow under all of the load"
      : undefined;
  },
];

/** Answers of both versions of a pool, and the verdict that they support. */
export class VersionEvidence {
  readonly #canary = new VersionAnswers();
  readonly #baseline = new VersionAnswers();

  /** @param answer An answer of either version. */
  add(answer: VersionAnswer): void {
    (answer.isCanary ? this.#canary : this.#baseline).add(answer);
  }

  /**
   * Compares the answers that were added so far.
   *
   * @param scope Circumstances of the comparison.
   * @returns The verdict on the new version, and its reason.
   */
  verdict({ newTargetIds, isPromoted }: VerdictScope): VerdictFacts {
    const canary = this.#canary;
    const baseline = this.#baseline;
    const { answers, failures } = canary.all.total;
    const comparisons = answers < MIN_BAD_ANSWERS ? [] : [
      ...FAILURE_COMPARISONS,
      ...(isPromoted ? PROMOTED_COMPARISONS : TIME_COMPARISONS),
    ];
    const reason = comparisons
      .map((compare) => compare(canary, baseline, newTargetIds))
      .find((found) => found !== undefined);
    const verdictUnlessBad = isSound(canary, baseline.all, newTargetIds)
      ? Verdict.Sound
      : Verdict.TooFew;
    return {
      verdict: reason === undefined ? verdictUnlessBad : Verdict.Bad,
      reason,
      canaryAnswers: answers,
      canaryFailures: failures,
      baselineAnswers: baseline.all.total.answers,
      baselineFailures: baseline.all.total.failures,
    };
  }
}

/**
 * Whether enough targets of the new version answer as well as the old one's.
 * Only good answers count towards the least numbers, so that a failure never
 * makes a version sound.
 */
function isSound(
  canary: VersionAnswers,
  baseline: ScopeTally,
  newTargetIds: readonly string[],
): boolean {
  const maxFaulty = maxFaultyTargets(newTargetIds.length);
  const goodAnswers = talliesOf(newTargetIds, canary.all)
    .map(({ answers, failures }) => answers - failures)
    .sort((a, b) => b - a);
  const ofOthers = goodAnswers.slice(maxFaulty);
  const { answers, failures } = canary.all.total;
  return answers - failures >= MIN_SOUND_ANSWERS &&
    total(ofOthers) >= MIN_OTHER_ANSWERS &&
    [canary.all, canary.latest()].every((scope) =>
      isAsGood(talliesOf(newTargetIds, scope), baseline.total, maxFaulty)
    );
}

/**
 * Whether the new version has so many more failures that the canary phase
 * should end, though most of its targets may be sound.
 */
function failsTooOften(
  canary: ScopeTally,
  baseline: ScopeTally,
  newTargetIds: readonly string[],
): boolean {
  const tallies = talliesOf(newTargetIds, canary);
  const maxFaulty = maxFaultyTargets(tallies.length);
  return canary.total.failures >= MAX_UNDECIDED_FAILURES &&
    isRateHigher(canary.total, baseline.total, FAILURE_RATE_MARGIN) &&
    !isAsGood(tallies, baseline.total, maxFaulty);
}

/**
 * Whether targets of the new version fail as seldom as the old one's, without
 * some that fail most in excess of that and may be faulty themselves. Of the old
 * version, answers that are missing count as good.
 */
function isAsGood(
  tallies: readonly Tally[],
  baseline: Tally,
  maxFaulty: number,
): boolean {
  const usualRate = baseline.failures /
    Math.max(baseline.answers, MIN_BAD_ANSWERS);
  const excesses = tallies
    .map(({ answers, failures }) =>
      failures - (usualRate + FAILURE_RATE_MARGIN) * answers
    )
    .sort((a, b) => b - a);
  return total(excesses.slice(maxFaulty)) <= 0;
}

/** Tallies of those of the targets that have answered. */
function talliesOf(
  targetIds: readonly string[],
  scope: ScopeTally,
): Tally[] {
  return targetIds.flatMap((id) => scope.byTarget.get(id) ?? []);
}

/** Number of targets that may be faulty themselves, fewer than half. */
function maxFaultyTargets(targets: number): number {
  const fewerThanHalf = Math.max(0, Math.ceil(targets / 2) - 1);
  return Math.min(MAX_FAULTY_TARGETS, fewerThanHalf);
}

function total(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

/** Whether the version fails more often, and not just a few of its targets. */
function failsMore(
  canary: ScopeTally,
  baseline: ScopeTally,
  newTargets: number,
): boolean {
  if (!isRateHigher(canary.total, baseline.total, FAILURE_RATE_MARGIN)) {
    return false;
  }
  const limit = rateOf(baseline.total) + FAILURE_RATE_MARGIN;
  const counted = [...canary.byTarget.values()]
    .filter(({ answers }) => answers >= MIN_TARGET_ANSWERS);
  const failing = counted.filter((tally) => rateOf(tally) > limit);
  const moreThanHalf = Math.floor(newTargets / 2) + 1;
  return failing.length >= Math.min(moreThanHalf, MIN_FAILING_TARGETS) &&
    failing.length >= MIN_FAILING_SHARE * counted.length;
}

/**
 * Targets of a pool differ in speed. Therefore both the lower quartile and the
 * median of the new version's targets must be slower than the old one's.
 */
function isVersionSlower(
  canary: VersionAnswers,
  baseline: VersionAnswers,
  of: { newTargets: number; factor: number },
): boolean {
  const own = canary.quartiles().map(({ median }) => median);
  const usual = baseline.quartiles().map(({ median }) => median);
  const isEnough = usual.length > 0 && own.length > 0 &&
    own.length >= Math.min(of.newTargets, MIN_SLOW_TARGETS);
  return isEnough &&
    areSlower(quartilesOf(own), quartilesOf(usual), of.factor);
}

function areSlower(
  own: Quartiles,
  usual: Quartiles,
  factor: number,
): boolean {
  return own.lower > factor * usual.lower && own.median > factor * usual.median;
}

/**
 * A slowdown that the other routes show as well is not attributed to the route,
 * as it depends on which targets answered.
 */
function isRouteSlower(
  route: string,
  canary: VersionAnswers,
  baseline: VersionAnswers,
): boolean {
  const own = canary.timesByRoute.get(route) ?? [];
  const usual = baseline.timesByRoute.get(route) ?? [];
  const others = canary.timesOfOthers(route);
  const usualOthers = baseline.timesOfOthers(route);
  const samples = [own, usual, others, usualOthers];
  if (samples.some(({ length }) => length < MIN_ROUTE_TIMES)) {
    return false;
  }
  const otherRatio = quartilesOf(others).median /
    quartilesOf(usualOthers).median;
  const factor = SLOW_RATIO * Math.max(1, otherRatio);
  return areSlower(quartilesOf(own), quartilesOf(usual), factor);
}
