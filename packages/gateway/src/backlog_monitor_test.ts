import { Writable } from "node:stream";
import { boardOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { BacklogMonitor } from "./backlog_monitor.ts";
import { EventLog } from "./event_log.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";

// Guards against overload that operators cannot see, and against a gauge that
// still shows a backlog after its end or grows with names from other instances.
test("begin and end of a backlog are logged, and counted for configured pools", async () => {
  let written = "";
  const output = new Writable({
    write: (chunk, _code, done) => {
      written += chunk;
      done();
    },
  });
  const clock = { atMs: 1000, nowMs: () => clock.atMs };
  const log = new EventLog(clock, "i1", output);
  const metrics = new GatewayMetrics();
  const backlog = { rank: 2, beganAtMs: 990, minWaitMs: 210.4 };
  let standing = [{ pool: "p", ...backlog }, { pool: "forged", ...backlog }];
  const coordinator = { standingBacklogs: () => standing };
  const board = boardOf([]);
  const monitor = new BacklogMonitor({
    board,
    coordinator,
    clock,
    log,
    metrics,
  });
  const gauges = async () =>
    (await metrics.text()).split("\n")
      .filter((line) => line.startsWith("chestnuthatch_standing_backlogs{"));
  monitor.tick();
  monitor.tick();
  assert.equal(await gauges(), ['chestnuthatch_standing_backlogs{pool="p"} 1']);
  standing = [];
  clock.atMs = 2000;
  monitor.tick();
  monitor.tick();
  assert.equal(await gauges(), ['chestnuthatch_standing_backlogs{pool="p"} 0']);
  log.flush();
  const lines = written.trim().split("\n").map((line) => JSON.parse(line))
    .filter(({ pool }) => pool === "p")
    .map(({ message, rank, minWaitMs, lastedMs }) => ({
      message,
      rank,
      minWaitMs,
      lastedMs,
    }));
  const facts = { rank: 2, minWaitMs: 210 };
  assert.equal(lines, [
    { message: "standing backlog began", ...facts, lastedMs: undefined },
    { message: "standing backlog ended", ...facts, lastedMs: 1010 },
  ]);
});

test.run();
