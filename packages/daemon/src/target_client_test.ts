import { Buffer } from "node:buffer";
import { setImmediate as nextTurn } from "node:timers/promises";
import { EffectKind, type EffectOf } from "@chestnuthatch/core/effects";
import { EventKind } from "@chestnuthatch/core/events";
import { EngineEventKind } from "@chestnuthatch/wire/target_protocol";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type SeenRequest, TestEdge, TestServer } from "./edge_test_support.ts";
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

function dispatchOf(
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

class Bench {
  readonly edge = new TestEdge();
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
    this.client = new TargetClient(this.edge, {
      dispatchInput: () => this.input,
      timers: this.timers,
      limits,
    });
  }

  kinds(): EventKind[] {
    return this.edge.events.map((event) => event.kind);
  }
}

async function withServer(
  answer: (seen: SeenRequest) => void,
  run: (bench: Bench, server: TestServer) => Promise<void>,
): Promise<void> {
  const server = await new TestServer(answer).start();
  const bench = new Bench(server.address);
  try {
    await run(bench, server);
  } finally {
    await bench.client.stop();
    await server.stop();
  }
}

async function closedAddress(): Promise<string> {
  const server = await new TestServer(() => {}).start();
  const { address } = server;
  await server.stop();
  return address;
}

async function turnsUntil(isReached: () => boolean): Promise<void> {
  for (let turns = 0; !isReached(); turns++) {
    assert.ok(turns < MAX_TURNS, "waited for too many turns");
    await nextTurn();
  }
}

function lines(...events: unknown[]): string {
  return events.map((event) => `${JSON.stringify(event)}\n`).join("");
}

test("should say not sent when the connection is refused", async () => {
  const bench = new Bench(await closedAddress());
  bench.client.dispatch(dispatchOf());
  const end = await bench.edge.until(EventKind.DispatchNotSent);
  assert.is(end.reason, "ECONNREFUSED");
  assert.equal(bench.kinds(), [EventKind.DispatchNotSent]);
  assert.is(bench.client.openAttempts, 0);
  await bench.client.stop();
});

test("should say not sent when the address is unknown", async () => {
  const bench = new Bench("not an address");
  bench.client.dispatch(dispatchOf());
  await bench.edge.until(EventKind.DispatchNotSent);
  bench.input = undefined;
  bench.client.dispatch(dispatchOf());
  await nextTurn();
  assert.is(bench.kinds().length, 2);
  await bench.client.stop();
});

test("should pass a whole stream, cut anywhere", async () => {
  const bytes = Buffer.from(lines(START, TOKEN, END).trimEnd());
  await withServer(({ response }) => {
    for (const byte of bytes) {
      response.write(Buffer.of(byte));
    }
    response.end();
  }, async ({ client, edge }, server) => {
    client.dispatch(dispatchOf());
    assert.is((await edge.until(EventKind.StreamClosed)).reason, "");
    const events = edge.events.flatMap((event) =>
      event.kind === EventKind.StreamEvent ? [event.event] : []
    );
    assert.equal(events, [START, TOKEN, END]);
    assert.equal(JSON.parse(server.seen[0].body), {
      ...REF,
      model: "m",
      prompt: "prompt",
      promptTokens: 3,
      maxOutputTokens: 10,
      blockHashes: ["b1"],
    });
  });
});

test("should pass ids through as received when answers are crossed", async () => {
  const stray = { ...TOKEN, requestId: "r2", attemptNonce: "n2" };
  await withServer(
    ({ response }) => response.end(lines(stray)),
    async ({ client, edge }) => {
      client.dispatch(dispatchOf());
      const event = await edge.until(EventKind.StreamEvent);
      assert.is(event.requestId, "r1");
      assert.equal(event.event, stray);
      await edge.until(EventKind.StreamClosed);
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
      async ({ client, edge }) => {
        client.dispatch(dispatchOf());
        const closed = await edge.until(EventKind.StreamClosed);
        assert.is(closed.reason, reason);
      },
    );
  });
}

test("should close with a reason and send once when reset after the request", async () => {
  await withServer(
    ({ request }) => request.socket.resetAndDestroy(),
    async ({ client, edge }, server) => {
      client.dispatch(dispatchOf());
      const closed = await edge.until(EventKind.StreamClosed);
      assert.is.not(closed.reason, "");
      await nextTurn();
      assert.is(server.seen.length, 1);
      assert.is(edge.events.length, 1);
    },
  );
});

test("should close with a reason when a kept connection breaks under a request", async () => {
  await withServer(({ request, response, body }) => {
    if (body.includes("r2")) {
      request.socket.destroy();
    } else {
      response.end();
    }
  }, async ({ client, edge }, server) => {
    client.dispatch(dispatchOf());
    assert.is((await edge.until(EventKind.StreamClosed)).reason, "");
    edge.events.length = 0;
    // The connection is free for the next request two turns later.
    await nextTurn();
    await nextTurn();
    client.dispatch(dispatchOf({ requestId: "r2" }));
    assert.is.not((await edge.until(EventKind.StreamClosed)).reason, "");
    await nextTurn();
    assert.is(server.seen.length, 2);
    const [first, second] = server.seen.map(({ request }) => request.socket);
    assert.ok(first === second);
  });
});

test("should never send twice over keep-alive connections that the target closes", async () => {
  const CALLS = 20;
  await withServer(({ request, response }) => {
    response.end(lines(END), () => request.socket.destroy());
  }, async ({ client, edge }, server) => {
    for (let call = 0; call < CALLS; call++) {
      const requestId = `r${call}`;
      client.dispatch(dispatchOf({ requestId }));
      edge.events.length = 0;
      // The next call may find the closing connection still in the pool.
      await edge.until(EventKind.StreamClosed, EventKind.DispatchNotSent);
      for (let turns = 0; turns < call % 4; turns++) {
        await nextTurn();
      }
    }
    const ids = server.seen.map(({ body }) => JSON.parse(body).requestId);
    assert.is(new Set(ids).size, ids.length);
  });
});

