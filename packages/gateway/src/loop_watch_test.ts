import { Writable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { LoopWatch } from "./loop_watch.ts";

const TICK_MS = 20;

/** A watch on a process whose work and busy time are made up. */
function watched() {
  let nowMs = 0;
  let busyMs = 0;
  const lines: string[] = [];
  const output = new Writable({
    write: (chunk, _code, done) => {
      lines.push(...String(chunk).trimEnd().split("\n"));
      done();
    },
  });
  const clock = { nowMs: () => nowMs };
  const log = new EventLog(clock, "i1", output);
  const watch = new LoopWatch({
    clock,
    log,
    metrics: new GatewayMetrics(),
    busyMs: () => busyMs,
    load: () => ({ open: 3 }),
  });
  const run = (
    forMs: number,
    of: { busyPart: number; pieces: number; lateMs?: number },
  ) => {
    for (const untilMs = nowMs + forMs; nowMs < untilMs;) {
      for (let piece = 0; piece < of.pieces; piece++) {
        watch.run("ask", () => {});
      }
      nowMs += TICK_MS;
      busyMs += of.busyPart * TICK_MS;
      watch.timerFired(of.lateMs ?? 0);
    }
    log.flush();
  };
  return { watch, run, lines };
}

test("a busy process that gets done what it usually does is loaded", () => {
  const { watch, run } = watched();
  run(5000, { busyPart: 0.3, pieces: 6 });
  assert.not.ok(watch.isLoaded);
  run(500, { busyPart: 1, pieces: 20 });
  assert.ok(watch.isLoaded);
});

test("a busy process that gets little done is slow, and not loaded", () => {
  const { watch, run } = watched();
  run(5000, { busyPart: 0.3, pieces: 6 });
  run(500, { busyPart: 1, pieces: 3 });
  assert.not.ok(watch.isLoaded);
});

test("a process that is late is told of, with what it did", () => {
  const { run, lines } = watched();
  run(2000, { busyPart: 0.5, pieces: 1, lateMs: 30 });
  assert.equal(lines, []);
  run(1000, { busyPart: 0.5, pieces: 1, lateMs: 80 });
  const { message, mostLateMs, busyMs, work, open } = JSON.parse(lines[0]!);
  assert.equal({ message, mostLateMs, busyMs, work, open }, {
    message: "process is late",
    mostLateMs: 80,
    busyMs: 500,
    work: ["ask 50 in 0 ms"],
    open: 3,
  });
});

test.run();
