/**
 * Guards against a graceful shutdown that truncates an answer which its caller
 * has not read yet. Node.js treats such a connection as idle.
 */

import type { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { EventKind } from "@chestnuthatch/core/events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { CallerEdge } from "./caller_edge.ts";
import type { UntimedEvent } from "./ports.ts";

/** More than the buffers of a loopback connection can store. */
const ANSWER_BYTES = 32 * 1024 * 1024;
const MAX_POLLS = 1000;
const POLL_MS = 5;
const BODY = JSON.stringify({
  workspace: "usa-river",
  tier: "urgent",
  pool: "msaidizi",
  body: "b",
});

test("should deliver an answer that is still being read at shutdown", async () => {
  const events: UntimedEvent[] = [];
  const callerEdge = new CallerEdge({
    clock: { nowMs: () => 0 },
    emit: (event) => void events.push(event),
    log: () => {},
    count: () => {},
  }, {
    host: "127.0.0.1",
    port: 0,
    generateRequestId: () => "r1",
    reader: {
      readiness: () => ({ ready: true, reasons: [] }),
      requestState: () => undefined,
      why: () => undefined,
      status: () => ({ instanceId: "i1" }),
      metrics: () => Promise.resolve({ contentType: "text/plain", text: "" }),
    },
  });
  await callerEdge.start();
  const [host, port] = callerEdge.address().split(":");
  const caller = connect(Number(port), host);
  caller.on("error", () => {});
  caller.write(
    `POST /v1/requests HTTP/1.1\r\nHost: h\r\n` +
      `Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
  );
  for (let polls = 0; events.length === 0; polls++) {
    assert.ok(polls < MAX_POLLS, "the request is accepted");
    await sleep(POLL_MS);
  }
  assert.is(events[0]!.kind, EventKind.RequestArrived);
  callerEdge.answer("r1", {
    requestId: "r1",
    text: "a".repeat(ANSWER_BYTES),
    targetId: "t1",
    outputTokens: 1,
    waitedMs: 1,
    totalMs: 1,
  });
  callerEdge.beginShutdown();
  const stopped = callerEdge.stop();
  let bytesRead = 0;
  caller.on("data", (chunk: Buffer) => bytesRead += chunk.length);
  await once(caller, "close");
  await stopped;
  assert.ok(bytesRead > ANSWER_BYTES, `${bytesRead} of ${ANSWER_BYTES}`);
});

test.run();
