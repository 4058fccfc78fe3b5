/** Runs of scenarios with the scheduler and the baseline on the same seeds. */

import type { Deployment } from "@chestnuthatch/standins/work_kinds";
import { readDeploymentPlan } from "./deployment_plan.ts";
import { SchedulerVariant } from "./simulation.ts";
import { type RunOptions, runScenario } from "./run_scenario.ts";
import type { Scenario } from "./scenarios.ts";
import { type BrokenInRun, summarize, type VariantSummary } from "./summary.ts";

/** Deployments, scenarios and variants to measure. */
export interface MeasurementOptions {
  readonly deployments: readonly Deployment[];
  readonly scenarios: readonly Scenario[];
  /** Number of runs of each scenario, with the seeds 1 and up. */
  readonly seeds: number;
  /** Whether the scheduler places requests by cached prefixes. */
  readonly useAffinity: boolean;
  /** Whether to run the scheduler a second time without prefix affinity. */
  readonly compareAffinity: boolean;
}

/** Results of one scenario on one deployment. */
export interface ScenarioMeasurement {
  readonly deployment: Deployment;
  readonly scenario: Scenario;
  readonly scheduler: VariantSummary;
  readonly baseline: VariantSummary;
  /** Results without prefix affinity; absent unless compared. */
  readonly withoutAffinity?: VariantSummary;
  /** Promises that were broken in the scheduler's runs. */
  readonly broken: readonly BrokenInRun[];
}

/**
 * Runs each scenario on each deployment.
 *
 * @param options Deployments, scenarios and variants to measure.
 * @param onMeasured Receives each measurement once it is complete.
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
