/** Tests of the log of the process's memory. */

import { Writable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { AnswerMemory } from "./answer_memory.ts";
import { EventLog } from "./event_log.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { ProcessMemoryMonitor } from "./process_memory_monitor.ts";

const BYTES_PER_MB = 1024 * 1024;

// Guards against processes that are killed for their memory without a trace.
test("memory that grows is logged, and memory that stays is not", () => {
  const lines: string[] = [];
  const output = new Writable({
    write: (chunk, _encoding, done) => {
      lines.push(...String(chunk).trimEnd().split("\n"));
      done();
    },
  });
  let nowMs = 0;
  let rss = 0;
  const clock = { nowMs: () => nowMs };
  const log = new EventLog(clock, "i1", output);
  const monitor = new ProcessMemoryMonitor({
    answerMemory: new AnswerMemory(),
    clock,
    log,
    metrics: new GatewayMetrics(),
    read: () => ({ rss, heapUsed: rss / 2, arrayBuffers: rss / 4 }),
  });
  for (const rssMb of [80, 88, 112, 100, 130]) {
    rss = rssMb * BYTES_PER_MB;
    monitor.tick();
    nowMs += 1000;
  }
  log.flush();
  assert.equal(
    lines.map((line) => JSON.parse(line).rssMb),
    [80, 112, 130],
  );
});

test.run();
