/** Tests of attempts whose streams arrive fast, or break off. */

import { Agent } from "node:http";
import { type AddressInfo, createServer } from "node:net";
import { AttemptEnd } from "@chestnuthatch/routing/next_step";
import { boardOf, routeOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { AnswerMemory } from "./answer_memory.ts";
import type { GatewayParts } from "./gateway_parts.ts";
import { TargetAttempt } from "./target_attempt.ts";
import { collectUnhandled } from "./unhandled_errors_test_support.ts";

const HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
const EVENT_COUNT = 20_000;

/** What an attempt passed on, and how it ended. */
interface Outcome {
  writes: number;
  bytes: number;
  end?: AttemptEnd;
  reason?: string;
}

/** Runs an attempt at a target that sends a stream of the given text. */
async function streamOf(
  text: string,
  hasEnded = () => Promise.resolve(false),
): Promise<Outcome> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => socket.end(HEAD + text));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const parts = {
    answerMemory: new AnswerMemory(),
    clock: { nowMs: () => 0 },
    agentFor: () => new Agent(),
    protocol: {
      forwardHeaders: () => [],
      readAnswer: () => ({ genuine: true, signals: {} }),
    },
    reachability: {
      relayFor: () => undefined,
      answered: () => {},
      hasEnded,
    },
    targetSignals: { answerReceived: () => {} },
    placementClient: { reportFirstEvent: () => {} },
  } as unknown as GatewayParts;
  const target = {
    ...boardOf(["t1"]).targets.get("t1")!,
    address: `127.0.0.1:${port}`,
  };
  const outcome: Outcome = { writes: 0, bytes: 0 };
  await new Promise<void>((resolve) => {
    const attempt = new TargetAttempt(parts, {
      call: {
        facts: { requestId: "q1", key: "k1", promptParts: [] },
        route: routeOf(),
        pool: "p",
        configurationVersion: 1,
        method: "GET",
        path: "/r/",
        rawHeaders: [],
        arrivedAtMs: 0,
      },
      askId: "a1",
      target,
      expectedMs: 50,
      isTrial: false,
    }, {
      events: (bytes) => {
        outcome.writes++;
        outcome.bytes += bytes.length;
      },
      streamEnded: () => resolve(),
      answered: () => resolve(),
      ended: (end, reason) => {
        Object.assign(outcome, { end, reason });
        resolve();
      },
    });
    attempt.send();
  });
  server.close();
  return outcome;
}

// Guards against a write for each event, which takes a hundred times the event's
// bytes until the caller has read it.
test("small events that arrive together are written together", async () => {
  const text = "data: a\n\n".repeat(EVENT_COUNT);
  const { writes, bytes, end } = await streamOf(text);
  assert.is(bytes, text.length);
  assert.is(end, undefined);
  assert.ok(writes < EVENT_COUNT / 100, `${writes} writes`);
});

// Guards against a stream that is read until its deadline, as fast as it can be,
// although nothing of it is part of an answer.
test("a stream of empty lines or comments is broken off", async () => {
  for (const text of ["\n\n", ":\n\n"]) {
    const { reason } = await streamOf(text.repeat(EVENT_COUNT));
    assert.is(reason, "stream has too many events without content");
  }
  const heartbeats = ":\n\n".repeat(1000) + "data: a\n\n";
  assert.is((await streamOf(heartbeats.repeat(10))).reason, undefined);
});

// Guards against a caller that waits until its deadline for a lost answer, as an
// error in the check of the target ended the attempt without a result.
test("a lost answer ends the attempt if its target cannot be checked", () =>
  collectUnhandled(async (messages) => {
    const brokenCheck = () => Promise.reject(new Error("broken check"));
    const { end, reason } = await streamOf("data: a", brokenCheck);
    assert.equal(
      [end, reason, messages],
      [AttemptEnd.Lost, "stream ended inside an event", ["broken check"]],
    );
  }));

test.run();
