/** Sums over the runs of one scenario with one scheduler variant. */

import { build, type Histogram } from "hdr-histogram-js";
import type { BrokenPromise, PromiseKind } from "./promise_checker.ts";
import type { RunResult } from "./run_scenario.ts";
import type { TierTally } from "./run_recorder.ts";

/** Percentiles of the time from sending a call to the start of its work. */
export interface WaitSummary {
  /** Number of calls whose work started. */
  readonly count: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
}

/** Sums over the runs of one scenario with one variant and all seeds. */
export interface VariantSummary {
  readonly runs: number;
  /** Number of calls sent, retries included. */
  readonly calls: number;
  readonly tiers: Readonly<Record<string, TierTally>>;
  /** Sum of the values of the items answered in time. */
  readonly valueInTime: number;
  /** Times until work started, by tier. */
  readonly waits: Readonly<Record<string, WaitSummary>>;
  /** Number of calls without an answer, by reason. */
  readonly refusals: Readonly<Record<string, number>>;
  readonly prefilledTokens: number;
  /** Prefilled tokens of requests whose answer no caller received. */
  readonly wastedTokens: number;
  /** Share (0 to 1) of the wasted in the prefilled tokens. */
  readonly wastedShare: number;
  /** Tokens that a target of the same pool had prefilled before. */
  readonly repeatedPrefixTokens: number;
  /** Bytes of messages between instances, per call. */
  readonly controlBytesPerRequest: number;
  /** Bytes of messages between instances, per second and instance. */
  readonly controlBytesPerNodeSecond: number;
  /** Bytes of messages between instances, by kind of message. */
  readonly controlBytesByKind: Readonly<Record<string, number>>;
  /** Time in the scheduler cores per call; depends on the machine. */
  readonly coreMsPerRequest: number;
  /** Number of violations by kind of promise. */
  readonly broken: Readonly<Partial<Record<PromiseKind, number>>>;
}

/** A broken promise with the seed of the run in which it was found. */
export interface BrokenInRun extends BrokenPromise {
  readonly seed: number;
}

const MS_PER_SECOND = 1000;

/**
 * Adds up the results of runs.
 *
 * @param results Results of one scenario and variant, one for each seed.
 * @returns Sums over all runs, and ratios of them.
 */
export function summarize(results: readonly RunResult[]): VariantSummary {
  const calls = sum(results, (result) => result.calls);
  const tiers = mergeTiers(results);
  const prefilledTokens = sum(results, (result) => result.prefilledTokens);
  const wastedTokens = sum(results, (result) => result.wastedTokens);
  const bytes = sum(results, ({ control }) => control.bytes);
  const nodeSeconds = sum(
    results,
    (result) => result.instances * result.simulatedMs / MS_PER_SECOND,
  );
  return {
    runs: results.length,
    calls,
    tiers,
    valueInTime: sum(Object.values(tiers), (tally) => tally.valueInTime),
    waits: mergeWaits(results),
    refusals: sumCounts(results.map((result) => result.refusals)),
    prefilledTokens,
    wastedTokens,
    wastedShare: ratio(wastedTokens, prefilledTokens),
    repeatedPrefixTokens: sum(
      results,
      (result) => result.repeatedPrefixTokens,
    ),
    controlBytesPerRequest: ratio(bytes, calls),
    controlBytesPerNodeSecond: ratio(bytes, nodeSeconds),
    controlBytesByKind: sumCounts(
      results.map(({ control }) => control.bytesByKind),
    ),
    coreMsPerRequest: ratio(
      sum(results, ({ control }) => control.coreMs),
      calls,
    ),
    broken: countBroken(results),
  };
}

/**
 * Divides, and returns 0 instead of dividing by 0.
 *
 * @param part The dividend.
 * @param whole The divisor.
 * @returns The ratio; 0 if the divisor is 0.
 */
export function ratio(part: number, whole: number): number {
  return whole === 0 ? 0 : part / whole;
}

function sum<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((total, item) => total + value(item), 0);
}

function mergeTiers(results: readonly RunResult[]): Record<string, TierTally> {
  const tiers: Record<string, TierTally> = {};
  for (const result of results) {
    for (const [tier, tally] of result.tiers) {
      const previous = tiers[tier];
      tiers[tier] = previous === undefined ? tally : addTally(previous, tally);
    }
  }
  return tiers;
}

function addTally(a: TierTally, b: TierTally): TierTally {
  return {
    items: a.items + b.items,
    value: a.value + b.value,
    answeredInTime: a.answeredInTime + b.answeredInTime,
    valueInTime: a.valueInTime + b.valueInTime,
    answeredLate: a.answeredLate + b.answeredLate,
    unanswered: a.unanswered + b.unanswered,
  };
}

function mergeWaits(
  results: readonly RunResult[],
): Record<string, WaitSummary> {
  const histogramsByTier = new Map<string, Histogram>();
  for (const result of results) {
    for (const [tier, histogram] of result.waits) {
      const mergedHistogram = histogramsByTier.get(tier) ?? build();
      mergedHistogram.add(histogram);
      histogramsByTier.set(tier, mergedHistogram);
    }
  }
  return Object.fromEntries(
    [...histogramsByTier].map((
      [tier, histogram],
    ) => [tier, summarizeWaits(histogram)]),
  );
}

function summarizeWaits(histogram: Histogram): WaitSummary {
  return {
    count: histogram.totalCount,
    p50Ms: histogram.getValueAtPercentile(50),
    p95Ms: histogram.getValueAtPercentile(95),
    p99Ms: histogram.getValueAtPercentile(99),
  };
}

function sumCounts(
  counts: readonly Readonly<Record<string, number>>[],
): Record<string, number> {
  const total: Record<string, number> = {};
  for (const [key, count] of counts.flatMap((each) => Object.entries(each))) {
    total[key] = (total[key] ?? 0) + count;
  }
  return total;
}

function countBroken(
  results: readonly RunResult[],
): Partial<Record<PromiseKind, number>> {
  const counts: Partial<Record<PromiseKind, number>> = {};
  for (const { kind } of results.flatMap(({ broken }) => broken)) {
    counts[kind] = (counts[kind] ?? 0) + 1;
  }
  return counts;
}
