import { test } from "uvu";
import * as assert from "uvu/assert";
import { TargetRests } from "./target_rests.ts";

test("a rest lasts as long as the longest that was asked for", () => {
  const rests = new TargetRests();
  rests.asked("t1", 3000, 0);
  rests.asked("t1", 500, 1000);
  assert.is(rests.leftMs("t1", 1000), 2000);
  assert.equal(rests.resting(2999), ["t1"]);
  assert.equal(rests.resting(3000), []);
  assert.is(rests.leftMs("t1", 3000), 0);
});

test("a process that started again is not left alone for the one before", () => {
  const rests = new TargetRests();
  rests.asked("t1", 3000, 0);
  rests.restarted("t1");
  assert.equal(rests.resting(10), []);
});

test.run();
