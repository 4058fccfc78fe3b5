import { Writable } from "node:stream";
import {
  LoadReportResult,
  TargetLoads,
} from "@chestnuthatch/routing/target_loads";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { TargetLoadMonitor } from "./target_load_monitor.ts";

function monitorOnClock() {
  const lines: string[] = [];
  const clock = { atMs: 0, nowMs: () => clock.atMs };
  const output = new Writable({
    write: (chunk, _code, done) => {
      lines.push(...String(chunk).trim().split("\n"));
      done();
    },
  });
  const log = new EventLog(clock, "i1", output);
  const metrics = new GatewayMetrics();
  const monitor = new TargetLoadMonitor({ clock, log, metrics });
  const loads = new TargetLoads((report) => monitor.reported(report));
  const report = (atMs: number, slowdownRatio: number) => {
    clock.atMs = atMs;
    const load = { running: 1, waiting: 0, slowdownRatio, ageMs: 0 };
    loads.record("t1", load, { hasFreeSlot: true, nowMs: atMs });
    monitor.update(loads);
  };
  const idleUntil = (atMs: number) => {
    clock.atMs = atMs;
    loads.evictExpired(atMs);
    monitor.update(loads);
  };
  const texts = () => {
    log.flush();
    return lines.map((line) => JSON.parse(line))
      .map(({ atMs, message, targetId, slowdownRatio, field }) =>
        [atMs, message, targetId, slowdownRatio ?? field ?? ""].join(" ").trim()
      );
  };
  return { report, idleUntil, texts, metrics };
}

// Guards against a line for each report, and a final state that is not logged.
test("slow periods are logged, at most one line per target and second", () => {
  const { report, idleUntil, texts } = monitorOnClock();
  report(0, 1.49);
  report(10, 1.5);
  report(20, 8);
  report(300, 1);
  report(400, 2.5);
  report(500, 1);
  idleUntil(1009);
  idleUntil(1010);
  report(2500, 2.5);
  idleUntil(3600);
  idleUntil(9000);
  report(9010, 3);
  assert.equal(texts(), [
    "10 target entered slow period t1 1.5",
    "1010 target left slow period t1",
    "2500 target entered slow period t1 2.5",
    "3600 target left slow period t1",
    "9010 target entered slow period t1 3",
  ]);
});

test("reports are counted by result, and slow targets are a gauge", async () => {
  const { report, idleUntil, texts, metrics } = monitorOnClock();
  report(0, 2.5);
  report(10, 0);
  report(20, 0);
  const values = async () =>
    (await metrics.text()).split("\n").filter((line) =>
      /^chestnuthatch_(target_load_reports|slow_targets)/.test(line)
    );
  const reports = "chestnuthatch_target_load_reports_total";
  assert.equal(await values(), [
    `${reports}{result="${LoadReportResult.Used}"} 1`,
    `${reports}{result="${LoadReportResult.Invalid}"} 2`,
    "chestnuthatch_slow_targets 1",
  ]);
  idleUntil(1001);
  assert.is((await values()).at(-1), "chestnuthatch_slow_targets 0");
  assert.equal(texts(), [
    "0 target entered slow period t1 2.5",
    "10 target load report out of range ignored t1 slowdownRatio",
    "1001 target left slow period t1",
  ]);
});

test.run();
