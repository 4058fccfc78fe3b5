import { readFileSync } from "node:fs";
import { request as httpRequest } from "node:http";
import { connect, type Socket } from "node:net";
import { text as readText } from "node:stream/consumers";
import { setImmediate as nextTurn } from "node:timers/promises";
import { EventKind } from "@chestnuthatch/core/events";
import type { Answer, Refusal } from "@chestnuthatch/core/request";
import {
  callerAnswerSchema,
  CallerEventKind,
  callerEventSchema,
  callerRefusalSchema,
} from "@chestnuthatch/wire/caller_protocol";
import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { CallerEdge } from "./caller_edge.ts";
import { type CallerLimits, DEFAULT_CALLER_LIMITS } from "./caller_limits.ts";
import { ManualTimers } from "./manual_timers.ts";
import type { UntimedEvent } from "./ports.ts";
import type { Readiness } from "./read_routes.ts";

const BAD_INPUT_URL = new URL(
  "../src/golden/caller_bad_input.json",
  import.meta.url,
);
const MAX_TURNS = 5000;
const CALL = { workspace: "usa-river", tier: "urgent", pool: "msaidizi" };

class CallerEdgeHarness {
  readonly timers = new ManualTimers();
  readonly events: UntimedEvent[] = [];
  readonly countedErrors: string[] = [];
  readiness: Readiness = { ready: true, reasons: [] };
  readonly callerEdge: CallerEdge;
  #lastRequestNumber = 0;

  constructor(limits: Partial<CallerLimits> = {}) {
    this.callerEdge = new CallerEdge({
      clock: { nowMs: () => 0 },
      emit: (event) => void this.events.push(event),
      log: () => {},
      count: (_counter, labels) => void this.countedErrors.push(labels.error),
    }, {
      host: "127.0.0.1",
      port: 0,
      limits,
      timers: this.timers,
      generateRequestId: () => `r${++this.#lastRequestNumber}`,
      reader: {
        readiness: () => this.readiness,
        requestState: (id) => id === "r1" ? { state: "waiting" } : undefined,
        why: (id) => id === "r1" ? { decisions: [] } : undefined,
        status: () => ({ instanceId: "njiro-hall-1" }),
        metrics: () =>
          Promise.resolve({ contentType: "text/plain", text: "up 1\n" }),
      },
    });
  }

  get url(): string {
    return `http://${this.callerEdge.address()}`;
  }

  post(body: unknown): Promise<Response> {
    const text = typeof body === "string" ? body : JSON.stringify(body);
    return fetch(`${this.url}/v1/requests`, { method: "POST", body: text });
  }

  async waitForEvent(kind: EventKind): Promise<void> {
    await this.waitUntil(() =>
      this.events.some((event) => event.kind === kind)
    );
  }

  async waitUntil(condition: () => boolean): Promise<void> {
    for (let turn = 0; turn < MAX_TURNS; turn++) {
      if (condition()) {
        return;
      }
      await nextTurn();
    }
    assert.unreachable("the condition was never met");
  }

  connect(): Socket {
    const [host, port] = this.callerEdge.address().split(":");
    return connect(Number(port), host);
  }

  async stop(): Promise<void> {
    let stopped = false;
    this.callerEdge.stop().then(() => stopped = true);
    await this.waitUntil(() => {
      this.timers.fire(DEFAULT_CALLER_LIMITS.discardTimeoutMs);
      return stopped;
    });
  }
}

function harnessTest(
  title: string,
  run: (harness: CallerEdgeHarness) => Promise<void>,
  limits: Partial<CallerLimits> = {},
): void {
  test(title, async () => {
    const harness = new CallerEdgeHarness(limits);
    await harness.callerEdge.start();
    await run(harness);
    await harness.stop();
  });
}

function createAnswer(requestId: string, text: string): Answer {
  const figures = { outputTokens: 2, waitedMs: 3, totalMs: 9 };
  return { requestId, text, targetId: "msaidizi-1", ...figures };
}

