/** Short seeds of the soak, and those on which a promise was once broken. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { type PlanOptions, planSoak } from "./soak_plan.ts";
import { SoakSignal } from "./soak_signals_plan.ts";
import { runSoak } from "./soak_run.ts";

/** Enough for the faults of a seed to overlap, and short enough for CI. */
const OPTIONS = { lengthMs: 4000 };

/** A bad and a sound version beside the faults. */
const ROLLOUT_SEEDS = [3, 5];

/** Seeds on which answers not written out yet were cut by a stopping instance. */
const STOPPING_SEEDS = [205, 216];

/** A target there got far more than its rate limit. */
const LIMIT_SEED = 4;

/** Enough for a limit to take effect, and for some windows after that. */
const LIMIT_OPTIONS = { lengthMs: 12_000, signals: [SoakSignal.RateLimit] };

/** Requests there went to a leaving target and to one that asked to back off. */
const SIGNAL_SEED = 3;
const SIGNAL_OPTIONS = {
  lengthMs: 8000,
  signals: [SoakSignal.Leaving, SoakSignal.Backoff],
};

/** A version there failed at most of its targets, and was completed. */
const FAILING_VERSION_SEED = 3014;
const FAILING_VERSION_OPTIONS = {
  ...SIGNAL_OPTIONS,
  rollout: true,
  silences: true,
};

/** Enough for one of their stops. */
const ONE_STOP_OPTIONS = { lengthMs: 2000 };

/** Versions of the configuration were not known in time there. */
const LATE_VERSION_SEEDS = [3, 5];
const SILENCE_OPTIONS = { lengthMs: 8000, silences: true };

for (const seed of [1, 2]) {
  test(`soak: seed ${seed} breaks no promise`, () =>
    expectNoBrokenPromise(seed, OPTIONS));
}

for (const seed of ROLLOUT_SEEDS) {
  test(`soak: seed ${seed} keeps a roll-out within its bounds`, () =>
    expectNoBrokenPromise(seed, { ...OPTIONS, rollout: true }));
}

for (const seed of STOPPING_SEEDS) {
  test(`soak: seed ${seed} cuts no answer again`, () =>
    expectNoBrokenPromise(seed, ONE_STOP_OPTIONS));
}

for (const seed of LATE_VERSION_SEEDS) {
  // Guards against waiting for news on connections that have fallen silent.
  test(`soak: seed ${seed} has versions in force though the store falls silent`, () =>
    expectNoBrokenPromise(seed, SILENCE_OPTIONS));
}

// Guards against placements that ignore rate limits of targets.
test(`soak: seed ${LIMIT_SEED} keeps to rate limits of targets`, () =>
  expectNoBrokenPromise(LIMIT_SEED, LIMIT_OPTIONS));

// Guards against ignoring that targets announce to leave or ask to back off.
test(`soak: seed ${SIGNAL_SEED} respects leaving targets and back-off`, () =>
  expectNoBrokenPromise(SIGNAL_SEED, SIGNAL_OPTIONS));

// Guards against completing a version most of whose targets fail.
test(`soak: seed ${FAILING_VERSION_SEED} completes no version that fails`, () =>
  expectNoBrokenPromise(FAILING_VERSION_SEED, FAILING_VERSION_OPTIONS));

test("a plan is the same for the same seed", () => {
  assert.equal(planSoak(7, OPTIONS), planSoak(7, OPTIONS));
  assert.not.equal(planSoak(7, OPTIONS), planSoak(8, OPTIONS));
});

async function expectNoBrokenPromise(
  seed: number,
  options: PlanOptions,
): Promise<void> {
  const outcome = await runSoak(planSoak(seed, options));
  assert.equal(outcome.broken, []);
  assert.ok(outcome.wholeAnswers > 0);
}

test.run();
