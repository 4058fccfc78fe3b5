import { test } from "uvu";
import * as assert from "uvu/assert";
import { type PlacedWork, PlacedWorks } from "./placed_works.ts";

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

test("sums of a target follow its works", () => {
  const works = new PlacedWorks();
  works.put(workOf("a"));
  works.put(workOf("b", { promptTokens: 50 }));
  works.put(workOf("c", { targetId: "t2" }));
  assert.equal(works.use("t1"), {
    running: 2,
    tokensAhead: 150,
    kvTokens: 190,
  });
  works.firstSeen("a");
  works.firstSeen("a");
  assert.is(works.use("t1").tokensAhead, 50);
  works.remove("a");
  works.remove("b");
  assert.equal(works.use("t1"), { running: 0, tokensAhead: 0, kvTokens: 0 });
});

test("work that is put again counts once", () => {
  const works = new PlacedWorks();
  works.put(workOf("a"));
  works.put(workOf("a", { targetId: "t2", holderId: "i2" }));
  assert.is(works.size, 1);
  assert.is(works.use("t1").running, 0);
  assert.equal(works.ofHolder("i1"), []);
  assert.equal(works.ofHolder("i2").map(({ askId }) => askId), ["a"]);
});

test.run();
