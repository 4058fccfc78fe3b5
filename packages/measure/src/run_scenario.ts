/** Runs one scenario once and sums up what came of it. */

import type { Histogram } from "hdr-histogram-js";
import type { DeploymentPlan } from "./deployment_plan.ts";
import { type SchedulerVariant, Simulation } from "./simulation.ts";
import type { BrokenPromise } from "./promise_checker.ts";
import type { TierTally } from "./run_recorder.ts";
import { REPEAT_OPTIONS, type Scenario, SCENARIOS } from "./scenarios.ts";
import type { WorkItem } from "./work_item.ts";
import { createWorkItems } from "./work_item_generator.ts";

/** What to run. */
export interface RunOptions {
  readonly plan: DeploymentPlan;
  readonly scenario: Scenario;
  readonly variant: SchedulerVariant;
  readonly seed: number;
  readonly useAffinity: boolean;
  /** Ends the load earlier than the scenario does. */
  readonly maxDurationMs?: number;
}

/** Bytes and processor time spent on control in one run. */
export interface ControlTally {
  readonly messages: number;
  readonly bytes: number;
  readonly bytesByKind: Readonly<Record<string, number>>;
  readonly coreMs: number;
  readonly coreEvents: number;
}

/** What came of one run. */
export interface RunResult {
  readonly calls: number;
  readonly simulatedMs: number;
  readonly instances: number;
  readonly tiers: ReadonlyMap<string, TierTally>;
  readonly waits: ReadonlyMap<string, Histogram>;
  readonly refusals: Readonly<Record<string, number>>;
  readonly prefilledTokens: number;
  readonly wastedTokens: number;
  readonly repeatedPrefixTokens: number;
  readonly control: ControlTally;
  readonly broken: readonly BrokenPromise[];
}

/** The instances find one another before the load begins. */
const WARM_UP_DURATION_MS = 5000;
/** Time after the last deadline until everything must have ended. */
const DRAIN_DURATION_MS = 10_000;

/**
 * Runs a scenario once.
 *
 * @param options What to run.
 * @returns What came of it.
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
