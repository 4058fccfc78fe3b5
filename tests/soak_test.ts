import { test } from "uvu";
import * as assert from "uvu/assert";
import { planSoak } from "./soak_plan.ts";
import { playSoak } from "./soak_run.ts";

/** Enough for the faults of a seed to overlap, and short enough for CI. */
const OPTIONS = { lengthMs: 4000 };

for (const seed of [1, 2]) {
  test(`soak: seed ${seed} breaks no promise`, async () => {
    const outcome = await playSoak(planSoak(seed, OPTIONS));
    assert.equal(outcome.broken, []);
    assert.ok(outcome.whole > 0);
  });
}

test("a plan is the same for the same seed", () => {
  assert.equal(planSoak(7, OPTIONS), planSoak(7, OPTIONS));
  assert.not.equal(planSoak(7, OPTIONS), planSoak(8, OPTIONS));
});

test.run();
