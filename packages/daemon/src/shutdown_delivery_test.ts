/** An answer that waits for its caller to read outlasts a graceful shutdown. */

import type { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { EventKind } from "@chestnuthatch/core/events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { CallerFront } from "./caller_front.ts";
import type { UntimedEvent } from "./ports.ts";

/** More than the buffers of a loopback connection hold unread. */
const ANSWER_BYTES = 32 * 1024 * 1024;
const MAX_POLLS = 1000;
const POLL_MS = 5;
const BODY = JSON.stringify({
  workspace: "usa-river",
  tier: "urgent",
  pool: "msaidizi",
  body: "b",
});

test("an answer that waits for its caller outlasts the shutdown", async () => {
  const events: UntimedEvent[] = [];
  const front = new CallerFront({
    clock: { nowMs: () => 0 },
    emit: (event) => void events.push(event),
    log: () => {},
    count: () => {},
  }, {
    host: "127.0.0.1",
    port: 0,
    mintRequestId: () => "r1",
    reads: {
      readiness: () => ({ ready: true, reasons: [] }),
      requestState: () => undefined,
      why: () => undefined,
      status: () => ({ instanceId: "i1" }),
      metrics: () => Promise.resolve({ contentType: "text/plain", text: "" }),
    },
  });
  await front.start();
  const [host, port] = front.address().split(":");
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
  front.answer("r1", {
    requestId: "r1",
    text: "a".repeat(ANSWER_BYTES),
    targetId: "t1",
    outputTokens: 1,
    waitedMs: 1,
    totalMs: 1,
  });
  front.beginShutdown();
  const stopped = front.stop();
  let bytesRead = 0;
  caller.on("data", (chunk: Buffer) => bytesRead += chunk.length);
  await once(caller, "close");
  await stopped;
  assert.ok(bytesRead > ANSWER_BYTES, `${bytesRead} of ${ANSWER_BYTES}`);
});

test.run();
