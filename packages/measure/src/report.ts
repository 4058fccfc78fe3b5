/** Rows of the printed tables, and lines on broken promises. */

import type { ScenarioMeasurement } from "./measurement.ts";
import { type BrokenInRun, ratio, type VariantSummary } from "./summary.ts";

type Row = Record<string, string | number>;

/** Violations printed for each scenario and kind of promise. */
const MAX_EXAMPLES_PER_KIND = 3;

const PERCENT = 100;

/**
 * Formats the share of a part in a whole as a percentage.
 *
 * @param part The amount to express as a share.
 * @param whole The amount that counts as 100 %; 0 gives `0.0 %`.
 * @returns The percentage with one decimal, such as `12.3 %`.
 */
export function formatPercent(part: number, whole: number): string {
  return `${(PERCENT * ratio(part, whole)).toFixed(1)} %`;
}

/**
 * Builds the table of goodput, wasted prefill, costs and broken promises.
 *
 * @param measurements The measured scenarios.
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
 * Builds the table of goodput and waiting times by tier.
 *
 * @param measurements The measured scenarios.
 * @returns One row for each scenario and tier.
 */
export function tierRows(measurements: readonly ScenarioMeasurement[]): Row[] {
  return measurements.flatMap(({ deployment, scenario, ...measured }) => {
    const { scheduler, baseline } = measured;
    return tiersByValue(scheduler).map((tier) => {
      const schedulerTally = scheduler.tiers[tier];
      const baselineTally = baseline.tiers[tier];
      const schedulerWaits = scheduler.waits[tier];
      const baselineWaits = baseline.waits[tier];
      return {
        deployment,
        scenario,
        tier,
        items: schedulerTally.items,
        "in time": formatPercent(
          schedulerTally.answeredInTime,
          schedulerTally.items,
        ),
        "baseline in time": formatPercent(
          baselineTally.answeredInTime,
          baselineTally.items,
        ),
        "value x baseline": formatRatio(
          schedulerTally.valueInTime,
          baselineTally.valueInTime,
        ),
        "wait p50/p95/p99 ms": formatWaits(schedulerWaits),
        "baseline wait": formatWaits(baselineWaits),
      };
    });
  });
}

/**
 * Builds the table that compares prefill with and without prefix affinity.
 *
 * @param measurements The measured scenarios.
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
 * Lists the broken promises, with the details of a few violations of each kind.
 *
 * @param measurements The measured scenarios.
 * @returns Lines of text; none if no promise was broken.
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
 * Adds up the counts of broken promises.
 *
 * @param counts Number of violations by kind of promise.
 * @returns Number of violations of all kinds.
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

/** Tiers by the mean value of one item, the highest first. */
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
