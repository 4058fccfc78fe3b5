/**
 * Compares the answers of a new version's targets with those of the old one's,
 * given to requests of the same routes in the same seconds.
 *
 * A fault of a few targets is no fault of their version, and one that both
 * versions show is none of the new one's. A version may fail a part of its
 * answers, or give them several times slower, on all routes or on one.
 */

import {
  isRateHigher,
  MIN_BAD_ANSWERS,
  rateOf,
  sumOf,
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

/** What the answers say of the new version. */
export enum Verdict {
  TooFew = "too_few",
  Sound = "sound",
  Bad = "bad",
}

/** A verdict with what it goes by, for the log. */
export interface VerdictFacts {
  readonly verdict: Verdict;
  /** Which comparison showed it, and on which route; absent unless bad. */
  readonly reason?: string;
  readonly canaryAnswers: number;
  readonly canaryFailures: number;
  readonly baselineAnswers: number;
  readonly baselineFailures: number;
}

/** What the verdict has to do with. */
export interface VerdictScope {
  /** Targets of the new version that may get requests now. */
  readonly newTargetIds: readonly string[];
  /**
   * Whether all work goes to the new version by now: its times are those of
   * another load than the old one's were.
   */
  readonly isPromoted: boolean;
}

/** Answers of the new version before it may be called sound. */
const MIN_SOUND_ANSWERS = 20;

/**
 * Targets whose failures may be their own, fewer than half in any case. The
 * answers of the others have to be so many and as good as the old version's for
 * the new one to be called sound.
 */
const MOST_FAULTY_TARGETS = 2;
const MIN_OTHER_ANSWERS = 10;

/**
 * Failures after which a version is bad that is not sound, however few of its
 * targets they come from: waiting on would only fail more requests.
 */
const MOST_UNDECIDED_FAILURES = 25;

/** Part by which the rate of failures has to be higher, beyond chance. */
const FAILURES_MARGIN = 0.1;

/**
 * Part of its targets that have to fail more often, and the least number. In
 * small pools it is enough if more than half of them do.
 */
const MIN_FAILING_PART = 0.5;
const MIN_FAILING_TARGETS = 3;

/** Answers of one target in a scope for it to be counted there. */
const MIN_TARGET_ANSWERS = 3;

/** Part by which the rate of answers that are slow for their target is higher. */
const STALLS_MARGIN = 0.12;

/** The new version is slow where its quartiles are so many times the old one's. */
const SLOW_FACTOR = 2.2;

/** The same once it has all the load, beyond what a burst of requests costs. */
const PROMOTED_SLOW_FACTOR = 3;

/** Targets whose times have to show it, if there are as many. */
const MIN_SLOW_TARGETS = 8;

/** Tells by what the new version is worse, if it is. */
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
    isRateHigher(canary.stalls(), baseline.stalls(), STALLS_MARGIN)
      ? "stalls"
      : undefined,
  (canary, baseline, { length: newTargets }) => {
    return isVersionSlower(canary, baseline, {
        newTargets,
        factor: SLOW_FACTOR,
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
    const factor = PROMOTED_SLOW_FACTOR;
    return isVersionSlower(canary, baseline, { newTargets, factor })
      ? "slow under all of the load"
      : undefined;
  },
];

/** Answers of both versions of one pool. */
export class VersionEvidence {
  readonly #canary = new VersionAnswers();
  readonly #baseline = new VersionAnswers();

  /** @param answer An answer of either version. */
  add(answer: VersionAnswer): void {
    (answer.isCanary ? this.#canary : this.#baseline).add(answer);
  }

  /**
   * @param scope What it has to do with.
   * @returns What the answers say by now.
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
    const unlessBad = isSound(canary, baseline.all, newTargetIds)
      ? Verdict.Sound
      : Verdict.TooFew;
    return {
      verdict: reason === undefined ? unlessBad : Verdict.Bad,
      reason,
      canaryAnswers: answers,
      canaryFailures: failures,
      baselineAnswers: baseline.all.total.answers,
      baselineFailures: baseline.all.total.failures,
    };
  }
}

/** Whether enough of its targets answer as well as the old version's. */
function isSound(
  canary: VersionAnswers,
  baseline: ScopeTally,
  newTargetIds: readonly string[],
): boolean {
  const others = withoutFaultyTargets(canary.all, newTargetIds);
  const latest = withoutFaultyTargets(canary.latest(), newTargetIds);
  return canary.all.total.answers >= MIN_SOUND_ANSWERS &&
    others.answers >= MIN_OTHER_ANSWERS &&
    [others, latest].every((tally) => isAsGood(tally, baseline.total));
}

/**
 * Whether it fails so much more often that it should not be tried any longer,
 * though most of its targets may be sound.
 */
function failsTooOften(
  canary: ScopeTally,
  baseline: ScopeTally,
  newTargetIds: readonly string[],
): boolean {
  const others = withoutFaultyTargets(canary, newTargetIds);
  return canary.total.failures >= MOST_UNDECIDED_FAILURES &&
    isRateHigher(canary.total, baseline.total, FAILURES_MARGIN) &&
    !isAsGood(others, baseline.total);
}

/** Answers of the version's targets, less those whose failures may be their own. */
function withoutFaultyTargets(
  scope: ScopeTally,
  newTargetIds: readonly string[],
): Tally {
  const tallies = newTargetIds.flatMap((id) => scope.byTarget.get(id) ?? [])
    .sort((a, b) => b.failures - a.failures);
  const fewerThanHalf = Math.max(0, Math.ceil(tallies.length / 2) - 1);
  return sumOf(tallies.slice(Math.min(MOST_FAULTY_TARGETS, fewerThanHalf)));
}

/** Too few answers of the old version don't excuse failures of the new one. */
function isAsGood({ answers, failures }: Tally, baseline: Tally): boolean {
  const usualRate = baseline.answers < MIN_BAD_ANSWERS ? 0 : rateOf(baseline);
  return failures <= (usualRate + FAILURES_MARGIN) * answers;
}

/** Whether the version fails more often, and not only some of its targets. */
function failsMore(
  canary: ScopeTally,
  baseline: ScopeTally,
  newTargets: number,
): boolean {
  if (!isRateHigher(canary.total, baseline.total, FAILURES_MARGIN)) {
    return false;
  }
  const limit = rateOf(baseline.total) + FAILURES_MARGIN;
  const counted = [...canary.byTarget.values()]
    .filter(({ answers }) => answers >= MIN_TARGET_ANSWERS);
  const failing = counted.filter((tally) => rateOf(tally) > limit);
  const moreThanHalf = Math.floor(newTargets / 2) + 1;
  return failing.length >= Math.min(moreThanHalf, MIN_FAILING_TARGETS) &&
    failing.length >= MIN_FAILING_PART * counted.length;
}

/**
 * Targets of one pool differ in speed: both the quick part and the middle of the
 * new version's have to be slower than the old one's.
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

/** What the other routes show as well is a matter of which targets answered. */
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
  const factor = SLOW_FACTOR * Math.max(1, otherRatio);
  return areSlower(quartilesOf(own), quartilesOf(usual), factor);
}
