import { test } from "uvu";
import * as assert from "uvu/assert";
import { RankLoad } from "./rank_load.ts";

const INTERVAL_MS = 10;
const SPAN_MS = 20_000;

/** Load of requests of one rank that arrive evenly, each of 200 ms of work. */
function loadedWith(rank: number): RankLoad {
  const load = new RankLoad();
  for (let nowMs = 0; nowMs <= SPAN_MS; nowMs += INTERVAL_MS) {
    load.record(rank, 200, nowMs);
  }
  return load;
}

test("a hundred requests a second of 200 ms each need twenty slots", () => {
  const slots = loadedWith(1).slotsAbove(2, SPAN_MS);
  assert.ok(Math.abs(slots - 20) < 0.5, String(slots));
});

test("a rank's own load and that of lower ranks are not counted as above it", () => {
  const load = loadedWith(1);
  assert.is(load.slotsAbove(1, SPAN_MS), 0);
  assert.is(load.slotsAbove(0, SPAN_MS), 0);
});

test("a surge that is over decays within a few seconds", () => {
  const load = loadedWith(1);
  assert.ok(load.slotsAbove(2, SPAN_MS + 1000) < 10);
  assert.ok(load.slotsAbove(2, SPAN_MS + 5000) < 0.5);
});

test.run();
