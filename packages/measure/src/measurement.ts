/** Runs scenarios with the scheduler and the baseline, on the same seeds. */

import type { Deployment } from "@chestnuthatch/standins/work_kinds";
import { readDeploymentPlan } from "./deployment_plan.ts";
import { SchedulerVariant } from "./simulation.ts";
import { type RunOptions, runScenario } from "./run_scenario.ts";
import type { Scenario } from "./scenarios.ts";
import { type BrokenInRun, summarize, type VariantSummary } from "./summary.ts";

/** What to measure. */
export interface MeasurementOptions {
  readonly deployments: readonly Deployment[];
  readonly scenarios: readonly Scenario[];
  readonly seeds: number;
  /** Whether schedulers place by prefix affinity. */
  readonly useAffinity: boolean;
  /** Whether the scheduler runs a second time without affinity. */
  readonly compareAffinity: boolean;
}

/** One scenario of one deployment. */
export interface ScenarioMeasurement {
  readonly deployment: Deployment;
  readonly scenario: Scenario;
  readonly scheduler: VariantSummary;
  readonly baseline: VariantSummary;
  /** The scheduler without prefix affinity, where that was compared. */
  readonly withoutAffinity?: VariantSummary;
  /** Promises that the scheduler broke. */
  readonly broken: readonly BrokenInRun[];
}

/**
 * Measures everything that was asked for.
 *
 * @param options What to measure.
 * @param onMeasured Told each scenario once it is done.
 * @returns One measurement for each deployment and scenario.
 */
export function measure(
  options: MeasurementOptions,
  onMeasured: (measurement: ScenarioMeasurement) => void,
): ScenarioMeasurement[] {
  const measurements: ScenarioMeasurement[] = [];
  for (const deployment of options.deployments) {
    for (const scenario of options.scenarios) {
      const measurement = measureScenario(options, { deployment, scenario });
      measurements.push(measurement);
      onMeasured(measurement);
    }
  }
  return measurements;
}

function measureScenario(
  options: MeasurementOptions,
  scope: { deployment: Deployment; scenario: Scenario },
): ScenarioMeasurement {
  const plan = readDeploymentPlan(scope.deployment);
  const runEachSeed = (
    variantOptions: Pick<RunOptions, "variant" | "useAffinity">,
  ) =>
    Array.from({ length: options.seeds }, (_, index) => ({
      seed: index + 1,
      result: runScenario({
        plan,
        scenario: scope.scenario,
        seed: index + 1,
        ...variantOptions,
      }),
    }));
  const { useAffinity } = options;
  const scheduler = runEachSeed({
    variant: SchedulerVariant.Scheduler,
    useAffinity,
  });
  const baseline = runEachSeed({
    variant: SchedulerVariant.Baseline,
    useAffinity: false,
  });
  const withoutAffinity = options.compareAffinity
    ? runEachSeed({ variant: SchedulerVariant.Scheduler, useAffinity: false })
    : undefined;
  const toResults = (runs: typeof scheduler) =>
    runs.map(({ result }) => result);
  return {
    ...scope,
    scheduler: summarize(toResults(scheduler)),
    baseline: summarize(toResults(baseline)),
    withoutAffinity: withoutAffinity && summarize(toResults(withoutAffinity)),
    broken: scheduler.flatMap(({ seed, result }) =>
      result.broken.map((broken) => ({ seed, ...broken }))
    ),
  };
}
