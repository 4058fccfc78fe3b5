/**
 * A request that ended one target after the other.
 *
 * Seen: language servers ended within 0.1 s of beginning the same request, which
 * came back under new ids and through other instances; 20 and more ended.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  Disturbance,
  type EndedTargetsPlan,
  playEndedTargets,
} from "./ended_targets_run.ts";

const { None, OneKilled, AllKilled, OnePaused } = Disturbance;

/** Three may end until it is known for what it is, and three after that. */
const MOST_ENDED = 6;

const PLAN: EndedTargetsPlan = {
  seed: 1,
  instances: 4,
  engines: 6,
  bystanders: 6,
  disturbances: [None, None, None, OneKilled, None, OnePaused, None, AllKilled],
  atOnce: 1,
  awayMs: 200,
};

test("a request under which three targets ended is hardly sent again", async () => {
  const { ended, answers } = await playEndedTargets(PLAN);
  assert.ok(answers.length >= PLAN.disturbances.length);
  assert.ok(ended <= MOST_ENDED, `${ended} targets ended`);
});

test.run();
