import { test } from "uvu";
import * as assert from "uvu/assert";
import { CallerTimes } from "./caller_times.ts";

test("a caller that waits less than others of its route was here before", () => {
  const times = new CallerTimes();
  assert.is(times.spentBefore("r", 12_000, 0), 0);
  assert.is(times.spentBefore("r", 11_950, 100), 0);
  assert.is(times.spentBefore("r", 8000, 200), 4000);
  assert.is(times.spentBefore("other", 3000, 300), 0);
});

test("what callers waited long ago does not count", () => {
  const times = new CallerTimes();
  times.spentBefore("r", 12_000, 0);
  assert.is(times.spentBefore("r", 8000, 11_000), 4000);
  assert.is(times.spentBefore("r", 8000, 22_000), 0);
});

test.run();
