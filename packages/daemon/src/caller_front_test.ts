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
import { CallerFront } from "./caller_front.ts";
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

class Bench {
  readonly timers = new ManualTimers();
  readonly events: UntimedEvent[] = [];
  readonly counted: string[] = [];
  readiness: Readiness = { ready: true, reasons: [] };
  readonly front: CallerFront;
  #minted = 0;

  constructor(limits: Partial<CallerLimits> = {}) {
    this.front = new CallerFront({
      clock: { nowMs: () => 0 },
      emit: (event) => void this.events.push(event),
      log: () => {},
      count: (_counter, labels) => void this.counted.push(labels.error),
    }, {
      host: "127.0.0.1",
      port: 0,
      limits,
      timers: this.timers,
      mintRequestId: () => `r${++this.#minted}`,
      reads: {
        readiness: () => this.readiness,
        requestState: (id) => id === "r1" ? { state: "waiting" } : undefined,
        why: (id) => id === "r1" ? { story: [] } : undefined,
        status: () => ({ instanceId: "njiro-hall-1" }),
        metrics: () =>
          Promise.resolve({ contentType: "text/plain", text: "up 1\n" }),
      },
    });
  }

  get url(): string {
    return `http://${this.front.address()}`;
  }

  post(body: unknown): Promise<Response> {
    const text = typeof body === "string" ? body : JSON.stringify(body);
    return fetch(`${this.url}/v1/requests`, { method: "POST", body: text });
  }

  async seen(kind: EventKind): Promise<void> {
    await this.until(() => this.events.some((event) => event.kind === kind));
  }

  async until(condition: () => boolean): Promise<void> {
    for (let turn = 0; turn < MAX_TURNS; turn++) {
      if (condition()) {
        return;
      }
      await nextTurn();
    }
    assert.unreachable("the condition never came to hold");
  }

  connect(): Socket {
    const [host, port] = this.front.address().split(":");
    return connect(Number(port), host);
  }

  async stop(): Promise<void> {
    let stopped = false;
    this.front.stop().then(() => stopped = true);
    await this.until(() => {
      this.timers.fire(DEFAULT_CALLER_LIMITS.discardTimeoutMs);
      return stopped;
    });
  }
}

function benchTest(
  title: string,
  run: (bench: Bench) => Promise<void>,
  limits: Partial<CallerLimits> = {},
): void {
  test(title, async () => {
    const bench = new Bench(limits);
    await bench.front.start();
    await run(bench);
    await bench.stop();
  });
}

function answerOf(requestId: string, text: string): Answer {
  const figures = { outputTokens: 2, waitedMs: 3, totalMs: 9 };
  return { requestId, text, targetId: "msaidizi-1", ...figures };
}

