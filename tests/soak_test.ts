/** Tests with short seeds of the soak, and with seeds that found faults. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { type PlanOptions, planSoak } from "./soak_plan.ts";
import { SoakSignal } from "./soak_signals_plan.ts";
import { runSoak } from "./soak_run.ts";

/** Long enough for the faults of a seed to overlap, and short enough for CI. */
const OPTIONS = { lengthMs: 4000 };

/** Seeds of which one rolls out a bad version and one a healthy version. */
const ROLLOUT_SEEDS = [3, 5];

/** Seeds that cover a stopping instance with answers not yet written out. */
const STOPPING_SEEDS = [205, 216];

/** Seeds that cover answers that targets end early or without framing. */
const STREAM_END_SEEDS = [1, 2];

/** Seeds in which callers take up streams of several versions. */
const VERSION_SEEDS = [1, 2];

/** Seeds in which instances are cut off from all targets. */
const CUT_SEEDS = [1, 2];

/** Seed that covers a target with a rate limit. */
const LIMIT_SEED = 4;

/** Long enough for a limit to hold, and for some windows after that. */
const LIMIT_OPTIONS = { lengthMs: 12_000, signals: [SoakSignal.RateLimit] };

/** Seed that covers a leaving target and one that asks for a backoff. */
const SIGNAL_SEED = 3;
const SIGNAL_OPTIONS = {
  lengthMs: 8000,
  signals: [SoakSignal.Leaving, SoakSignal.Backoff],
};

/** Seed that covers a version that fails at most of its targets. */
const FAILING_VERSION_SEED = 3014;
const FAILING_VERSION_OPTIONS = {
  ...SIGNAL_OPTIONS,
  rollout: true,
  silences: true,
};

/**
 * Seed in which a workspace sends several times as much as others, in a fleet
 * too large for a full mesh, and targets crash as the coordinator is killed.
 */
const LOADS_SEED = 6;
const LOADS_OPTIONS = { lengthMs: 3000, loads: true };

/** Long enough for one stop of an instance. */
const ONE_STOP_OPTIONS = { lengthMs: 2000 };

/** Seeds that cover versions written while connections are silent. */
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
  // Guards against a stop that cuts off answers not written out yet.
  test(`soak: seed ${seed} cuts no answer while an instance stops`, () =>
    expectNoBrokenPromise(seed, ONE_STOP_OPTIONS));
}

for (const seed of LATE_VERSION_SEEDS) {
  // Guards against waiting for changes on connections that have fallen silent.
  test(`soak: seed ${seed} has versions in force although the store falls silent`, () =>
    expectNoBrokenPromise(seed, SILENCE_OPTIONS));
}

for (const seed of STREAM_END_SEEDS) {
  // Guards against framing answers as complete that targets broke off.
  test(`soak: seed ${seed} delivers no broken answer as whole`, () =>
    expectNoBrokenPromise(seed, { ...OPTIONS, streamEnds: true }));
}

for (const seed of VERSION_SEEDS) {
  // Guards against streams that go on at another version than they began at.
  test(`soak: seed ${seed} mixes no versions in a stream`, () =>
    expectNoBrokenPromise(seed, { ...OPTIONS, versions: true }));
}

for (const seed of CUT_SEEDS) {
  // Guards against requests that run twice, or get no end, as other instances
  // relay them.
  test(`soak: seed ${seed} keeps its promises where instances are cut off`, () =>
    expectNoBrokenPromise(seed, { ...OPTIONS, cuts: true }));
}

// Guards against placements that ignore rate limits, so that a target gets far
// more requests than its limit.
test(`soak: seed ${LIMIT_SEED} keeps to rate limits of targets`, () =>
  expectNoBrokenPromise(LIMIT_SEED, LIMIT_OPTIONS));

// Guards against sending requests to targets that announced that they are
// leaving or that asked for a backoff.
test(`soak: seed ${SIGNAL_SEED} respects leaving targets and backoffs`, () =>
  expectNoBrokenPromise(SIGNAL_SEED, SIGNAL_OPTIONS));

// Guards against completing a roll-out whose version fails at most targets.
test(`soak: seed ${FAILING_VERSION_SEED} completes no version that fails`, () =>
  expectNoBrokenPromise(FAILING_VERSION_SEED, FAILING_VERSION_OPTIONS));

// Guards against refusals or placements under overload that lose requests or
// run them twice, as targets crash while the coordinator is killed.
test(`soak: seed ${LOADS_SEED} keeps its promises under uneven load`, () =>
  expectNoBrokenPromise(LOADS_SEED, LOADS_OPTIONS));

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
