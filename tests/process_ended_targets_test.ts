/**
 * Guards against a request that ends one target after the other: each target
 * exits within 0.1 s of starting to run it, and the caller sends it again with
 * new ids and through other instances.
 *
 * Instances count ended targets by a fingerprint of workspace, path and body,
 * which all of them share. Without these counts, each attempt is a new request
 * to all instances: 18 targets ended in such a run, instead of three.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  Disturbance,
  type EndedTargetsPlan,
  EndingCause,
} from "./ended_targets_plan.ts";
import { findOutcomeFaults, runEndedTargets } from "./ended_targets_run.ts";

const { None, OneKilled, AllKilled, OnePaused, StoreRestored } = Disturbance;

/** Three targets until the request is held back, and three after that. */
const MAX_ENDED = 6;

const PLAN: EndedTargetsPlan = {
  seed: 1,
  instances: 4,
  engines: 6,
  otherCallers: 6,
  disturbances: [None, None, None, OneKilled, None, OnePaused, None, AllKilled],
  concurrency: 1,
  restartDelayMs: 200,
  cause: EndingCause.WholeRequest,
};

test("a request under which three targets ended is hardly sent again", async () => {
  const outcome = await runEndedTargets(PLAN);
  const ended = outcome.endedByTurn.reduce((sum, inTurn) => sum + inTurn, 0);
  assert.ok(outcome.answers.length >= PLAN.disturbances.length);
  assert.ok(ended <= MAX_ENDED, `${ended} targets ended`);
  assert.equal(findOutcomeFaults(outcome), []);
});

test("copies at once, and lost instances and rows, do not raise the number of ended targets", async () => {
  const disturbances = [
    None,
    AllKilled,
    OneKilled,
    StoreRestored,
    AllKilled,
    OnePaused,
  ];
  const plan = { ...PLAN, seed: 2, disturbances, concurrency: 3 };
  assert.equal(findOutcomeFaults(await runEndedTargets(plan)), []);
});

// Guards against instances that place requests before they have read what the
// fleet had recorded when all its instances were killed.
test("a fleet that lost all instances knows what ended targets from its first request", async () => {
  const disturbances = [None, AllKilled, AllKilled];
  const plan = { ...PLAN, seed: 4, disturbances, recordsDelayMs: 500 };
  const { endedByTurn } = await runEndedTargets({ ...plan, concurrency: 2 });
  assert.equal(endedByTurn.slice(1), [0, 0]);
});

// Guards against requests with only a part in common that end targets again once
// instances were killed, and against holding back what shares the other parts.
test("a part of prompts under which three targets ended is hardly sent again", async () => {
  const plan = { ...PLAN, seed: 3, cause: EndingCause.PromptPart };
  assert.equal(findOutcomeFaults(await runEndedTargets(plan)), []);
});

test.run();
