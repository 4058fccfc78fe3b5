import { Writable } from "node:stream";
import { boardOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { PausedTargetMonitor } from "./paused_target_monitor.ts";

// Guards against lines for each failure domain or each pause, and against a
// line that says that a target is used again which has left.
test("a paused target is logged once, and when it is used again", async () => {
  let text = "";
  const output = new Writable({
    write: (chunk, _code, done) => {
      text += chunk;
      done();
    },
  });
  const clock = { atMs: 0, nowMs: () => clock.atMs };
  const log = new EventLog(clock, "i1", output);
  const metrics = new GatewayMetrics();
  const { targets } = boardOf(["t1", "t2"]);
  const pausedBy = { holderCount: 2, pauseMs: 400 };
  const paused = ["a", "b"].flatMap((failureDomain) =>
    ["t1", "t2"].map((targetId) => ({ targetId, failureDomain, ...pausedBy }))
  );
  const pausedTargets = () =>
    clock.atMs >= 100 && clock.atMs < 2000 ? paused : [];
  const monitor = new PausedTargetMonitor({
    clock,
    log,
    metrics,
    targets,
    pausedTargets,
  });
  for (; clock.atMs <= 4000; clock.atMs += 20) {
    monitor.tick();
    if (clock.atMs === 1000) {
      targets.announcedLeaving("t2");
      assert.match(await metrics.text(), "chestnuthatch_paused_targets 2");
    }
  }
  log.flush();
  const lines = text.trimEnd().split("\n").map((line) => JSON.parse(line));
  assert.equal(
    lines.map(({ atMs, message, targetId }) => [atMs, message, targetId]),
    [
      [100, "target is paused", "t1"],
      [100, "target is paused", "t2"],
      [2000, "target is used again", "t1"],
    ],
  );
  const { pool, failureDomains, holders, pauseMs } = lines[0];
  assert.equal([pool, failureDomains], ["p", ["a", "b"]]);
  assert.equal([holders, pauseMs], [4, 400]);
  assert.match(await metrics.text(), "chestnuthatch_paused_targets 0");
});

test.run();
