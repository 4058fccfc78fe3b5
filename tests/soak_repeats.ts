/** Checks that a fleet repeats no more requests than its retry budget allows. */

import { DEFAULT_ROUTES } from "@chestnuthatch/platform/standin_fleet";
import type { CallRecord } from "./soak_callers.ts";
import type { BrokenPromise } from "./soak_checks.ts";
import { SECOND_ROUTE, type SoakTarget } from "./soak_fleet.ts";
import { RETRY_BUDGET_SLACK } from "./soak_instance.ts";
import { SoakFault, type SoakPlan } from "./soak_plan.ts";

/** Bound on the repeats of a pool, as the operators set it by default. */
const RATIO = 0.2;
const WINDOW_MS = 10_000;

/** Faults that reload settings with another slack: their duration in ms. */
const RELOADS: ReadonlySet<SoakFault> = new Set([
  SoakFault.InstanceReloaded,
  SoakFault.InstanceReloadedWhileStopping,
]);

const ROUTES = [...DEFAULT_ROUTES, SECOND_ROUTE];

/** Calls and targets of a seed. */
export interface RepeatEvidence {
  readonly records: readonly CallRecord[];
  readonly targets: readonly SoakTarget[];
}

/**
 * Checks the repeats at each pool in each window.
 *
 * @param plan Plan of the seed.
 * @param evidence Calls and targets.
 * @returns Pools that got more repeats than allowed.
 */
export function findExcessRepeats(
  plan: SoakPlan,
  { records, targets }: RepeatEvidence,
): BrokenPromise[] {
  const pools = [...new Set(targets.map(({ pool }) => pool))];
  return pools.flatMap((pool) => {
    const sentAtMs = records
      .filter(({ kind }) => poolOf(kind.path) === pool)
      .map(({ startedAtMs }) => startedAtMs);
    const repeatsAtMs = repeatTimes(
      targets.filter((target) => target.pool === pool),
    );
    const worst = repeatsAtMs.map((fromMs) => {
      const repeats = countFrom(repeatsAtMs, fromMs);
      // Requests of the windows before count where there were more.
      const requests = Math.max(
        ...[0, 0.5, 1].map((windows) =>
          countFrom(sentAtMs, fromMs - windows * WINDOW_MS)
        ),
      );
      return { repeats, allowed: RATIO * requests + maxSlackOf(plan) };
    }).find(({ repeats, allowed }) => repeats > allowed);
    return worst === undefined ? [] : [{
      promise: "repeats keep to the retry budget",
      requestId: "",
      instanceId: "",
      detail: `${pool}: ${worst.repeats} repeats, ${worst.allowed} allowed`,
    }];
  });
}

/** Times of the arrivals beyond the first of each request, in order. */
function repeatTimes(targets: readonly SoakTarget[]): number[] {
  const arrivals = targets.flatMap(({ target }) => target.receivedRequests)
    .sort((a, b) => a.atMs - b.atMs);
  const seen = new Set<string>();
  return arrivals.filter(({ requestId }) => {
    const isRepeat = seen.has(requestId);
    seen.add(requestId);
    return isRepeat;
  }).map(({ atMs }) => atMs);
}

function countFrom(timesMs: readonly number[], fromMs: number): number {
  return timesMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS)
    .length;
}

/** The largest slack that any instance may have had. */
function maxSlackOf({ faults }: SoakPlan): number {
  const reloaded = faults.filter(({ fault }) => RELOADS.has(fault))
    .map(({ forMs }) => forMs + 1);
  return Math.max(RETRY_BUDGET_SLACK, ...reloaded);
}

function poolOf(path: string): string | undefined {
  return ROUTES.find(({ prefix }) => prefix === path)?.service;
}
