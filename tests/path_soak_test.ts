/** Short seeded runs in which instances lose and regain their targets. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { planPaths } from "./path_soak_plan.ts";
import { findPathFaults, runPaths } from "./path_soak_run.ts";

const LENGTH_MS = 6000;

for (const seed of [1, 2]) {
  // Guards against instances that refuse their callers, or run requests twice,
  // while only other instances reach the targets.
  test(`paths to targets that come and go break no promise, seed ${seed}`, async () => {
    const outcome = await runPaths(planPaths(seed, LENGTH_MS));
    assert.ok(outcome.requests.length > 0);
    assert.equal(findPathFaults(outcome), []);
  });
}

test.run();
