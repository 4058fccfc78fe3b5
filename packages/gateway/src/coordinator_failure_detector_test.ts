import { boardOf, memberOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  CoordinatorFailureDetector,
  Responsiveness,
} from "./coordinator_failure_detector.ts";

const COORDINATOR_ID = "i2";
const HEARTBEAT_MS = 220;

/** Makes a detector with functions that simulate a coordinator's messages. */
function makeDetector() {
  const { members } = boardOf([]);
  const detector = new CoordinatorFailureDetector(members);
  const heartbeat = (atMs: number) =>
    members.heartbeatReceived(memberOf(COORDINATOR_ID), atMs);
  const answer = (nowMs: number, tookMs: number) =>
    detector.recordAnswer(COORDINATOR_ID, { nowMs, tookMs });
  const responsiveness = (sinceMs: number, nowMs: number) =>
    detector.responsivenessOf(COORDINATOR_ID, { sinceMs, nowMs });
  return { detector, heartbeat, answer, responsiveness };
}

test("a fast coordinator has failed after 130 ms without a message", () => {
  const { heartbeat, answer, responsiveness } = makeDetector();
  heartbeat(0);
  for (let atMs = 0; atMs < 1000; atMs += 50) {
    answer(atMs, 3);
  }
  assert.is(responsiveness(1000, 1100), Responsiveness.InTime);
  assert.is(responsiveness(1000, 1130), Responsiveness.Failed);
});

test("a coordinator that still sends heartbeats is late, not failed", () => {
  const { heartbeat, answer, responsiveness } = makeDetector();
  answer(900, 3);
  heartbeat(1000 + HEARTBEAT_MS / 2);
  assert.is(responsiveness(1000, 1150), Responsiveness.Late);
});

test("the timeout grows with the usual time of answers", () => {
  const { heartbeat, answer, responsiveness } = makeDetector();
  heartbeat(0);
  for (let atMs = 0; atMs < 2000; atMs += 50) {
    answer(atMs, atMs % 100 === 0 ? 150 : 250);
  }
  assert.is(responsiveness(2000, 2250), Responsiveness.Late);
});

test("a coordinator has failed after 400 ms, however long answers take", () => {
  const { heartbeat, answer, responsiveness } = makeDetector();
  heartbeat(0);
  for (let atMs = 0; atMs < 2000; atMs += 50) {
    answer(atMs, atMs % 100 === 0 ? 100 : 900);
  }
  assert.is(responsiveness(2000, 2400), Responsiveness.Failed);
});

test("heartbeats without an answer for 400 ms show a failed coordinator", () => {
  const { heartbeat, answer, responsiveness } = makeDetector();
  answer(0, 3);
  for (let atMs = 0; atMs <= 1400; atMs += HEARTBEAT_MS) {
    heartbeat(atMs);
  }
  assert.is(responsiveness(1000, 1390), Responsiveness.Late);
  assert.is(responsiveness(1000, 1400), Responsiveness.Failed);
});

test.run();
