import { test } from "uvu";
import * as assert from "uvu/assert";
import { type PlacedWork, PlacedWorkIndex } from "./placed_work_index.ts";

function workOf(askId: string, over: Partial<PlacedWork> = {}): PlacedWork {
  return {
    askId,
    holderId: "i1",
    targetId: "t1",
    rank: 0,
    promptTokens: 100,
    outputTokens: 20,
    placedAtMs: 0,
    tokensAhead: 0,
    expectedMs: 0,
    cameBackMs: 0,
    firstSeen: false,
    ...over,
  };
}

test("the sums of a target follow its work", () => {
  const index = new PlacedWorkIndex();
  index.put(workOf("a"));
  index.put(workOf("b", { promptTokens: 50 }));
  index.put(workOf("c", { targetId: "t2" }));
  assert.equal(index.use("t1"), {
    running: 2,
    tokensAhead: 150,
    kvTokens: 190,
  });
  index.firstSeen("a", 10);
  index.firstSeen("a", 10);
  assert.is(index.use("t1").tokensAhead, 50);
  index.remove("a");
  index.remove("b");
  assert.equal(index.use("t1"), { running: 0, tokensAhead: 0, kvTokens: 0 });
});

test("work that is added again counts once", () => {
  const index = new PlacedWorkIndex();
  index.put(workOf("a"));
  index.put(workOf("a", { targetId: "t2", holderId: "i2" }));
  assert.is(index.size, 1);
  assert.is(index.use("t1").running, 0);
  assert.equal(index.workOfHolder("i1"), []);
  assert.equal(index.workOfHolder("i2").map(({ askId }) => askId), ["a"]);
});

test.run();
