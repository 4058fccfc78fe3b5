import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventQueue } from "./event_queue.ts";

test("should run events by time, and at the same time in scheduling order", () => {
  const queue = new EventQueue();
  const seen: string[] = [];
  queue.at(20, () => seen.push(`b@${queue.nowMs}`));
  queue.at(10, () => seen.push(`a@${queue.nowMs}`));
  queue.at(20, () => seen.push(`c@${queue.nowMs}`));
  queue.at(31, () => seen.push("too late"));
  queue.runUntil(30);
  assert.equal(seen, ["a@10", "b@20", "c@20"]);
  assert.is(queue.nowMs, 30);
});

test("should run events scheduled by events, but no cancelled event", () => {
  const queue = new EventQueue();
  const seen: string[] = [];
  const cancelled = queue.at(8, () => seen.push("cancelled"));
  queue.at(5, () => {
    cancelled.cancel();
    queue.after(5, () => seen.push(`later@${queue.nowMs}`));
  });
  queue.runUntil(100);
  assert.equal(seen, ["later@10"]);
});

test("should run many events in order of time", () => {
  const queue = new EventQueue();
  const seen: number[] = [];
  for (let i = 0; i < 1000; i++) {
    const atMs = (i * 7919) % 1009;
    queue.at(atMs, () => seen.push(atMs));
  }
  queue.runUntil(2000);
  assert.equal(seen, [...seen].sort((a, b) => a - b));
  assert.is(seen.length, 1000);
});

test.run();
