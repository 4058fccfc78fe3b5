import { test } from "uvu";
import * as assert from "uvu/assert";
import { RefusedCallers } from "./refused_callers.ts";

test("a refused caller is recognised when it retries", () => {
  const refused = new RefusedCallers();
  assert.is(refused.firstAttemptAtMs(7, 1000), 1000);
  refused.record(7, 1000, 1200);
  assert.is(refused.firstAttemptAtMs(7, 2000), 1000);
  refused.record(7, 1000, 2100);
  assert.is(refused.firstAttemptAtMs(7, 3000), 1000);
  assert.is(refused.firstAttemptAtMs(8, 3000), 3000);
});

test("old refusals do not count", () => {
  const refused = new RefusedCallers();
  refused.record(7, 0, 0);
  assert.is(refused.firstAttemptAtMs(7, 15_000), 0);
  assert.is(refused.firstAttemptAtMs(7, 15_001), 15_001);
});

test("calls without a hash are never taken for one another", () => {
  const refused = new RefusedCallers();
  refused.record(0, 0, 0);
  assert.is(refused.firstAttemptAtMs(0, 100), 100);
});

test.run();
