import { Buffer } from "node:buffer";
import { setImmediate as nextTurn } from "node:timers/promises";
import { EffectKind, type EffectOf } from "@chestnuthatch/core/effects";
import { EventKind } from "@chestnuthatch/core/events";
import { EngineEventKind } from "@chestnuthatch/wire/target_protocol";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type ReceivedRequest,
  TestContext,
  TestServer,
} from "./edge_test_support.ts";
import { ManualTimers } from "./manual_timers.ts";
import type { DispatchInput } from "./target_adapter.ts";
import { TargetClient, type TargetClientLimits } from "./target_client.ts";

const MAX_TURNS = 10_000;
const REF = { requestId: "r1", attemptNonce: "n1" };
const START = {
  kind: EngineEventKind.Start,
  ...REF,
  cachedTokens: 0,
  prefilledTokens: 3,
};
const TOKEN = { kind: EngineEventKind.Token, ...REF, index: 0, text: "mähen" };
const END = { kind: EngineEventKind.End, ...REF, outputTokens: 1 };

function dispatchEffect(
  changes: Partial<EffectOf<EffectKind.Dispatch>> = {},
): EffectOf<EffectKind.Dispatch> {
  return {
    kind: EffectKind.Dispatch,
    ...REF,
    targetId: "t1",
    pool: "msaidizi",
    maxOutputTokens: 10,
    tierRank: 0,
    value: 1,
    timeLeftMs: 10_000,
    answerTimeLeftMs: 10_000,
    ...changes,
  };
}

class TargetClientHarness {
  readonly context = new TestContext();
  readonly timers = new ManualTimers();
  readonly client: TargetClient;
  input: DispatchInput | undefined;

  constructor(address: string, limits: Partial<TargetClientLimits> = {}) {
    this.input = {
      kind: TargetKind.Engine,
      address,
      body: "prompt",
      model: "m",
      promptTokens: 3,
      blockHashes: ["b1"],
    };
    this.client = new TargetClient(this.context, {
      dispatchInput: () => this.input,
      timers: this.timers,
      limits,
    });
  }

  kinds(): EventKind[] {
    return this.context.events.map((event) => event.kind);
  }
}

async function withServer(
  answer: (seen: ReceivedRequest) => void,
  run: (harness: TargetClientHarness, server: TestServer) => Promise<void>,
): Promise<void> {
  const server = await new TestServer(answer).start();
  const harness = new TargetClientHarness(server.address);
  try {
    await run(harness, server);
  } finally {
    await harness.client.stop();
    await server.stop();
  }
}

async function closedAddress(): Promise<string> {
  const server = await new TestServer(() => {}).start();
  const { address } = server;
  await server.stop();
  return address;
}

async function waitUntil(isReached: () => boolean): Promise<void> {
  for (let turns = 0; !isReached(); turns++) {
    assert.ok(turns < MAX_TURNS, "the condition was never met");
    await nextTurn();
  }
}

function toLines(...events: unknown[]): string {
  return events.map((event) => `${JSON.stringify(event)}\n`).join("");
}

test("should report not sent when the connection is refused", async () => {
  const harness = new TargetClientHarness(await closedAddress());
  harness.client.dispatch(dispatchEffect());
  const end = await harness.context.waitForEvent(EventKind.DispatchNotSent);
  assert.is(end.reason, "ECONNREFUSED");
  assert.equal(harness.kinds(), [EventKind.DispatchNotSent]);
  assert.is(harness.client.openAttempts, 0);
  await harness.client.stop();
});

test("should report not sent when the address is unknown", async () => {
  const harness = new TargetClientHarness("not an address");
  harness.client.dispatch(dispatchEffect());
  await harness.context.waitForEvent(EventKind.DispatchNotSent);
  harness.input = undefined;
  harness.client.dispatch(dispatchEffect());
  await nextTurn();
  assert.is(harness.kinds().length, 2);
  await harness.client.stop();
});

test("should pass on a complete stream that arrives in single bytes", async () => {
  const bytes = Buffer.from(toLines(START, TOKEN, END).trimEnd());
  await withServer(({ response }) => {
    for (const byte of bytes) {
      response.write(Buffer.of(byte));
    }
    response.end();
  }, async ({ client, context }, server) => {
    client.dispatch(dispatchEffect());
    assert.is((await context.waitForEvent(EventKind.StreamClosed)).reason, "");
    const events = context.events.flatMap((event) =>
      event.kind === EventKind.StreamEvent ? [event.event] : []
    );
    assert.equal(events, [START, TOKEN, END]);
    assert.equal(JSON.parse(server.received[0].body), {
      ...REF,
      model: "m",
      prompt: "prompt",
      promptTokens: 3,
      maxOutputTokens: 10,
      blockHashes: ["b1"],
    });
  });
});

