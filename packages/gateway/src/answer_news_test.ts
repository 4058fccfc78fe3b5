import { Writable } from "node:stream";
import { boardOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { AnswerNews } from "./answer_news.ts";
import { EventLog } from "./event_log.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";

const QUIET = { namesLimit: false, leaving: false, unreadable: [] };

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
  const news = new AnswerNews({
    board,
    clock,
    log,
    metrics,
    onLeaving: (targetId) => board.targets.saidLeaving(targetId),
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

test("a limit is logged as it changes, with where it was heard", () => {
  const { news, board, clock, messages } = newsOf();
  const origin = { target: board.targets.get("t1")!, sentAtMs: 0 };
  news.answered(origin, { ...QUIET, namesLimit: true, limitPerS: 5 });
  news.answered(origin, { ...QUIET, namesLimit: true, limitPerS: 5 });
  clock.atMs = 50;
  news.toldOfLimits([{ targetId: "t1", limitPerS: 6, ageMs: 10 }]);
  clock.atMs = 6000;
  news.answered({ ...origin, sentAtMs: 5000 }, QUIET);
  assert.equal(messages(), [
    "target names a limit answer 5",
    "target names a limit peer 6",
    "target limit lifted answer",
  ]);
  assert.is(board.limits.limitPerS("t1"), undefined);
});

test("a header that cannot be read is logged once and lifts no limit", () => {
  const { news, board, clock, messages } = newsOf();
  const origin = { target: board.targets.get("t1")!, sentAtMs: 0 };
  news.answered(origin, { ...QUIET, namesLimit: true, limitPerS: 5 });
  clock.atMs = 6000;
  const unreadable = [{ header: "server-limit", value: "many" }];
  const later = { ...origin, sentAtMs: 5000 };
  news.answered(later, { ...QUIET, namesLimit: true, unreadable });
  news.answered(later, { ...QUIET, namesLimit: true, unreadable });
  assert.equal(messages(), [
    "target names a limit answer 5",
    "unreadable header ignored",
  ]);
  assert.is(board.limits.limitPerS("t1"), 5);
});

test("a late answer of a process that was replaced says nothing", () => {
  const { news, board } = newsOf();
  const target = { ...board.targets.get("t1")!, incarnation: 0 };
  const origin = { target, sentAtMs: 0 };
  news.answered(origin, { ...QUIET, namesLimit: true, limitPerS: 5 });
  assert.is(board.limits.limitPerS("t1"), undefined);
});

test("a target that says that it leaves is logged once", () => {
  const { news, board, messages } = newsOf();
  const origin = { target: board.targets.get("t1")!, sentAtMs: 0 };
  news.answered(origin, { ...QUIET, leaving: true });
  news.answered(origin, { ...QUIET, leaving: true });
  assert.equal(messages(), ["target says that it leaves answer"]);
});

test.run();
