import type { Dispatcher } from "undici";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { TestClock } from "./edge_test_support.ts";
import { type ExchangeEnd, HttpExchange } from "./http_exchange.ts";
import { ManualTimers } from "./manual_timers.ts";

test("should abort a retry before it is written, and still report the request as sent", () => {
  const ends: ExchangeEnd[] = [];
  let aborts = 0;
  const controller = { abort: () => aborts += 1 } as unknown;
  const exchange = new HttpExchange({
    onStatus: () => {},
    onChunk: () => {},
    onEnd: (end) => void ends.push(end),
  }, { clock: new TestClock(), timers: new ManualTimers(), deadlineAtMs: 1 });
  exchange.onRequestStart(controller as Dispatcher.DispatchController);
  assert.is(aborts, 0);
  exchange.onRequestStart(controller as Dispatcher.DispatchController);
  assert.is(aborts, 1);
  assert.equal(ends, [{ sent: true, reason: "the connection was lost" }]);
});

test.run();
