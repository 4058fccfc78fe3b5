import { boardOf, memberOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  CoordinatorFailureDetector,
  Responsiveness,
} from "./coordinator_failure_detector.ts";

const COORDINATOR_ID = "i2";
const BEAT_MS = 220;

/** A watch on one coordinator, whose heartbeats come until they are stopped. */
function watched() {
  const { members } = boardOf([]);
  const watch = new CoordinatorFailureDetector(members);
  const beat = (atMs: number) => members.heard(memberOf(COORDINATOR_ID), atMs);
  const answered = (nowMs: number, tookMs: number) =>
    watch.recordAnswer(COORDINATOR_ID, { nowMs, tookMs });
  const sign = (sinceMs: number, nowMs: number) =>
    watch.responsivenessOf(COORDINATOR_ID, { sinceMs, nowMs });
  return { watch, beat, answered, sign };
}

test("a quick coordinator that says nothing for 130 ms is gone", () => {
  const { beat, answered, sign } = watched();
  beat(0);
  for (let atMs = 0; atMs < 1000; atMs += 50) {
    answered(atMs, 3);
  }
  assert.is(sign(1000, 1100), Responsiveness.InTime);
  assert.is(sign(1000, 1130), Responsiveness.Gone);
});

test("a coordinator whose heartbeats come is late, and not gone", () => {
  const { beat, answered, sign } = watched();
  answered(900, 3);
  beat(1000 + BEAT_MS / 2);
  assert.is(sign(1000, 1150), Responsiveness.Late);
});

test("where answers take long, an answer may take as long again", () => {
  const { beat, answered, sign } = watched();
  beat(0);
  for (let atMs = 0; atMs < 2000; atMs += 50) {
    answered(atMs, atMs % 100 === 0 ? 150 : 250);
  }
  assert.is(sign(2000, 2250), Responsiveness.Late);
});

test("however long answers take, 400 ms without a sign of life are enough", () => {
  const { beat, answered, sign } = watched();
  beat(0);
  for (let atMs = 0; atMs < 2000; atMs += 50) {
    answered(atMs, atMs % 100 === 0 ? 100 : 900);
  }
  assert.is(sign(2000, 2400), Responsiveness.Gone);
});

test("one that beats and answers nothing for 400 ms is gone", () => {
  const { beat, answered, sign } = watched();
  answered(0, 3);
  for (let atMs = 0; atMs <= 1400; atMs += BEAT_MS) {
    beat(atMs);
  }
  assert.is(sign(1000, 1390), Responsiveness.Late);
  assert.is(sign(1000, 1400), Responsiveness.Gone);
});

test.run();