test("should pass on the ids of an event that names another attempt", async () => {
  const otherEvent = { ...TOKEN, requestId: "r2", attemptNonce: "n2" };
  await withServer(
    ({ response }) => response.end(toLines(otherEvent)),
    async ({ client, context }) => {
      client.dispatch(dispatchEffect());
      const event = await context.waitForEvent(EventKind.StreamEvent);
      assert.is(event.requestId, "r1");
      assert.equal(event.event, otherEvent);
      await context.waitForEvent(EventKind.StreamClosed);
    },
  );
});

for (
  const [title, body, reason] of [
    ["bad JSON", "{nonsense\n", "line is not JSON"],
    ["an unknown event", '{"kind":"hello"}\n', "line is not an engine event"],
    ["an endless line", "x".repeat(300 * 1024), "line too long"],
    ["bad text", Buffer.of(0xff, 0x0a), "line is not UTF-8"],
  ] as const
) {
  test(`should close a stream on ${title}`, async () => {
    await withServer(
      ({ response }) => response.end(body),
      async ({ client, context }) => {
        client.dispatch(dispatchEffect());
        const closed = await context.waitForEvent(EventKind.StreamClosed);
        assert.is(closed.reason, reason);
      },
    );
  });
}

test("should close with a reason and send once when the connection is reset after the request", async () => {
  await withServer(
    ({ request }) => request.socket.resetAndDestroy(),
    async ({ client, context }, server) => {
      client.dispatch(dispatchEffect());
      const closed = await context.waitForEvent(EventKind.StreamClosed);
      assert.is.not(closed.reason, "");
      await nextTurn();
      assert.is(server.received.length, 1);
      assert.is(context.events.length, 1);
    },
  );
});

test("should close with a reason when a reused connection breaks during a request", async () => {
  await withServer(({ request, response, body }) => {
    if (body.includes("r2")) {
      request.socket.destroy();
    } else {
      response.end();
    }
  }, async ({ client, context }, server) => {
    client.dispatch(dispatchEffect());
    assert.is((await context.waitForEvent(EventKind.StreamClosed)).reason, "");
    context.events.length = 0;
    // The connection can be reused two turns of the event loop later.
    await nextTurn();
    await nextTurn();
    client.dispatch(dispatchEffect({ requestId: "r2" }));
    assert.is.not(
      (await context.waitForEvent(EventKind.StreamClosed)).reason,
      "",
    );
    await nextTurn();
    assert.is(server.received.length, 2);
    const [first, second] = server.received.map(({ request }) =>
      request.socket
    );
    assert.ok(first === second);
  });
});

test("should never send twice over keep-alive connections that the target closes", async () => {
  const CALLS = 20;
  await withServer(({ request, response }) => {
    response.end(toLines(END), () => request.socket.destroy());
  }, async ({ client, context }, server) => {
    for (let call = 0; call < CALLS; call++) {
      const requestId = `r${call}`;
      client.dispatch(dispatchEffect({ requestId }));
      context.events.length = 0;
      // The next call may find the closing connection still in the pool.
      await context.waitForEvent(
        EventKind.StreamClosed,
        EventKind.DispatchNotSent,
      );
      for (let turns = 0; turns < call % 4; turns++) {
        await nextTurn();
      }
    }
    const ids = server.received.map(({ body }) => JSON.parse(body).requestId);
    assert.is(new Set(ids).size, ids.length);
  });
});

test("should send no request that was cancelled or timed out in the queue", async () => {
  await withServer(() => {}, async (_harness, server) => {
    const harness = new TargetClientHarness(server.address, {
      maxConcurrentSends: 1,
    });
    // The queue's only slot is in use until the first connection is open.
    harness.client.dispatch(dispatchEffect({ requestId: "first" }));
    harness.client.dispatch(dispatchEffect({ requestId: "second" }));
    harness.client.dispatch(dispatchEffect({ requestId: "third" }));
    harness.client.cancelStream({
      kind: EffectKind.CancelStream,
      ...REF,
      requestId: "second",
      targetId: "t1",
    });
    harness.context.clock.atMs = 5000;
    harness.client.dispatch(dispatchEffect({ requestId: "fourth" }));
    await waitUntil(() => server.received.length > 0);
    await harness.client.stop();
    await nextTurn();
    const ends = harness.context.events.map((event) =>
      "reason" in event && "requestId" in event
        ? `${event.requestId} ${event.kind}: ${event.reason}`
        : event.kind
    );
    assert.equal(ends.sort(), [
      "first dispatch_not_sent: waited too long to be sent",
      "fourth stream_closed: the instance stopped",
      "second dispatch_not_sent: cancelled",
      "third dispatch_not_sent: waited too long to be sent",
    ]);
  });
});

