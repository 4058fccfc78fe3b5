import { Deployment } from "@chestnuthatch/standins/work_kinds";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { planOf } from "./deployments.ts";
import { Variant } from "./manual_world.ts";
import { runScenario } from "./run_scenario.ts";
import { Scenario } from "./scenarios.ts";
import { summarize } from "./summary.ts";

const SHORT_MS = 6000;

function shortRun(variant: Variant, seed: number) {
  return runScenario({
    plan: planOf(Deployment.ShambaSafi),
    scenario: Scenario.Calm,
    variant,
    seed,
    useAffinity: true,
    maxDurationMs: SHORT_MS,
  });
}

test("should break no promise on a calm day and answer everything", () => {
  const result = shortRun(Variant.Scheduler, 1);
  const summary = summarize([result]);
  assert.equal(result.broken, []);
  assert.ok(summary.calls > 0);
  assert.ok(summary.controlBytesPerRequest > 0);
  for (const tally of Object.values(summary.tiers)) {
    assert.is(tally.answeredInTime, tally.items);
  }
});

test("should give the same run for the same seed", () => {
  const [first, second] = [0, 1].map(() =>
    summarize([shortRun(Variant.Scheduler, 2)])
  );
  const { coreMsPerRequest: _first, ...facts } = first;
  const { coreMsPerRequest: _second, ...sameFacts } = second;
  assert.equal(facts, sameFacts);
});

test("should run the baseline on the same work", () => {
  const scheduler = summarize([shortRun(Variant.Scheduler, 1)]);
  const baseline = summarize([shortRun(Variant.Baseline, 1)]);
  const itemsOf = ({ tiers }: typeof baseline) =>
    Object.entries(tiers).map(([tier, { items }]) => `${tier} ${items}`).sort();
  assert.equal(itemsOf(baseline), itemsOf(scheduler));
});

test.run();
