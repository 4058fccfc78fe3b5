import { test } from "uvu";
import * as assert from "uvu/assert";
import { TargetBackoffs } from "./target_backoffs.ts";

test("a back-off lasts as long as the longest that was requested", () => {
  const backoffs = new TargetBackoffs();
  backoffs.requested("t1", 3000, 0);
  backoffs.requested("t1", 500, 1000);
  assert.is(backoffs.remainingMs("t1", 1000), 2000);
  assert.equal(backoffs.activeIds(2999), ["t1"]);
  assert.equal(backoffs.activeIds(3000), []);
  assert.is(backoffs.remainingMs("t1", 3000), 0);
});

test("a restart discards the back-off that the previous process requested", () => {
  const backoffs = new TargetBackoffs();
  backoffs.requested("t1", 3000, 0);
  backoffs.restarted("t1");
  assert.equal(backoffs.activeIds(10), []);
});

test.run();
