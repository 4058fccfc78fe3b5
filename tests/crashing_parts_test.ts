/** Seeded runs in which a part of prompts crashes targets. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { type CrashingPartsPlan, PartPosition } from "./crashing_parts_plan.ts";
import {
  findCrashingPartsFaults,
  runCrashingParts,
} from "./crashing_parts_run.ts";

const PLAN: CrashingPartsPlan = {
  seed: 1,
  instances: 6,
  engines: 8,
  parts: [{
    id: "bad",
    position: PartPosition.Middle,
    requestsPerS: 5,
    fromMs: 1500,
  }],
  soundCallers: 14,
  requestsPerSession: 10,
  crashDelayMs: 30,
  restartDelayMs: 1500,
  lengthMs: 12_000,
  faults: [],
};

// Guards against targets that crash one after another under requests that have
// only a part of their prompts in common, and against refusing sound requests
// that share the other parts.
test("a part of prompts under which five targets crashed is held back alone", async () => {
  const outcome = await runCrashingParts(PLAN);
  assert.ok(outcome.parts[0]!.crashesAtMs.length > 0);
  assert.equal(findCrashingPartsFaults(outcome), []);
});

test.run();