function createRefusal(requestId: string, error: ErrorKind): Refusal {
  return {
    requestId,
    error,
    ran: RunState.NotRun,
    message: "No room.",
    mayRetry: true,
    retryAfterMs: 1200,
    callLog: ["0 ms: Received"],
  };
}

async function parseRefusal(response: Response): Promise<Refusal> {
  return callerRefusalSchema.parse(await response.json());
}

async function parseAnswer(response: Promise<Response>): Promise<Answer> {
  return callerAnswerSchema.parse(await (await response).json());
}

harnessTest(
  "should refuse invalid input as in the golden file",
  async (harness) => {
    const inputCases = JSON.parse(readFileSync(BAD_INPUT_URL, "utf8"));
    for (const { sent, status, path, message } of inputCases) {
      const response = await harness.post(sent);
      const refusal = await parseRefusal(response);
      assert.equal(
        { sent, status: response.status, path: refusal.path, message },
        { sent, status, path, message: refusal.message },
      );
      assert.is(refusal.error, ErrorKind.BadRequest);
      assert.is(refusal.ran, RunState.NotRun);
    }
    assert.is(harness.events.length, 0, "no request reaches the core");
  },
);

harnessTest(
  "should deliver a complete answer and keep the body until then",
  async (harness) => {
    const pending = harness.post({ ...CALL, body: "stuck in maize" });
    await harness.waitForEvent(EventKind.RequestArrived);
    const [event] = harness.events;
    assert.ok(event.kind === EventKind.RequestArrived);
    assert.is(event.spec.requestId, "r1");
    assert.is(event.spec.promptTokens, 4);
    assert.is(harness.callerEdge.findBody("r1"), "stuck in maize");
    harness.callerEdge.answer("r1", createAnswer("r1", "On the way."));
    const response = await pending;
    assert.is(response.status, 200);
    assert.is(response.headers.get("x-request-id"), "r1");
    assert.is(
      callerAnswerSchema.parse(await response.json()).text,
      "On the way.",
    );
    assert.is(harness.callerEdge.findBody("r1"), undefined);
  },
);

harnessTest(
  "should refuse with the status of the error table and a retry-after in seconds",
  async (harness) => {
    const pending = harness.post({ ...CALL, body: "b" });
    await harness.waitForEvent(EventKind.RequestArrived);
    harness.callerEdge.refuse("r1", createRefusal("r1", ErrorKind.RateLimited));
    const response = await pending;
    assert.is(response.status, 429);
    assert.is(response.headers.get("retry-after"), "2");
    assert.is((await parseRefusal(response)).retryAfterMs, 1200);
  },
);

harnessTest(
  "should end a stream with the remaining text and a final event",
  async (harness) => {
    const pending = harness.post({ ...CALL, body: "b", stream: true });
    await harness.waitForEvent(EventKind.RequestArrived);
    harness.callerEdge.streamText("r1", "On ");
    harness.callerEdge.answer("r1", createAnswer("r1", "On the way."));
    const lines = (await (await pending).text()).trimEnd().split("\n");
    const events = lines.map((line) =>
      callerEventSchema.parse(JSON.parse(line))
    );
    assert.equal(events.slice(0, 2), [
      { kind: CallerEventKind.Text, text: "On " },
      { kind: CallerEventKind.Text, text: "the way." },
    ]);
    assert.is(events[2].kind, CallerEventKind.Final);
    assert.is(events.length, 3);
  },
);

harnessTest(
  "should end a failed stream with an error event",
  async (harness) => {
    const pending = harness.post({ ...CALL, body: "b", stream: true });
    await harness.waitForEvent(EventKind.RequestArrived);
    harness.callerEdge.streamText("r1", "On ");
    harness.callerEdge.refuse(
      "r1",
      createRefusal("r1", ErrorKind.AnswerIncomplete),
    );
    harness.callerEdge.streamText("r1", "never sent");
    const response = await pending;
    assert.is(response.status, 200, "the stream had begun");
    const [, last, ...more] = (await response.text()).trimEnd().split("\n");
    assert.is(callerEventSchema.parse(JSON.parse(last)).kind, "error");
    assert.is(more.length, 0);
  },
);

