import { CounterName } from "@chestnuthatch/core/effects";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { GaugeName, Metrics } from "./metrics.ts";
import { EdgeCounterName } from "./ports.ts";

test("should expose all counters and gauges, and waits by tier", async () => {
  const metrics = new Metrics({ readGauge: () => 7 });
  metrics.observeAnswer("urgent", { waitedMs: 40, totalMs: 900 });
  const { text, contentType } = await metrics.page();
  assert.match(contentType, "text/plain");
  const counters = [CounterName, EdgeCounterName].flatMap(Object.values);
  for (const name of counters) {
    assert.match(text, `# TYPE chestnuthatch_${name}_total counter`);
  }
  for (const name of Object.values(GaugeName)) {
    assert.match(text, `chestnuthatch_${name} 7`);
  }
  assert.match(text, 'request_wait_seconds_bucket{le="0.05",tier="urgent"} 1');
  assert.match(text, 'request_total_seconds_sum{tier="urgent"} 0.9');
});

test("should bound label values and leave out unknown labels", async () => {
  const metrics = new Metrics({ readGauge: () => 0, maxLabelValues: 2 });
  for (const pool of ["a", "b", "c", "d", "a"]) {
    metrics.count(CounterName.Dispatches, { pool, requestId: pool }, 2);
  }
  const { text } = await metrics.page();
  const lines = text.split("\n").filter((line) =>
    line.startsWith("chestnuthatch_dispatches_total{")
  );
  assert.equal(lines, [
    'chestnuthatch_dispatches_total{pool="a"} 4',
    'chestnuthatch_dispatches_total{pool="b"} 2',
    'chestnuthatch_dispatches_total{pool="other"} 4',
  ]);
});

test.run();
