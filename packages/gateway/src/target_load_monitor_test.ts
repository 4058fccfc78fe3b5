import { Writable } from "node:stream";
import { TargetLoads } from "@chestnuthatch/routing/target_loads";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { TargetLoadMonitor } from "./target_load_monitor.ts";

// Guards against a line for each report, a final state that is not logged, and
// figures that operators don't see.
test("slow periods are logged, at most one line per target and second", async () => {
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
  const advance = (atMs: number, slowdownRatio?: number) => {
    clock.atMs = atMs;
    if (slowdownRatio !== undefined) {
      const load = { running: 1, waiting: 0, slowdownRatio, ageMs: 0 };
      loads.record("t1", load, { hasFreeSlot: true, nowMs: atMs });
    }
    loads.evictExpired(atMs);
    monitor.update(loads);
  };
  advance(0, 1.49);
  advance(10, 1.5);
  advance(20, 8);
  advance(300, 1);
  advance(400, 2.5);
  advance(500, 1);
  advance(1009);
  advance(1010);
  advance(2500, 2.5);
  advance(3600);
  advance(9000);
  advance(9010, 3);
  advance(9020, 0);
  advance(9030, 0);
  log.flush();
  const texts = lines.map((line) => JSON.parse(line)).map((facts) =>
    `${facts.atMs} ${facts.message} ${facts.slowdownRatio ?? facts.field}`
  );
  assert.equal(texts, [
    "10 target entered slow period 1.5",
    "1010 target left slow period undefined",
    "2500 target entered slow period 2.5",
    "3600 target left slow period undefined",
    "9010 target entered slow period 3",
    "9020 target load report out of range ignored slowdownRatio",
  ]);
  const metricLines = (await metrics.text()).split("\n").filter((line) =>
    /^chestnuthatch_(target_load_reports|slow_targets)/.test(line)
  );
  assert.equal(metricLines, [
    'chestnuthatch_target_load_reports_total{result="used"} 8',
    'chestnuthatch_target_load_reports_total{result="invalid"} 2',
    "chestnuthatch_slow_targets 1",
  ]);
});

test.run();