test("should send no request that was cancelled or timed out in the queue", async () => {
  await withServer(() => {}, async (_bench, server) => {
    const bench = new Bench(server.address, { concurrentSends: 1 });
    // The queue's only turn is taken until the first connection is open.
    bench.client.dispatch(dispatchOf({ requestId: "first" }));
    bench.client.dispatch(dispatchOf({ requestId: "second" }));
    bench.client.dispatch(dispatchOf({ requestId: "third" }));
    bench.client.cancelStream({
      kind: EffectKind.CancelStream,
      ...REF,
      requestId: "second",
      targetId: "t1",
    });
    bench.edge.clock.atMs = 5000;
    bench.client.dispatch(dispatchOf({ requestId: "fourth" }));
    await turnsUntil(() => server.seen.length > 0);
    await bench.client.stop();
    await nextTurn();
    const ends = bench.edge.events.map((event) =>
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

test("should close a stream whose time is over", async () => {
  await withServer(() => {}, async ({ client, edge, timers }, server) => {
    client.dispatch(dispatchOf({ answerTimeLeftMs: 50 }));
    await turnsUntil(() => server.seen.length > 0);
    timers.fire(50);
    const closed = await edge.until(EventKind.StreamClosed);
    assert.is(closed.reason, "timed out");
  });
});

test("should resume at the same target and close the stream it replaces", async () => {
  await withServer(({ path, response }) => {
    response.write(lines(START));
    if (path.startsWith("/v1/resume")) {
      response.end(lines(END));
    }
  }, async ({ client, edge }, server) => {
    client.dispatch(dispatchOf());
    await edge.until(EventKind.StreamEvent);
    client.resumeStream({
      kind: EffectKind.ResumeStream,
      ...REF,
      targetId: "t1",
      fromToken: 4,
      answerTimeLeftMs: 10_000,
    });
    assert.is((await edge.until(EventKind.StreamClosed)).reason, "");
    assert.is(
      server.paths()[1],
      "/v1/resume?requestId=r1&attemptNonce=n1&fromToken=4",
    );
    const ends = edge.events.filter(({ kind }) =>
      kind === EventKind.StreamClosed
    );
    assert.is(ends.length, 1);
    await turnsUntil(() => server.seen[0].response.destroyed);
  });
});

test("should never call a resume that cannot connect not sent", async () => {
  const bench = new Bench(await closedAddress());
  bench.client.resumeStream({
    kind: EffectKind.ResumeStream,
    ...REF,
    targetId: "t1",
    fromToken: 0,
    answerTimeLeftMs: 10_000,
  });
  const closed = await bench.edge.until(EventKind.StreamClosed);
  assert.is(closed.reason, "ECONNREFUSED");
  await bench.client.stop();
});

test("should cancel an open stream at its engine", async () => {
  await withServer(({ path, response }) => {
    if (path === "/v1/cancel") {
      response.end('{"cancelled":true}');
    } else {
      response.write(lines(START));
    }
  }, async ({ client, edge }, server) => {
    client.dispatch(dispatchOf());
    await edge.until(EventKind.StreamEvent);
    client.cancelStream({
      kind: EffectKind.CancelStream,
      ...REF,
      targetId: "t1",
    });
    const closed = await edge.until(EventKind.StreamClosed);
    assert.is(closed.reason, "cancelled");
    await turnsUntil(() => server.seen.length === 2);
    assert.equal(JSON.parse(server.seen[1].body), REF);
  });
});

const { ServiceAnswered, StreamClosed } = EventKind;
const ANSWER = { ...REF, body: "sent", complete: true };
const CROSSED = { ...ANSWER, requestId: "r2", attemptNonce: "n2" };
for (
  const [title, status, answer, kinds, reason] of [
    ["its answer", 200, ANSWER, [ServiceAnswered], undefined],
    [
      "a crossed answer",
      200,
      CROSSED,
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
  test(`should tell of a service's call: ${title}`, async () => {
    await withServer(({ response }) => {
      response.writeHead(status).end(JSON.stringify(answer));
    }, async (bench) => {
      bench.input = { ...bench.input!, kind: TargetKind.Service };
      bench.client.dispatch(dispatchOf());
      await bench.edge.until(kinds.at(-1)!);
      assert.equal(bench.kinds(), [...kinds]);
      const end = bench.edge.events.at(-1) as { reason?: string };
      assert.is(end.reason, reason);
    });
  });
}

test("should poll load once at a time and tell failures", async () => {
  const bounds = { slotsTotal: 8, kvTotalTokens: 0, leaving: false };
  const used = { slotsUsed: 1, kvUsedTokens: 0, waitingRequests: 0 };
  const load = { targetId: "t1", ageMs: 5, ...bounds, ...used };
  await withServer(
    ({ response }) => response.end(JSON.stringify(load)),
    async ({ client, edge }, server) => {
      const { address } = server;
      const kind = EffectKind.PollLoad;
      client.pollLoad({ kind, targetId: "t1", address });
      client.pollLoad({ kind, targetId: "t1", address });
      const event = await edge.until(EventKind.LoadReported);
      assert.equal(event.load, load);
      assert.is(server.seen.length, 1);
      client.pollLoad({ kind, targetId: "t2", address });
      const failed = await edge.until(EventKind.LoadReportFailed);
      assert.is(failed.targetId, "t2");
    },
  );
});

test.run();
