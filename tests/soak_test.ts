/** Short seeds of the soak, and those on which a promise was once broken. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { type PlanOptions, planSoak } from "./soak_plan.ts";
import { SoakSignal } from "./soak_signals_plan.ts";
import { playSoak } from "./soak_run.ts";

/** Enough for the faults of a seed to overlap, and short enough for CI. */
const OPTIONS = { lengthMs: 4000 };

/** A bad and a sound version beside the faults. */
const ROLLOUT_SEEDS = [3, 5];

/** Seeds on which answers not written out yet were cut by a stopping instance. */
const CUT_WHILE_STOPPING = [205, 216];

/** A target there got 61 requests in 4 s at a limit of 0.7 a second. */
const LIMIT_SEED = 4;

/** Enough for a limit to settle and for windows after that. */
const LIMIT_OPTIONS = { lengthMs: 12_000, signals: [SoakSignal.Limit] };

/** Requests there went to a target that left, and to one at rest. */
const NEEDS_SEED = 3;
const NEEDS_OPTIONS = {
  lengthMs: 8000,
  signals: [SoakSignal.Leaving, SoakSignal.Rest],
};

/** Enough for one of their stops. */
const ONE_STOP = { lengthMs: 2000 };

for (const seed of [1, 2]) {
  test(`soak: seed ${seed} breaks no promise`, () => playWell(seed, OPTIONS));
}

for (const seed of ROLLOUT_SEEDS) {
  test(`soak: seed ${seed} keeps a roll-out within its bounds`, () =>
    playWell(seed, { ...OPTIONS, rollout: true }));
}

for (const seed of CUT_WHILE_STOPPING) {
  test(`soak: seed ${seed} cuts no answer again`, () =>
    playWell(seed, ONE_STOP));
}

// Guards against placements that go by slots alone where a target names a limit.
test(`soak: seed ${LIMIT_SEED} keeps to the limits that targets name`, () =>
  playWell(LIMIT_SEED, LIMIT_OPTIONS));

// Guards against beliefs about targets that rest on the list and on failures alone.
test(`soak: seed ${NEEDS_SEED} leaves targets alone that ask for it`, () =>
  playWell(NEEDS_SEED, NEEDS_OPTIONS));

test("a plan is the same for the same seed", () => {
  assert.equal(planSoak(7, OPTIONS), planSoak(7, OPTIONS));
  assert.not.equal(planSoak(7, OPTIONS), planSoak(8, OPTIONS));
});

async function playWell(
  seed: number,
  options: PlanOptions,
): Promise<void> {
  const outcome = await playSoak(planSoak(seed, options));
  assert.equal(outcome.broken, []);
  assert.ok(outcome.whole > 0);
}

test.run();
