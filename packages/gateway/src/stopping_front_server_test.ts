/** Tests of callers' connections at the end of a graceful stop. */

import { once } from "node:events";
import type { IncomingHttpHeaders } from "node:http";
import { connect, type Socket } from "node:net";
import { Writable } from "node:stream";
import { boardOf } from "@chestnuthatch/routing/routing_test_support";
import {
  type AskDecision,
  AskRefusal,
  type WorkAsk,
} from "@chestnuthatch/routing/work_ask";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRequestMemory } from "./answer_memory.ts";
import { EventLog } from "./event_log.ts";
import { FrontServer } from "./front_server.ts";
import { GracefulStop } from "./graceful_stop.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewayParts } from "./gateway_parts.ts";
import { collectUnhandled } from "./unhandled_errors_test_support.ts";

const GRACE_MS = 1000;
const HEAD =
  "POST /r/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\n";
const REFUSED = {
  refusal: AskRefusal.NoTarget,
  retryAfterMs: 1000,
  figures: {},
};

const MAX_TURNS = 10_000;

/** Waits for turns of the event loop until a condition holds. */
async function until(holds: () => boolean): Promise<void> {
  for (let turn = 0; !holds() && turn < MAX_TURNS; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** A server without targets, and one caller that is connected to it. */
class StoppingFront {
  readonly front: FrontServer;
  received = "";
  askCount = 0;
  breaksReading = false;
  socket!: Socket;

  readonly #log: EventLog;
  #nowMs = 0;

  constructor() {
    const clock = { nowMs: () => 0 };
    const output = new Writable({ write: (_chunk, _code, done) => done() });
    this.#log = new EventLog(clock, "i1", output);
    this.front = new FrontServer({
      board: boardOf([]),
      requestMemory: createRequestMemory(),
      clock,
      log: this.#log,
      metrics: new GatewayMetrics(),
      protocol: {
        readCall: (_headers: IncomingHttpHeaders) => {
          if (this.breaksReading) {
            throw new Error("broken reading");
          }
          return { requestId: "q1", promptParts: [] };
        },
      },
      lateMs: () => 0,
      nextAskId: () => "a1",
      placementClient: {
        ask: (ask: WorkAsk, decide: (decision: AskDecision) => void) => {
          this.askCount++;
          decide({ ...ask, ...REFUSED });
        },
        drop: () => {},
      },
    } as unknown as GatewayParts);
  }

  async connect(): Promise<void> {
    await this.front.open("127.0.0.1:0");
    const [host, port] = this.front.address.split(":");
    this.socket = connect(Number(port), host);
    this.socket.setEncoding("latin1");
    this.socket.on("data", (text: string) => this.received += text);
    this.socket.on("error", () => {});
    await once(this.socket, "connect");
    await until(() => this.front.connections.openConnections > 0);
  }

  /** Stops gracefully, without a poll of the event loop until the end. */
  stop(): Promise<void> {
    return new GracefulStop({
      front: this.front,
      relay: { openCount: 0 },
      clock: { nowMs: () => this.#nowMs },
      log: this.#log,
      graceMs: () => GRACE_MS,
      pause: (forMs) => {
        this.#nowMs += forMs;
        return Promise.resolve();
      },
    }).run();
  }

  /** Ends the server like the end of its process, and the caller. */
  async end(): Promise<void> {
    this.front.close();
    this.front.kill();
    await until(() => this.socket.closed);
  }

  assertRefused(): void {
    assert.match(this.received, /^HTTP\/1\.1 503 /);
    assert.match(this.received, /Retry-After: 0\.050\r\n/);
    assert.match(this.received, /Connection: close\r\n/);
    assert.is(this.askCount, 0);
  }
}

// Guards against requests that end unanswered, as only those that were read
// completely were refused at the end of the stop.
test("a request whose body is still being read is refused at the end", async () => {
  const stopping = new StoppingFront();
  await stopping.connect();
  const { front, socket } = stopping;
  front.announceClosing(() => 300);
  socket.write(`${HEAD}bo`);
  await until(() => front.openCount > 0);
  front.abortRequests();
  await until(() => stopping.received !== "");
  socket.write("dy");
  await stopping.end();
  stopping.assertRefused();
});

// Guards against a request that is sent although its body ended too late.
test("a request whose body ends when too little time is left is refused", async () => {
  const stopping = new StoppingFront();
  await stopping.connect();
  const { front, socket } = stopping;
  front.announceClosing(() => 900);
  socket.write(`${HEAD}bo`);
  await until(() => front.openCount > 0);
  front.refuseRequests();
  socket.write("dy");
  await until(() => stopping.received !== "");
  await stopping.end();
  stopping.assertRefused();
});

// Guards against a reset of idle connections on which a request has arrived.
test("a request on a connection that is about to be closed as idle is refused", async () => {
  const stopping = new StoppingFront();
  await stopping.connect();
  const { front, socket } = stopping;
  socket.write(`${HEAD}body`);
  await until(() => stopping.received.endsWith("}"));
  await until(() => front.connections.owedAnswers === 0);
  stopping.received = "";
  stopping.askCount = 0;
  front.announceClosing(() => GRACE_MS);
  socket.write(`${HEAD}body`);
  front.refuseRequests();
  await until(() => socket.closed);
  await stopping.end();
  stopping.assertRefused();
});

// Guards against an exit that resets connections on which a request has arrived.
test("a request that arrives right before the end of the stop is refused", async () => {
  const stopping = new StoppingFront();
  await stopping.connect();
  stopping.socket.write(`${HEAD}body`);
  await stopping.stop();
  await stopping.end();
  stopping.assertRefused();
});

// Guards against a request without an answer, which its caller waits for until its
// deadline, and a later stop until the end of the grace period.
test("a request whose reading fails is refused", () =>
  collectUnhandled(async (messages) => {
    const stopping = new StoppingFront();
    stopping.breaksReading = true;
    await stopping.connect();
    stopping.socket.write(`${HEAD}body`);
    await until(() => stopping.received !== "");
    const { owedAnswers } = stopping.front.connections;
    await stopping.end();
    assert.match(stopping.received, /^HTTP\/1\.1 503 /);
    assert.match(stopping.received, /Retry-After: 0\.500\r\n/);
    assert.equal([owedAnswers, messages], [0, ["broken reading"]]);
  }));

test.run();