test("should close a stream at its deadline", async () => {
  await withServer(() => {}, async ({ client, context, timers }, server) => {
    client.dispatch(dispatchEffect({ answerTimeLeftMs: 50 }));
    await waitUntil(() => server.received.length > 0);
    timers.fire(50);
    const closed = await context.waitForEvent(EventKind.StreamClosed);
    assert.is(closed.reason, "timed out");
  });
});

test("should resume at the same target and close the stream it replaces", async () => {
  await withServer(({ path, response }) => {
    response.write(toLines(START));
    if (path.startsWith("/v1/resume")) {
      response.end(toLines(END));
    }
  }, async ({ client, context }, server) => {
    client.dispatch(dispatchEffect());
    await context.waitForEvent(EventKind.StreamEvent);
    client.resumeStream({
      kind: EffectKind.ResumeStream,
      ...REF,
      targetId: "t1",
      fromToken: 4,
      answerTimeLeftMs: 10_000,
    });
    assert.is((await context.waitForEvent(EventKind.StreamClosed)).reason, "");
    assert.is(
      server.paths()[1],
      "/v1/resume?requestId=r1&attemptNonce=n1&fromToken=4",
    );
    const ends = context.events.filter(({ kind }) =>
      kind === EventKind.StreamClosed
    );
    assert.is(ends.length, 1);
    await waitUntil(() => server.received[0].response.destroyed);
  });
});

test("should never report a resume that cannot connect as not sent", async () => {
  const harness = new TargetClientHarness(await closedAddress());
  harness.client.resumeStream({
    kind: EffectKind.ResumeStream,
    ...REF,
    targetId: "t1",
    fromToken: 0,
    answerTimeLeftMs: 10_000,
  });
  const closed = await harness.context.waitForEvent(EventKind.StreamClosed);
  assert.is(closed.reason, "ECONNREFUSED");
  await harness.client.stop();
});

test("should cancel an open stream at its engine", async () => {
  await withServer(({ path, response }) => {
    if (path === "/v1/cancel") {
      response.end('{"cancelled":true}');
    } else {
      response.write(toLines(START));
    }
  }, async ({ client, context }, server) => {
    client.dispatch(dispatchEffect());
    await context.waitForEvent(EventKind.StreamEvent);
    client.cancelStream({
      kind: EffectKind.CancelStream,
      ...REF,
      targetId: "t1",
    });
    const closed = await context.waitForEvent(EventKind.StreamClosed);
    assert.is(closed.reason, "cancelled");
    await waitUntil(() => server.received.length === 2);
    assert.equal(JSON.parse(server.received[1].body), REF);
  });
});

const { ServiceAnswered, StreamClosed } = EventKind;
const ANSWER = { ...REF, body: "sent", complete: true };
const OTHER_ATTEMPT_ANSWER = { ...ANSWER, requestId: "r2", attemptNonce: "n2" };
for (
  const [title, status, answer, kinds, reason] of [
    ["its answer", 200, ANSWER, [ServiceAnswered], undefined],
    [
      "an answer to another attempt",
      200,
      OTHER_ATTEMPT_ANSWER,
      [ServiceAnswered, StreamClosed],
      "the answer names another attempt",
    ],
    [
      "no end marker",
      200,
      { ...REF, body: "se" },
      [StreamClosed],
      "answer is not a service answer",
    ],
    ["an error", 503, {}, [StreamClosed], "status 503"],
  ] as const
) {
  test(`should report the end of a service's call: ${title}`, async () => {
    await withServer(({ response }) => {
      response.writeHead(status).end(JSON.stringify(answer));
    }, async (harness) => {
      harness.input = { ...harness.input!, kind: TargetKind.Service };
      harness.client.dispatch(dispatchEffect());
      await harness.context.waitForEvent(kinds.at(-1)!);
      assert.equal(harness.kinds(), [...kinds]);
      const end = harness.context.events.at(-1) as { reason?: string };
      assert.is(end.reason, reason);
    });
  });
}

test("should poll load without overlap and report failures", async () => {
  const bounds = { slotsTotal: 8, kvTotalTokens: 0, leaving: false };
  const used = { slotsUsed: 1, kvUsedTokens: 0, waitingRequests: 0 };
  const load = { targetId: "t1", ageMs: 5, ...bounds, ...used };
  await withServer(
    ({ response }) => response.end(JSON.stringify(load)),
    async ({ client, context }, server) => {
      const { address } = server;
      const kind = EffectKind.PollLoad;
      client.pollLoad({ kind, targetId: "t1", address });
      client.pollLoad({ kind, targetId: "t1", address });
      const event = await context.waitForEvent(EventKind.LoadReported);
      assert.equal(event.load, load);
      assert.is(server.received.length, 1);
      client.pollLoad({ kind, targetId: "t2", address });
      const failed = await context.waitForEvent(EventKind.LoadReportFailed);
      assert.is(failed.targetId, "t2");
    },
  );
});

test.run();
