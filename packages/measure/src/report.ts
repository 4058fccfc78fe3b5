/** Prints measurements as text. */

import type { ScenarioMeasurement } from "./measurement.ts";
import { type BrokenInRun, ratio, type VariantSummary } from "./summary.ts";

type Row = Record<string, string | number>;

/** Stories printed for each kind of promise that was broken. */
const MAX_EXAMPLES_PER_KIND = 3;

const PERCENT = 100;

/**
 * Writes a ratio as a percentage.
 *
 * @param part The part.
 * @param whole The whole.
 * @returns Such as `12.3 %`.
 */
export function formatPercent(part: number, whole: number): string {
  return `${(PERCENT * ratio(part, whole)).toFixed(1)} %`;
}

/**
 * Describes goodput, waste, promises and costs by scenario.
 *
 * @param measurements What was measured.
 * @returns One row for each scenario.
 */
export function overviewRows(
  measurements: readonly ScenarioMeasurement[],
): Row[] {
  return measurements.map((measurement) => {
    const { scheduler, baseline } = measurement;
    return {
      deployment: measurement.deployment,
      scenario: measurement.scenario,
      calls: scheduler.calls,
      "value in time": Math.round(scheduler.valueInTime),
      "x baseline": formatRatio(scheduler.valueInTime, baseline.valueInTime),
      "top tier": topTierShare(scheduler),
      "baseline top": topTierShare(baseline),
      "wasted prefill": formatPercent(
        scheduler.wastedTokens,
        scheduler.prefilledTokens,
      ),
      "baseline waste": formatPercent(
        baseline.wastedTokens,
        baseline.prefilledTokens,
      ),
      "bytes/request": Math.round(scheduler.controlBytesPerRequest),
      "bytes/node/s": Math.round(scheduler.controlBytesPerNodeSecond),
      "core ms/request": scheduler.coreMsPerRequest.toFixed(2),
      broken: totalCount(scheduler.broken),
    };
  });
}

/**
 * Describes goodput and waits by tier.
 *
 * @param measurements What was measured.
 * @returns One row for each scenario and tier.
 */
export function tierRows(measurements: readonly ScenarioMeasurement[]): Row[] {
  return measurements.flatMap(({ deployment, scenario, ...measured }) => {
    const { scheduler, baseline } = measured;
    return tiersByValue(scheduler).map((tier) => {
      const own = scheduler.tiers[tier];
      const other = baseline.tiers[tier];
      const wait = scheduler.waits[tier];
      const otherWait = baseline.waits[tier];
      return {
        deployment,
        scenario,
        tier,
        items: own.items,
        "in time": formatPercent(own.answeredInTime, own.items),
        "baseline in time": formatPercent(other.answeredInTime, other.items),
        "value x baseline": formatRatio(own.valueInTime, other.valueInTime),
        "wait p50/p95/p99 ms": formatWaits(wait),
        "baseline wait": formatWaits(otherWait),
      };
    });
  });
}

/**
 * Describes what prefix affinity saves.
 *
 * @param measurements What was measured.
 * @returns One row for each scenario that ran with and without it.
 */
export function affinityRows(
  measurements: readonly ScenarioMeasurement[],
): Row[] {
  return measurements.flatMap((measurement) => {
    const { deployment, scenario, scheduler, withoutAffinity } = measurement;
    if (withoutAffinity === undefined) {
      return [];
    }
    return [{
      deployment,
      scenario,
      "repeated tokens": scheduler.repeatedPrefixTokens,
      "without affinity": withoutAffinity.repeatedPrefixTokens,
      "share of prefill": formatPercent(
        scheduler.repeatedPrefixTokens,
        scheduler.prefilledTokens,
      ),
      "share without": formatPercent(
        withoutAffinity.repeatedPrefixTokens,
        withoutAffinity.prefilledTokens,
      ),
      "prefilled tokens": scheduler.prefilledTokens,
      "prefilled without": withoutAffinity.prefilledTokens,
      "value x without": formatRatio(
        scheduler.valueInTime,
        withoutAffinity.valueInTime,
      ),
    }];
  });
}

/**
 * Describes broken promises, with a few stories of each kind.
 *
 * @param measurements What was measured.
 * @returns Lines of text; none where every promise held.
 */
export function brokenPromiseLines(
  measurements: readonly ScenarioMeasurement[],
): string[] {
  return measurements.flatMap(({ deployment, scenario, scheduler, broken }) =>
    Object.entries(scheduler.broken).flatMap(([kind, count]) => [
      `${deployment} ${scenario}: ${kind} broken ${count} times`,
      ...broken.filter((each) => each.kind === kind)
        .slice(0, MAX_EXAMPLES_PER_KIND)
        .flatMap(exampleLines),
    ])
  );
}

/**
 * Adds up broken promises.
 *
 * @param counts Counts by kind.
 * @returns Their sum.
 */
export function totalCount(counts: VariantSummary["broken"]): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}

function exampleLines(broken: BrokenInRun): string[] {
  const { seed, atMs, subject, detail, story } = broken;
  return [
    `  seed ${seed}, ${Math.round(atMs)} ms, ${subject}: ${detail}`,
    ...story.map((step) => `    ${step}`),
  ];
}

function formatRatio(own: number, other: number): string {
  return other === 0 ? "-" : `${ratio(own, other).toFixed(2)}`;
}

/** Tiers in order of the worth of one answer, the highest first. */
function tiersByValue({ tiers }: VariantSummary): string[] {
  const valuePerItem = (tier: string) => tiers[tier].value / tiers[tier].items;
  return Object.keys(tiers).sort((a, b) => valuePerItem(b) - valuePerItem(a));
}

function topTierShare(summary: VariantSummary): string {
  const top = summary.tiers[tiersByValue(summary)[0]];
  return formatPercent(top.answeredInTime, top.items);
}

function formatWaits(
  wait: VariantSummary["waits"][string] | undefined,
): string {
  return wait === undefined ? "-" : `${wait.p50Ms}/${wait.p95Ms}/${wait.p99Ms}`;
}
