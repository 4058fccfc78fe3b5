import { test } from "uvu";
import * as assert from "uvu/assert";
import { routeOf } from "@chestnuthatch/routing/routing_test_support";
import { LatencyModel } from "@chestnuthatch/routing/latency_model";
import { gapLimitMs } from "./silence_limits.ts";

const ROUTE = routeOf({ longestGapMs: 200 });

function streamOf(promptTokens: number, longestSeenGapMs = 0) {
  return {
    route: ROUTE,
    latencyModel: new LatencyModel(),
    promptTokens,
    longestSeenGapMs,
  };
}

test("a stream moves early if another target can resume it in time", () => {
  assert.is(gapLimitMs(streamOf(500)), 120);
});

test("a stream stays longer if any other target would be late", () => {
  assert.is(gapLimitMs(streamOf(6000)), 400);
});

test("a stream that is late already stays longer", () => {
  assert.is(gapLimitMs(streamOf(500, 220)), 400);
});

test("the timeout grows with the usual gap of a slow target", () => {
  const latencyModel = new LatencyModel();
  for (let i = 0; i < 60; i++) {
    latencyModel.recordEventGap(150);
  }
  const limitMs = gapLimitMs({ ...streamOf(500), latencyModel });
  assert.ok(limitMs > 590, String(limitMs));
});

test.run();
