/** Simulation of one scenario with one seed, and its results. */

import type { Histogram } from "hdr-histogram-js";
import type { DeploymentPlan } from "./deployment_plan.ts";
import { type SchedulerVariant, Simulation } from "./simulation.ts";
import type { BrokenPromise } from "./promise_checker.ts";
import type { TierTally } from "./run_recorder.ts";
import { REPEAT_OPTIONS, type Scenario, SCENARIOS } from "./scenarios.ts";
import type { WorkItem } from "./work_item.ts";
import { createWorkItems } from "./work_item_generator.ts";

/** Scenario, scheduler variant and seed of a run. */
export interface RunOptions {
  readonly plan: DeploymentPlan;
  readonly scenario: Scenario;
  readonly variant: SchedulerVariant;
  readonly seed: number;
  /** Whether the scheduler places requests by cached prefixes. */
  readonly useAffinity: boolean;
  /** Upper bound on the duration of the load; the scenario's own if absent. */
  readonly maxDurationMs?: number;
}

/** Messages between instances and CPU time of their cores in one run. */
export interface ControlTally {
  readonly messages: number;
  readonly bytes: number;
  readonly bytesByKind: Readonly<Record<string, number>>;
  /** Time spent in the scheduler cores, in real milliseconds. */
  readonly coreMs: number;
  /** Number of events that the scheduler cores handled. */
  readonly coreEvents: number;
}

/** Counts and costs of one run. */
export interface RunResult {
  /** Number of calls sent, retries included. */
  readonly calls: number;
  readonly simulatedMs: number;
  /** Number of entry instances. */
  readonly instances: number;
  readonly tiers: ReadonlyMap<string, TierTally>;
  /** Times until work started, in milliseconds, by tier. */
  readonly waits: ReadonlyMap<string, Histogram>;
  /** Number of calls without an answer, by reason. */
  readonly refusals: Readonly<Record<string, number>>;
  readonly prefilledTokens: number;
  /** Prefilled tokens of requests whose answer no caller received. */
  readonly wastedTokens: number;
  /** Tokens that a target of the same pool had prefilled before. */
  readonly repeatedPrefixTokens: number;
  readonly control: ControlTally;
  readonly broken: readonly BrokenPromise[];
}

/** Time for the instances to connect to each other before the load starts. */
const WARM_UP_DURATION_MS = 5000;
/** Time after the last deadline until the run ends. */
const DRAIN_DURATION_MS = 10_000;

/**
 * Simulates a scenario once.
 *
 * @param options Scenario, scheduler variant and seed.
 * @returns Counts, costs and broken promises of the run.
 */
export function runScenario(options: RunOptions): RunResult {
  const { plan, seed } = options;
  const scenario = SCENARIOS[options.scenario];
  const items = createWorkItems({
    deployment: plan.deployment,
    seed,
    durationMs: Math.min(
      scenario.durationMs,
      options.maxDurationMs ?? Infinity,
    ),
    phases: scenario.loadPhases(plan),
    repeats: REPEAT_OPTIONS,
  }, plan).map((item) => ({ ...item, atMs: item.atMs + WARM_UP_DURATION_MS }));
  const simulation = new Simulation(options);
  simulation.start();
  simulation.scheduleItems(items);
  scenario.scheduleFaults(simulation, WARM_UP_DURATION_MS);
  const lastDeadlineMs = Math.max(...items.map(deadlineAtMs));
  simulation.queue.runUntil(lastDeadlineMs + DRAIN_DURATION_MS);
  simulation.checker.finish();
  return collectResult(simulation);
}

function deadlineAtMs(item: WorkItem): number {
  return item.atMs + item.deadlineMs;
}

function collectResult(simulation: Simulation): RunResult {
  const { recorder, controlCosts, checker } = simulation;
  const tokens = countTokens(simulation);
  return {
    calls: recorder.callCount,
    simulatedMs: simulation.queue.nowMs,
    instances: simulation.instances.length,
    tiers: recorder.tallyTiers(),
    waits: recorder.waitHistogramsByTier(),
    refusals: Object.fromEntries(recorder.refusalsByReason),
    ...tokens,
    repeatedPrefixTokens: recorder.prefixTally.repeatedTokens,
    control: {
      messages: controlCosts.messages,
      bytes: controlCosts.bytes,
      bytesByKind: controlCosts.bytesByKind,
      coreMs: controlCosts.coreMs,
      coreEvents: controlCosts.coreEvents,
    },
    broken: checker.broken,
  };
}

function countTokens(
  simulation: Simulation,
): { prefilledTokens: number; wastedTokens: number } {
  let prefilledTokens = 0;
  let wastedTokens = 0;
  for (const target of simulation.targets.values()) {
    for (
      const [requestId, tokens] of target.usage().prefilledTokensByRequestId
    ) {
      prefilledTokens += tokens;
      wastedTokens += simulation.recorder.wasDelivered(requestId) ? 0 : tokens;
    }
  }
  return { prefilledTokens, wastedTokens };
}