harnessTest(
  "should refuse a stream that has not begun with the status of the error",
  async (harness) => {
    const pending = harness.post({ ...CALL, body: "b", stream: true });
    await harness.waitForEvent(EventKind.RequestArrived);
    harness.callerEdge.refuse("r1", createRefusal("r1", ErrorKind.Overloaded));
    const response = await pending;
    assert.is(response.status, 503);
    const event = callerEventSchema.parse(await response.json());
    assert.is(event.kind, CallerEventKind.Error);
  },
);

harnessTest(
  "should report a disconnected caller and keep a body that a joined call needs",
  async (harness) => {
    const body = JSON.stringify({ ...CALL, body: "b", idempotencyKey: "k" });
    const first = harness.connect();
    first.write(
      `POST /v1/requests HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    );
    await harness.waitForEvent(EventKind.RequestArrived);
    const second = harness.post(body);
    await harness.waitUntil(() => harness.events.length === 2);
    first.destroy();
    await harness.waitForEvent(EventKind.CallerHungUp);
    assert.equal(harness.events[2], {
      kind: EventKind.CallerHungUp,
      requestId: "r1",
    });
    assert.is(harness.callerEdge.findBody("r1"), "b");
    harness.callerEdge.answer("r1", createAnswer("r1", "late"));
    harness.callerEdge.answer("r2", createAnswer("r1", "whole"));
    assert.is((await parseAnswer(second)).text, "whole");
    assert.is(harness.callerEdge.findBody("r1"), undefined);
  },
);

harnessTest("should not read a body beyond its limit", async (harness) => {
  const announced = await harness.post("x".repeat(300));
  assert.is(announced.status, 413);
  assert.is((await parseRefusal(announced)).error, ErrorKind.BodyTooLarge);
  assert.is(announced.headers.get("connection"), "close");
  const chunked = httpRequest(`${harness.url}/v1/requests`, { method: "POST" });
  const answered = new Promise<string>((resolve) => {
    chunked.on("response", (response) => resolve(readText(response)));
  });
  chunked.write("x".repeat(150));
  chunked.write("x".repeat(150));
  const refusal = callerRefusalSchema.parse(JSON.parse(await answered));
  assert.is(refusal.error, ErrorKind.BodyTooLarge);
  chunked.end();
}, { maxBodyBytes: 200 });

harnessTest("should refuse headers beyond their limit", async (harness) => {
  const socket = harness.connect();
  socket.write(`GET /healthz HTTP/1.1\r\nlong: ${"x".repeat(2000)}\r\n\r\n`);
  const reply = await readText(socket);
  assert.match(reply, /^HTTP\/1\.1 431 /);
  const refusal = callerRefusalSchema.parse(
    JSON.parse(reply.split("\r\n\r\n")[1]),
  );
  assert.is(refusal.error, ErrorKind.HeadersTooLarge);
}, { maxHeaderBytes: 1000 });

harnessTest(
  "should never write a refusal into the response of an open call",
  async (harness) => {
    const body = JSON.stringify({ ...CALL, body: "b" });
    const socket = harness.connect();
    socket.write(
      `POST /v1/requests HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    );
    await harness.waitForEvent(EventKind.RequestArrived);
    socket.write("not http\r\n\r\n");
    assert.is(await readText(socket), "");
    await harness.waitForEvent(EventKind.CallerHungUp);
  },
);

