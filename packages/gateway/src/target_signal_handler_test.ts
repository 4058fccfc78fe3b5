import { Writable } from "node:stream";
import { boardOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { TargetSignalHandler } from "./target_signal_handler.ts";
import { EventLog } from "./event_log.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";

const NO_SIGNALS = { hasLimit: false, leaving: false, malformed: [] };

function handlerOnClock() {
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
  const handler = new TargetSignalHandler({
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
  return { handler, board, clock, messages };
}

test("a rate limit is logged when it changes, with its source", () => {
  const { handler, board, clock, messages } = handlerOnClock();
  const origin = { target: board.targets.get("t1")!, sentAtMs: 0 };
  handler.answerReceived(origin, {
    ...NO_SIGNALS,
    hasLimit: true,
    limitPerS: 5,
  });
  handler.answerReceived(origin, {
    ...NO_SIGNALS,
    hasLimit: true,
    limitPerS: 5,
  });
  clock.atMs = 50;
  handler.rateLimitsReceived([{ targetId: "t1", limitPerS: 6, ageMs: 10 }]);
  clock.atMs = 6000;
  handler.answerReceived({ ...origin, sentAtMs: 5000 }, NO_SIGNALS);
  assert.equal(messages(), [
    "target rate limit set answer 5",
    "target rate limit set peer 6",
    "target rate limit lifted answer",
  ]);
  assert.is(board.rateLimits.limitPerS("t1"), undefined);
});

test("a malformed header is logged once and lifts no limit", () => {
  const { handler, board, clock, messages } = handlerOnClock();
  const origin = { target: board.targets.get("t1")!, sentAtMs: 0 };
  handler.answerReceived(origin, {
    ...NO_SIGNALS,
    hasLimit: true,
    limitPerS: 5,
  });
  clock.atMs = 6000;
  const malformed = [{ header: "server-limit", value: "many" }];
  const later = { ...origin, sentAtMs: 5000 };
  handler.answerReceived(later, { ...NO_SIGNALS, hasLimit: true, malformed });
  handler.answerReceived(later, { ...NO_SIGNALS, hasLimit: true, malformed });
  assert.equal(messages(), [
    "target rate limit set answer 5",
    "malformed header ignored",
  ]);
  assert.is(board.rateLimits.limitPerS("t1"), 5);
});

test("a late answer of an earlier process of the target is ignored", () => {
  const { handler, board } = handlerOnClock();
  const target = { ...board.targets.get("t1")!, incarnation: 0 };
  const origin = { target, sentAtMs: 0 };
  handler.answerReceived(origin, {
    ...NO_SIGNALS,
    hasLimit: true,
    limitPerS: 5,
  });
  assert.is(board.rateLimits.limitPerS("t1"), undefined);
});

test("a target that announces that it is leaving is logged once", () => {
  const { handler, board, messages } = handlerOnClock();
  const origin = { target: board.targets.get("t1")!, sentAtMs: 0 };
  handler.answerReceived(origin, { ...NO_SIGNALS, leaving: true });
  handler.answerReceived(origin, { ...NO_SIGNALS, leaving: true });
  assert.equal(messages(), ["target announces that it is leaving answer"]);
});

test.run();
