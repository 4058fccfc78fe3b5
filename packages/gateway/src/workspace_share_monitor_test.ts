import { Writable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { WorkspaceShareMonitor } from "./workspace_share_monitor.ts";

const SHARE = { pool: "p", rank: 1, workspace: "w", weightRatio: 0.0625 };
const TICK_MS = 20;

// Guards against a log that a workspace at its limit, which is over and within
// its share many times a second, fills with lines.
test("at most one line a second is written for a workspace in a rank", async () => {
  const lines: string[] = [];
  const output = new Writable({
    write: (chunk, _code, done) => {
      lines.push(...String(chunk).trimEnd().split("\n"));
      done();
    },
  });
  const clock = { atMs: 0, nowMs: () => clock.atMs };
  const log = new EventLog(clock, "i1", output);
  const metrics = new GatewayMetrics();
  let placedRatio = 0;
  const monitor = new WorkspaceShareMonitor({
    clock,
    log,
    metrics,
    overShares: () => placedRatio > 0 ? [{ ...SHARE, placedRatio }] : [],
  });
  for (; clock.atMs <= 3000; clock.atMs += TICK_MS) {
    const isOver = clock.atMs >= 500 && clock.atMs < 2600;
    placedRatio = isOver && clock.atMs % (2 * TICK_MS) === 0 ? 0.25 : 0;
    monitor.tick();
  }
  log.flush();
  const facts = { pool: "p", rank: 1, workspace: "w" };
  const began = {
    message: "workspace is over its share",
    ...facts,
    placedPercent: 25,
    weightPercent: 6,
  };
  const ceased = { message: "workspace is within its share again", ...facts };
  const records = lines.map((line) => {
    const { instance: _instance, level: _level, part: _part, ...record } = JSON
      .parse(line);
    return record;
  });
  assert.equal(records, [
    { atMs: 520, ...began },
    { atMs: 1540, ...ceased, tookMs: 1020 },
    { atMs: 2560, ...began },
  ]);
  const text = await metrics.text();
  assert.match(text, 'chestnuthatch_over_share_begins_total{pool="p"} 2');
  assert.match(text, "chestnuthatch_workspaces_over_share 0");
});

test.run();
