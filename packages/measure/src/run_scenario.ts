/** Runs one scenario once and sums up what came of it. */

import type { Histogram } from "hdr-histogram-js";
import type { DeploymentPlan } from "./deployments.ts";
import { ManualWorld, type Variant } from "./manual_world.ts";
import type { BrokenPromise } from "./promises.ts";
import type { TierTally } from "./run_journal.ts";
import { REPEATS, type Scenario, SCENARIOS } from "./scenarios.ts";
import type { WorkItem } from "./work_item.ts";
import { makeWorkItems } from "./work_items.ts";

/** What to run. */
export interface RunOptions {
  readonly plan: DeploymentPlan;
  readonly scenario: Scenario;
  readonly variant: Variant;
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
const WARM_UP_MS = 5000;
/** Time after the last deadline until everything must have ended. */
const DRAIN_MS = 10_000;

/**
 * Runs a scenario once.
 *
 * @param options What to run.
 * @returns What came of it.
 */
export function runScenario(options: RunOptions): RunResult {
  const { plan, seed } = options;
  const scenario = SCENARIOS[options.scenario];
  const items = makeWorkItems({
    deployment: plan.deployment,
    seed,
    durationMs: Math.min(
      scenario.durationMs,
      options.maxDurationMs ?? Infinity,
    ),
    phases: scenario.phases(plan),
    repeats: REPEATS,
  }, plan).map((item) => ({ ...item, atMs: item.atMs + WARM_UP_MS }));
  const world = new ManualWorld(options);
  world.start();
  world.schedule(items);
  scenario.faults(world, WARM_UP_MS);
  const lastDeadlineMs = Math.max(...items.map(lastAnswerMs));
  world.queue.runUntil(lastDeadlineMs + DRAIN_MS);
  world.checker.finish();
  return resultOf(world);
}

function lastAnswerMs(item: WorkItem): number {
  return item.atMs + item.deadlineMs;
}

function resultOf(world: ManualWorld): RunResult {
  const { journal, costs, checker } = world;
  const work = tokensOf(world);
  return {
    calls: journal.calls,
    simulatedMs: world.queue.nowMs,
    instances: world.instances.length,
    tiers: journal.tiers(),
    waits: journal.waits(),
    refusals: Object.fromEntries(journal.refusals),
    ...work,
    repeatedPrefixTokens: journal.prefixes.repeatedTokens,
    control: {
      messages: costs.messages,
      bytes: costs.bytes,
      bytesByKind: costs.bytesByKind,
      coreMs: costs.coreMs,
      coreEvents: costs.coreEvents,
    },
    broken: checker.broken,
  };
}

function tokensOf(
  world: ManualWorld,
): { prefilledTokens: number; wastedTokens: number } {
  let prefilledTokens = 0;
  let wastedTokens = 0;
  for (const target of world.targets.values()) {
    for (const [requestId, tokens] of target.workDone().prefilledByRequestId) {
      prefilledTokens += tokens;
      wastedTokens += world.journal.wasDelivered(requestId) ? 0 : tokens;
    }
  }
  return { prefilledTokens, wastedTokens };
}
