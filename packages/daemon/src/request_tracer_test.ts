import type { ReadableSpan } from "@opentelemetry/sdk-trace-base";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  NO_OP_REQUEST_TRACER,
  SpanName,
  SpanRequestTracer,
} from "./request_tracer.ts";
import { formatTraceparent, parseTraceparent } from "./trace_context.ts";

const TRACE_ID = "0af7651916cd43dd8448eb211c80319c";
const TRACEPARENT = `00-${TRACE_ID}-b7ad6b7169203331-01`;

function createTestTracer(maxOpenTraces?: number) {
  const spans: ReadableSpan[] = [];
  const clock = { atMs: 10, nowMs: () => clock.atMs };
  const tracer = new SpanRequestTracer({
    exporter: {
      export: (batch, done) => {
        spans.push(...batch);
        done({ code: 0 });
      },
      shutdown: () => Promise.resolve(),
    },
    clock,
    clockOriginMs: 1_000_000,
    instanceId: "njiro-hall-1",
    maxOpenTraces,
  });
  return { tracer, spans, clock };
}

test("should record one span for each step within the caller's trace", async () => {
  const { tracer, spans, clock } = createTestTracer();
  tracer.startTrace("r1", TRACEPARENT);
  tracer.startSpan("r1", SpanName.Wait, 20);
  tracer.startSpan("r1", SpanName.Dispatch, 30.5);
  assert.match(tracer.currentTraceparent("r1") ?? "", `00-${TRACE_ID}-`);
  clock.atMs = 50;
  tracer.endTrace("r1");
  await tracer.stop();
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

test("should limit open traces and remove ended ones", () => {
  const { tracer } = createTestTracer(1);
  tracer.startTrace("r1");
  tracer.startTrace("r2");
  assert.is(tracer.currentTraceparent("r2"), undefined);
  tracer.endTrace("r1");
  tracer.startTrace("r3");
  assert.ok(tracer.currentTraceparent("r3"));
});

test("should record nothing when turned off", () => {
  NO_OP_REQUEST_TRACER.startTrace("r1", TRACEPARENT);
  assert.is(NO_OP_REQUEST_TRACER.currentTraceparent("r1"), undefined);
});

test("should parse and format a traceparent and reject invalid ones", () => {
  const context = parseTraceparent(TRACEPARENT);
  assert.ok(context);
  assert.is(formatTraceparent(context), TRACEPARENT);
  const invalid = [
    "",
    `ff${TRACEPARENT.slice(2)}`,
    `${TRACEPARENT}-more`,
    `00-${"0".repeat(32)}-b7ad6b7169203331-01`,
    TRACEPARENT.toUpperCase(),
  ];
  for (const header of invalid) {
    assert.is(parseTraceparent(header), undefined, header);
  }
});

test.run();