function refusalOf(requestId: string, error: ErrorKind): Refusal {
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

async function refusalIn(response: Response): Promise<Refusal> {
  return callerRefusalSchema.parse(await response.json());
}

async function answerIn(response: Promise<Response>): Promise<Answer> {
  return callerAnswerSchema.parse(await (await response).json());
}

benchTest("should answer bad input as the golden table says", async (bench) => {
  const cases = JSON.parse(readFileSync(BAD_INPUT_URL, "utf8"));
  for (const { sent, status, path, message } of cases) {
    const response = await bench.post(sent);
    const refusal = await refusalIn(response);
    assert.equal(
      { sent, status: response.status, path: refusal.path, message },
      { sent, status, path, message: refusal.message },
    );
    assert.is(refusal.error, ErrorKind.BadRequest);
    assert.is(refusal.ran, RunState.NotRun);
  }
  assert.is(bench.events.length, 0, "the core is told of none");
});

benchTest(
  "should deliver a whole answer and keep the body until then",
  async (bench) => {
    const pending = bench.post({ ...CALL, body: "stuck in maize" });
    await bench.seen(EventKind.RequestArrived);
    const [event] = bench.events;
    assert.ok(event.kind === EventKind.RequestArrived);
    assert.is(event.spec.requestId, "r1");
    assert.is(event.spec.promptTokens, 4);
    assert.is(bench.front.bodyOf("r1"), "stuck in maize");
    bench.front.answer("r1", answerOf("r1", "On the way."));
    const response = await pending;
    assert.is(response.status, 200);
    assert.is(response.headers.get("x-request-id"), "r1");
    assert.is(
      callerAnswerSchema.parse(await response.json()).text,
      "On the way.",
    );
    assert.is(bench.front.bodyOf("r1"), undefined);
  },
);

benchTest(
  "should refuse with the table's status and a hint in seconds",
  async (bench) => {
    const pending = bench.post({ ...CALL, body: "b" });
    await bench.seen(EventKind.RequestArrived);
    bench.front.refuse("r1", refusalOf("r1", ErrorKind.RateLimited));
    const response = await pending;
    assert.is(response.status, 429);
    assert.is(response.headers.get("retry-after"), "2");
    assert.is((await refusalIn(response)).retryAfterMs, 1200);
  },
);

benchTest(
  "should end a stream with a final event and the whole text",
  async (bench) => {
    const pending = bench.post({ ...CALL, body: "b", stream: true });
    await bench.seen(EventKind.RequestArrived);
    bench.front.streamText("r1", "On ");
    bench.front.answer("r1", answerOf("r1", "On the way."));
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

benchTest("should end a broken stream with an error event", async (bench) => {
  const pending = bench.post({ ...CALL, body: "b", stream: true });
  await bench.seen(EventKind.RequestArrived);
  bench.front.streamText("r1", "On ");
  bench.front.refuse("r1", refusalOf("r1", ErrorKind.AnswerIncomplete));
  bench.front.streamText("r1", "never sent");
  const response = await pending;
  assert.is(response.status, 200, "the stream had begun");
  const [, last, ...more] = (await response.text()).trimEnd().split("\n");
  assert.is(callerEventSchema.parse(JSON.parse(last)).kind, "error");
  assert.is(more.length, 0);
});

benchTest(
  "should refuse a stream that has not begun with its status",
  async (bench) => {
    const pending = bench.post({ ...CALL, body: "b", stream: true });
    await bench.seen(EventKind.RequestArrived);
    bench.front.refuse("r1", refusalOf("r1", ErrorKind.Overloaded));
    const response = await pending;
    assert.is(response.status, 503);
    const event = callerEventSchema.parse(await response.json());
    assert.is(event.kind, CallerEventKind.Error);
  },
);

benchTest(
  "should tell of a hang-up and keep a body that a joined call needs",
  async (bench) => {
    const body = JSON.stringify({ ...CALL, body: "b", idempotencyKey: "k" });
    const first = bench.connect();
    first.write(
      `POST /v1/requests HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    );
    await bench.seen(EventKind.RequestArrived);
    const second = bench.post(body);
    await bench.until(() => bench.events.length === 2);
    first.destroy();
    await bench.seen(EventKind.CallerHungUp);
    assert.equal(bench.events[2], {
      kind: EventKind.CallerHungUp,
      requestId: "r1",
    });
    assert.is(bench.front.bodyOf("r1"), "b");
    bench.front.answer("r1", answerOf("r1", "late"));
    bench.front.answer("r2", answerOf("r1", "whole"));
    assert.is((await answerIn(second)).text, "whole");
    assert.is(bench.front.bodyOf("r1"), undefined);
  },
);

benchTest("should not read a body beyond its limit", async (bench) => {
  const announced = await bench.post("x".repeat(300));
  assert.is(announced.status, 413);
  assert.is((await refusalIn(announced)).error, ErrorKind.BodyTooLarge);
  assert.is(announced.headers.get("connection"), "close");
  const chunked = httpRequest(`${bench.url}/v1/requests`, { method: "POST" });
  const answered = new Promise<string>((resolve) => {
    chunked.on("response", (response) => resolve(readText(response)));
  });
  chunked.write("x".repeat(150));
  chunked.write("x".repeat(150));
  const refusal = callerRefusalSchema.parse(JSON.parse(await answered));
  assert.is(refusal.error, ErrorKind.BodyTooLarge);
  chunked.end();
}, { maxBodyBytes: 200 });

benchTest("should refuse headers beyond their limit", async (bench) => {
  const socket = bench.connect();
  socket.write(`GET /healthz HTTP/1.1\r\nlong: ${"x".repeat(2000)}\r\n\r\n`);
  const reply = await readText(socket);
  assert.match(reply, /^HTTP\/1\.1 431 /);
  const refusal = callerRefusalSchema.parse(
    JSON.parse(reply.split("\r\n\r\n")[1]),
  );
  assert.is(refusal.error, ErrorKind.HeadersTooLarge);
}, { maxHeaderBytes: 1000 });

benchTest(
  "should never write a refusal into a call under way",
  async (bench) => {
    const body = JSON.stringify({ ...CALL, body: "b" });
    const socket = bench.connect();
    socket.write(
      `POST /v1/requests HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    );
    await bench.seen(EventKind.RequestArrived);
    socket.write("not http\r\n\r\n");
    assert.is(await readText(socket), "");
    await bench.seen(EventKind.CallerHungUp);
  },
);

benchTest(
  "should bound open requests and kept bytes of bodies",
  async (bench) => {
    const first = bench.post({ ...CALL, body: "b" });
    await bench.seen(EventKind.RequestArrived);
    const second = await bench.post({ ...CALL, body: "b" });
    assert.is(second.status, 503);
    assert.is((await refusalIn(second)).error, ErrorKind.TooManyOpenRequests);
    assert.is(second.headers.get("retry-after"), "1");
    bench.front.answer("r1", answerOf("r1", ""));
    await (await first).text();
    await bench.until(() => bench.front.openRequests === 0);
    const third = await bench.post({ ...CALL, body: "x".repeat(200) });
    assert.is((await refusalIn(third)).error, ErrorKind.TooManyOpenRequests);
  },
  { maxOpenRequests: 1, maxKeptBodyBytes: 150 },
);

benchTest("should refuse a caller that is slow to send", async (bench) => {
  const socket = bench.connect();
  socket.write(
    "POST /v1/requests HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n{",
  );
  await bench.until(() => bench.front.openRequests === 1);
  assert.is(bench.timers.fire(DEFAULT_CALLER_LIMITS.bodyTimeoutMs), 1);
  const { discardTimeoutMs } = DEFAULT_CALLER_LIMITS;
  await bench.until(() => bench.timers.fire(discardTimeoutMs) === 1);
  const reply = await readText(socket);
  assert.match(reply, /^HTTP\/1\.1 408 /);
  assert.match(reply, /"error":"slow_caller","ran":"not_run"/);
});

benchTest("should cut off a caller that is slow to read", async (bench) => {
  const body = JSON.stringify({ ...CALL, body: "b", stream: true });
  const socket = bench.connect().pause();
  socket.write(
    `POST /v1/requests HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
  );
  await bench.seen(EventKind.RequestArrived);
  const piece = "x".repeat(64 * 1024);
  for (let sent = 0; sent < 1000 && bench.events.length === 1; sent++) {
    bench.front.streamText("r1", piece);
    await nextTurn();
  }
  await bench.seen(EventKind.CallerHungUp);
  socket.destroy();
}, { maxBufferedStreamBytes: 100_000 });

benchTest("should tell health and readiness apart", async (bench) => {
  bench.readiness = { ready: false, reasons: ["No settings yet."] };
  assert.is((await fetch(`${bench.url}/healthz`)).status, 200);
  const notReady = await fetch(`${bench.url}/readyz`);
  assert.is(notReady.status, 503);
  assert.equal(await notReady.json(), bench.readiness);
  bench.readiness = { ready: true, reasons: [] };
  assert.is((await fetch(`${bench.url}/readyz`)).status, 200);
});

benchTest(
  "should answer reads, and refuse what it does not know",
  async (bench) => {
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
      const response = await fetch(bench.url + path);
      assert.is(response.status, status, path);
      await response.text();
    }
  },
);

benchTest(
  "should refuse new requests and finish open ones when shutting down",
  async (bench) => {
    const open = bench.post({ ...CALL, body: "b" });
    await bench.seen(EventKind.RequestArrived);
    bench.front.beginShutdown();
    const late = await bench.post({ ...CALL, body: "b" });
    assert.is(late.status, 503);
    assert.is(late.headers.get("connection"), "close");
    const refusal = await refusalIn(late);
    assert.is(refusal.error, ErrorKind.ShuttingDown);
    assert.is(refusal.ran, RunState.NotRun);
    let stopped = false;
    const stopping = bench.front.stop().then(() => stopped = true);
    await nextTurn();
    assert.not.ok(stopped, "a call is open");
    bench.front.answer("r1", answerOf("r1", "whole"));
    assert.is((await answerIn(open)).text, "whole");
    await stopping;
  },
);

test.run();
