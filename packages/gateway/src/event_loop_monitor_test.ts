import { Writable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { EventLoopMonitor } from "./event_loop_monitor.ts";

const TICK_MS = 20;

/** Monitors a process with simulated tasks and busy time. */
function monitoredProcess() {
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
  const monitor = new EventLoopMonitor({
    clock,
    log,
    metrics: new GatewayMetrics(),
    busyMs: () => busyMs,
    loadFacts: () => ({ open: 3 }),
  });
  const run = (
    forMs: number,
    of: { busyShare: number; tasksPerTick: number; lateMs?: number },
  ) => {
    for (const untilMs = nowMs + forMs; nowMs < untilMs;) {
      for (let task = 0; task < of.tasksPerTick; task++) {
        monitor.runTask("ask", () => {});
      }
      nowMs += TICK_MS;
      busyMs += of.busyShare * TICK_MS;
      monitor.recordTimer(of.lateMs ?? 0);
    }
    log.flush();
  };
  return { monitor, run, lines };
}

test("a busy process with its usual throughput is loaded", () => {
  const { monitor, run } = monitoredProcess();
  run(5000, { busyShare: 0.3, tasksPerTick: 6 });
  assert.not.ok(monitor.isLoaded);
  run(500, { busyShare: 1, tasksPerTick: 20 });
  assert.ok(monitor.isLoaded);
});

test("a busy process with little throughput is slow, and not loaded", () => {
  const { monitor, run } = monitoredProcess();
  run(5000, { busyShare: 0.3, tasksPerTick: 6 });
  run(500, { busyShare: 1, tasksPerTick: 3 });
  assert.not.ok(monitor.isLoaded);
});

test("a delayed event loop is logged with the tasks that it ran", () => {
  const { run, lines } = monitoredProcess();
  run(2000, { busyShare: 0.5, tasksPerTick: 1, lateMs: 30 });
  assert.equal(lines, []);
  run(1000, { busyShare: 0.5, tasksPerTick: 1, lateMs: 80 });
  const { message, mostLateMs, busyMs, work, open } = JSON.parse(lines[0]!);
  assert.equal({ message, mostLateMs, busyMs, work, open }, {
    message: "event loop is delayed",
    mostLateMs: 80,
    busyMs: 500,
    work: ["ask 50 in 0 ms"],
    open: 3,
  });
});

test.run();
