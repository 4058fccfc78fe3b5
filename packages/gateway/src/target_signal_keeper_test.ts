import { Writable } from "node:stream";
import { boardOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { TargetSignalKeeper } from "./target_signal_keeper.ts";
import { EventLog } from "./event_log.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";

const QUIET = { hasLimit: false, leaving: false, malformed: [] };

function newsOf() {
  const lines: string[] = [];
  const clock = { atMs: 0, nowMs: () => clock.atMs };
  const output = new Writable({
    write: (chunk, _code, done) => {
      lines.push(...String(chunk).trim().split("\n"));
      done();
    },
  });
  const log = new EventLog(clock, "i1", output);
  const board = boardOf(["t1"]);
  const metrics = new GatewayMetrics();
  const news = new TargetSignalKeeper({
    board,
    clock,
    log,
    metrics,
    onLeaving: (targetId) => board.targets.announcedLeaving(targetId),
  });
  const messages = () => {
    log.flush();
    return lines.map((line) => JSON.parse(line))
      .map(({ message, source, limitPerS }) =>
        [message, source, limitPerS].filter((part) => part !== undefined)
          .join(" ")
      );
  };
  return { news, board, clock, messages };
}

test("a rate limit is logged when it changes, with its source", () => {
  const { news, board, clock, messages } = newsOf();
  const origin = { target: board.targets.get("t1")!, sentAtMs: 0 };
  news.answered(origin, { ...QUIET, hasLimit: true, limitPerS: 5 });
  news.answered(origin, { ...QUIET, hasLimit: true, limitPerS: 5 });
  clock.atMs = 50;
  news.toldOfRateLimits([{ targetId: "t1", limitPerS: 6, ageMs: 10 }]);
  clock.atMs = 6000;
  news.answered({ ...origin, sentAtMs: 5000 }, QUIET);
  assert.equal(messages(), [
    "target rate limit set answer 5",
    "target rate limit set peer 6",
    "target rate limit lifted answer",
  ]);
  assert.is(board.rateLimits.limitPerS("t1"), undefined);
});

test("a malformed header is logged once and lifts no limit", () => {
  const { news, board, clock, messages } = newsOf();
  const origin = { target: board.targets.get("t1")!, sentAtMs: 0 };
  news.answered(origin, { ...QUIET, hasLimit: true, limitPerS: 5 });
  clock.atMs = 6000;
  const malformed = [{ header: "server-limit", value: "many" }];
  const later = { ...origin, sentAtMs: 5000 };
  news.answered(later, { ...QUIET, hasLimit: true, malformed });
  news.answered(later, { ...QUIET, hasLimit: true, malformed });
  assert.equal(messages(), [
    "target rate limit set answer 5",
    "malformed header ignored",
  ]);
  assert.is(board.rateLimits.limitPerS("t1"), 5);
});

test("a late answer of a replaced process is ignored", () => {
  const { news, board } = newsOf();
  const target = { ...board.targets.get("t1")!, incarnation: 0 };
  const origin = { target, sentAtMs: 0 };
  news.answered(origin, { ...QUIET, hasLimit: true, limitPerS: 5 });
  assert.is(board.rateLimits.limitPerS("t1"), undefined);
});

test("a target that announces that it is leaving is logged once", () => {
  const { news, board, messages } = newsOf();
  const origin = { target: board.targets.get("t1")!, sentAtMs: 0 };
  news.answered(origin, { ...QUIET, leaving: true });
  news.answered(origin, { ...QUIET, leaving: true });
  assert.equal(messages(), ["target announces that it is leaving answer"]);
});

test.run();