harnessTest(
  "should limit open requests and the total size of bodies",
  async (harness) => {
    const first = harness.post({ ...CALL, body: "b" });
    await harness.waitForEvent(EventKind.RequestArrived);
    const second = await harness.post({ ...CALL, body: "b" });
    assert.is(second.status, 503);
    assert.is(
      (await parseRefusal(second)).error,
      ErrorKind.TooManyOpenRequests,
    );
    assert.is(second.headers.get("retry-after"), "1");
    harness.callerEdge.answer("r1", createAnswer("r1", ""));
    await (await first).text();
    await harness.waitUntil(() => harness.callerEdge.openRequests === 0);
    const third = await harness.post({ ...CALL, body: "x".repeat(200) });
    assert.is((await parseRefusal(third)).error, ErrorKind.TooManyOpenRequests);
  },
  { maxOpenRequests: 1, maxTotalBodyBytes: 150 },
);

harnessTest("should refuse a caller that is slow to send", async (harness) => {
  const socket = harness.connect();
  socket.write(
    "POST /v1/requests HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n{",
  );
  await harness.waitUntil(() => harness.callerEdge.openRequests === 1);
  assert.is(harness.timers.fire(DEFAULT_CALLER_LIMITS.bodyTimeoutMs), 1);
  const { discardTimeoutMs } = DEFAULT_CALLER_LIMITS;
  await harness.waitUntil(() => harness.timers.fire(discardTimeoutMs) === 1);
  const reply = await readText(socket);
  assert.match(reply, /^HTTP\/1\.1 408 /);
  assert.match(reply, /"error":"slow_caller","ran":"not_run"/);
});

harnessTest(
  "should disconnect a caller that is slow to read",
  async (harness) => {
    const body = JSON.stringify({ ...CALL, body: "b", stream: true });
    const socket = harness.connect().pause();
    socket.write(
      `POST /v1/requests HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    );
    await harness.waitForEvent(EventKind.RequestArrived);
    const piece = "x".repeat(64 * 1024);
    for (let sent = 0; sent < 1000 && harness.events.length === 1; sent++) {
      harness.callerEdge.streamText("r1", piece);
      await nextTurn();
    }
    await harness.waitForEvent(EventKind.CallerHungUp);
    socket.destroy();
  },
  { maxBufferedStreamBytes: 100_000 },
);

harnessTest("should distinguish health from readiness", async (harness) => {
  harness.readiness = { ready: false, reasons: ["No settings yet."] };
  assert.is((await fetch(`${harness.url}/healthz`)).status, 200);
  const notReady = await fetch(`${harness.url}/readyz`);
  assert.is(notReady.status, 503);
  assert.equal(await notReady.json(), harness.readiness);
  harness.readiness = { ready: true, reasons: [] };
  assert.is((await fetch(`${harness.url}/readyz`)).status, 200);
});

harnessTest(
  "should answer read routes and refuse unknown requests and paths",
  async (harness) => {
    const statusByPath = {
      "/metrics": 200,
      "/v1/status": 200,
      "/v1/requests/r1": 200,
      "/v1/why/r1": 200,
      "/v1/requests/r9": 404,
      "/v1/why/r9": 404,
      "/v1/nothing": 400,
    };
    for (const [path, status] of Object.entries(statusByPath)) {
      const response = await fetch(harness.url + path);
      assert.is(response.status, status, path);
      await response.text();
    }
  },
);

harnessTest(
  "should refuse new requests and finish open ones when shutting down",
  async (harness) => {
    const open = harness.post({ ...CALL, body: "b" });
    await harness.waitForEvent(EventKind.RequestArrived);
    harness.callerEdge.beginShutdown();
    const late = await harness.post({ ...CALL, body: "b" });
    assert.is(late.status, 503);
    assert.is(late.headers.get("connection"), "close");
    const refusal = await parseRefusal(late);
    assert.is(refusal.error, ErrorKind.ShuttingDown);
    assert.is(refusal.ran, RunState.NotRun);
    let stopped = false;
    const stopping = harness.callerEdge.stop().then(() => stopped = true);
    await nextTurn();
    assert.not.ok(stopped, "a call is open");
    harness.callerEdge.answer("r1", createAnswer("r1", "whole"));
    assert.is((await parseAnswer(open)).text, "whole");
    await stopping;
  },
);

test.run();
