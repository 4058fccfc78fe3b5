import { Deployment } from "@chestnuthatch/standins/work_kinds";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { readDeploymentPlan } from "./deployment_plan.ts";
import { SchedulerVariant } from "./simulation.ts";
import { runScenario } from "./run_scenario.ts";
import { Scenario } from "./scenarios.ts";
import { summarize } from "./summary.ts";

const SHORT_DURATION_MS = 6000;

function runShortScenario(variant: SchedulerVariant, seed: number) {
  return runScenario({
    plan: readDeploymentPlan(Deployment.ShambaSafi),
    scenario: Scenario.Calm,
    variant,
    seed,
    useAffinity: true,
    maxDurationMs: SHORT_DURATION_MS,
  });
}

test("should answer every item in time and break no promise under calm load", () => {
  const result = runShortScenario(SchedulerVariant.Scheduler, 1);
  const summary = summarize([result]);
  assert.equal(result.broken, []);
  assert.ok(summary.calls > 0);
  assert.ok(summary.controlBytesPerRequest > 0);
  for (const tally of Object.values(summary.tiers)) {
    assert.is(tally.answeredInTime, tally.items);
  }
});

test("should repeat a run exactly for the same seed", () => {
  const [first, second] = [0, 1].map(() =>
    summarize([runShortScenario(SchedulerVariant.Scheduler, 2)])
  );
  const { coreMsPerRequest: _first, ...firstFacts } = first;
  const { coreMsPerRequest: _second, ...secondFacts } = second;
  assert.equal(firstFacts, secondFacts);
});

test("should run the baseline on the same items", () => {
  const scheduler = summarize([
    runShortScenario(SchedulerVariant.Scheduler, 1),
  ]);
  const baseline = summarize([runShortScenario(SchedulerVariant.Baseline, 1)]);
  const itemCounts = ({ tiers }: typeof baseline) =>
    Object.entries(tiers).map(([tier, { items }]) => `${tier} ${items}`).sort();
  assert.equal(itemCounts(baseline), itemCounts(scheduler));
});

test.run();
