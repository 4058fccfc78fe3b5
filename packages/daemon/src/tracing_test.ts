import type { ReadableSpan } from "@opentelemetry/sdk-trace-base";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { formatTraceparent, parseTraceparent } from "./trace_context.ts";
import { HopName, NO_TRACING, SpanTracing } from "./tracing.ts";

const TRACE_ID = "0af7651916cd43dd8448eb211c80319c";
const TRACEPARENT = `00-${TRACE_ID}-b7ad6b7169203331-01`;

function makeTracing(maxOpenTraces?: number) {
  const spans: ReadableSpan[] = [];
  const clock = { atMs: 10, nowMs: () => clock.atMs };
  const tracing = new SpanTracing({
    exporter: {
      export: (batch, done) => {
        spans.push(...batch);
        done({ code: 0 });
      },
      shutdown: () => Promise.resolve(),
    },
    clock,
    clockZeroMs: 1_000_000,
    instanceId: "njiro-hall-1",
    maxOpenTraces,
  });
  return { tracing, spans, clock };
}

test("should make one span for each hop under the caller's trace", async () => {
  const { tracing, spans, clock } = makeTracing();
  tracing.received("r1", TRACEPARENT);
  tracing.hop("r1", HopName.Wait, 20);
  tracing.hop("r1", HopName.Dispatch, 30.5);
  assert.match(tracing.traceparentOf("r1") ?? "", `00-${TRACE_ID}-`);
  clock.atMs = 50;
  tracing.finished("r1");
  await tracing.stop();
  const times = spans.map((span) => [span.name, span.startTime, span.endTime]);
  assert.equal(times, [
    ["receive", [1000, 10_000_000], [1000, 20_000_000]],
    ["wait", [1000, 20_000_000], [1000, 30_500_000]],
    ["dispatch", [1000, 30_500_000], [1000, 50_000_000]],
    ["request", [1000, 10_000_000], [1000, 50_000_000]],
  ]);
  const root = spans[3];
  assert.is(root.parentSpanContext?.spanId, "b7ad6b7169203331");
  assert.ok(spans.every((span) => span.spanContext().traceId === TRACE_ID));
  assert.is(spans[0].parentSpanContext?.spanId, root.spanContext().spanId);
});

test("should bound open traces and forget finished ones", () => {
  const { tracing } = makeTracing(1);
  tracing.received("r1");
  tracing.received("r2");
  assert.is(tracing.traceparentOf("r2"), undefined);
  tracing.finished("r1");
  tracing.received("r3");
  assert.ok(tracing.traceparentOf("r3"));
});

test("should give nothing when turned off", () => {
  NO_TRACING.received("r1", TRACEPARENT);
  assert.is(NO_TRACING.traceparentOf("r1"), undefined);
});

test("should read and write a traceparent, and refuse a bad one", () => {
  const context = parseTraceparent(TRACEPARENT);
  assert.ok(context);
  assert.is(formatTraceparent(context), TRACEPARENT);
  const bad = [
    "",
    `ff${TRACEPARENT.slice(2)}`,
    `${TRACEPARENT}-more`,
    `00-${"0".repeat(32)}-b7ad6b7169203331-01`,
    TRACEPARENT.toUpperCase(),
  ];
  for (const header of bad) {
    assert.is(parseTraceparent(header), undefined, header);
  }
});

test.run();
