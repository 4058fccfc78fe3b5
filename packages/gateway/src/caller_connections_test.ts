import { Buffer } from "node:buffer";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { Writable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ConnectionEnd } from "./caller_connection.ts";
import { CallerConnections } from "./caller_connections.ts";
import { ShutdownStage } from "./shutdown_stage.ts";
import { EventLog } from "./event_log.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { UnfinishedAnswer } from "./unfinished_answer.ts";

const HOST = "127.0.0.1";
/** More than the buffers of an unread connection hold. */
const LARGE_BYTES = 32 * 1024 * 1024;
const SMALL = Buffer.from("whole");
const CLOCK = { nowMs: () => 0 };
const POLLS = 1500;
const POLL_MS = 10;
/** Longer than any test waits. */
const NEVER_MS = 600_000;

/** Time limits of the server. */
interface Limits {
  idleTimeMs?: number;
  headersTimeMs?: number;
}

/** A server whose paths answer in different ways, with its log and metrics. */
class Harness {
  readonly callers: Socket[] = [];
  /** The server's sockets of the callers' connections. */
  readonly accepted: Socket[] = [];
  readonly #texts: string[] = [];
  readonly #metrics = new GatewayMetrics();
  readonly #log = new EventLog(
    CLOCK,
    "i1",
    new Writable({
      write: (chunk, _encoding, done) => {
        this.#texts.push(String(chunk));
        done();
      },
    }),
  );
  readonly connections = new CallerConnections({
    clock: CLOCK,
    log: this.#log,
    metrics: this.#metrics,
    stage: () => ShutdownStage.Refusing,
    idleTimeoutMs: () => this.#idleTimeMs,
  });
  readonly #idleTimeMs: number;
  readonly server: Server;
  /** The answer to the latest request. */
  latest?: UnfinishedAnswer;

  constructor({ idleTimeMs = NEVER_MS, headersTimeMs = NEVER_MS }: Limits) {
    this.#idleTimeMs = idleTimeMs;
    this.server = createServer({
      keepAliveTimeout: idleTimeMs,
      headersTimeout: headersTimeMs,
      requestTimeout: 0,
      connectionsCheckingInterval: POLL_MS,
    }, (request, response) => this.#read(request, response));
    this.server.on("connection", (socket) => {
      this.accepted.push(socket);
      this.connections.add(socket);
    });
    this.server.on("clientError", (error, socket) => {
      this.connections.handleUnreadable(socket as Socket, error);
    });
  }

  /** Connects a caller that reads nothing yet. */
  async call(text: string): Promise<Socket> {
    const { port } = this.server.address() as AddressInfo;
    const caller = connect(port, HOST);
    caller.on("error", () => {});
    this.callers.push(caller);
    await once(caller, "connect");
    caller.write(text);
    return caller;
  }

  /** Connects a caller whose request is read. */
  async request(path: string, more = ""): Promise<Socket> {
    this.latest = undefined;
    const caller = await this.call(requestOf(path, more));
    await until(() => this.latest !== undefined);
    return caller;
  }

  /** Log lines, without the facts that every line has. */
  lines(): Record<string, unknown>[] {
    this.#log.flush();
    const lines = this.#texts.join("").split("\n").filter((text) => text);
    return lines.map((text) => {
      const { atMs: _, instance: _instance, level: _level, part, ...facts } =
        JSON.parse(text);
      assert.is(part, "request");
      return facts;
    });
  }

  /** Waits for a number of log lines and returns all. */
  async linesOf(count: number): Promise<Record<string, unknown>[]> {
    await until(() => this.lines().length >= count);
    return this.lines();
  }

  /** Counters of connections, once those of all callers have ended. */
  async counters(): Promise<string[]> {
    await until(() => this.connections.summary.openConnections === 0);
    const text = await this.#metrics.text();
    return text.split("\n").filter((line) =>
      /^chestnuthatch_(caller_connections_ended|unanswered)/.test(line)
    );
  }

  close(): void {
    this.callers.forEach((caller) => caller.destroy());
    this.server.closeAllConnections();
    this.server.close();
  }

  #read(request: IncomingMessage, response: ServerResponse): void {
    const unfinished = new UnfinishedAnswer(response, {
      requestId: request.url!,
      arrivedAtMs: 0,
      closesConnection: !response.shouldKeepAlive,
    });
    this.connections.trackAnswer(unfinished);
    ANSWERS[request.url!]!(response);
    request.on("error", () => {});
    request.resume();
    this.latest = unfinished;
  }
}

const ANSWERS: Readonly<Record<string, (response: ServerResponse) => void>> = {
  "/large": (response) => response.end(Buffer.alloc(LARGE_BYTES)),
  "/small": (response) => response.end(SMALL),
  "/begun": (response) => response.write(SMALL),
  "/never": () => {},
};

function requestOf(path: string, more = ""): string {
  return `POST ${path} HTTP/1.1\r\nHost: h\r\n${more}\r\n`;
}

async function until(holds: () => boolean): Promise<void> {
  for (let polls = 0; !holds(); polls++) {
    assert.ok(polls < POLLS, `timed out waiting for ${holds}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

/**
 * Reads to the end of a connection. A reset that arrives together with data
 * shows only on the next write.
 */
function endsByReset(caller: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    caller.once("error", () => resolve(true));
    caller.prependOnceListener("end", () => {
      caller.write(Buffer.alloc(0), (error) => resolve(error instanceof Error));
    });
    caller.resume();
  });
}

function testOn(
  name: string,
  run: (harness: Harness) => Promise<void>,
  limits: Limits = {},
): void {
  test(name, async () => {
    const harness = new Harness(limits);
    harness.server.listen(0, HOST);
    await once(harness.server, "listening");
    try {
      await run(harness);
    } finally {
      harness.close();
    }
  });
}

function ended(end: string): string {
  return `chestnuthatch_caller_connections_ended_total{end="${end}"} 1`;
}

function unanswered(end: string, answer: string): string {
  const labels = `end="${end}",answer="${answer}"`;
  return `chestnuthatch_unanswered_requests_total{${labels}} 1`;
}

const LINE = {
  message: "connection ended unanswered",
  stage: "refusing",
  runs: 0,
  waitingBytes: 0,
  tookMs: 0,
};

testOn("a buffered answer is logged when it is aborted", async (harness) => {
  await harness.request("/large");
  harness.connections.closeAndRecord(
    ConnectionEnd.ClosedIdle,
    () => harness.server.closeAllConnections(),
  );
  const [line] = await harness.linesOf(1);
  const { waitingBytes, ...facts } = line!;
  assert.ok(Number(waitingBytes) >= LARGE_BYTES, String(waitingBytes));
  assert.equal({ ...facts, waitingBytes: 0 }, {
    ...LINE,
    requestId: "/large",
    end: "closed_idle",
    answer: "handed_over",
  });
  assert.equal(await harness.counters(), [
    ended("closed_idle"),
    unanswered("closed_idle", "handed_over"),
  ]);
});

// Guards against a regular close, which completes an answer without a length for
// a caller that has a part of it.
testOn("an unframed answer is reset when it is aborted", async (harness) => {
  const caller = await harness.request("/large");
  assert.ok(harness.connections.endAfter(harness.latest!));
  harness.connections.closeAndRecord(
    ConnectionEnd.ProcessEnd,
    () => harness.server.closeAllConnections(),
  );
  assert.ok(await endsByReset(caller), "the connection was closed regularly");
});

testOn("only connections that were closed get the cause", async (harness) => {
  const caller = await harness.request("/never");
  harness.connections.closeAndRecord(
    ConnectionEnd.ClosedIdle,
    () => harness.server.closeIdleConnections(),
  );
  caller.destroy();
  assert.equal(await harness.counters(), [
    ended("caller_left"),
    unanswered("caller_left", "pending"),
  ]);
});

testOn("a connection with a buffered answer is not idle", async (harness) => {
  const caller = await harness.request("/large");
  harness.connections.closeIdle();
  let bytesRead = 0;
  caller.on("data", (chunk: Buffer) => bytesRead += chunk.length);
  await until(() => bytesRead > LARGE_BYTES);
  await until(() => {
    harness.connections.closeIdle();
    return harness.connections.summary.openConnections === 0;
  });
  assert.equal(await harness.counters(), [ended("closed_idle")]);
  assert.equal(harness.lines(), []);
});

testOn(
  "a connection with a partly received request is not idle",
  async (harness) => {
    const caller = await harness.request("/small");
    caller.resume();
    await until(() => harness.connections.summary.owedAnswers === 0);
    const [accepted] = harness.accepted;
    caller.write("POST /small HTTP/1.1\r\n");
    const bytesBefore = requestOf("/small").length;
    await until(() => accepted!.bytesRead > bytesBefore);
    harness.connections.closeIdle();
    assert.is(harness.connections.summary.openConnections, 1);
  },
);

// Guards against a reset of a caller's next request, which is on its way when the
// stopping instance closes the connection of the answer before.
testOn(
  "a connection that has just become idle is not closed yet",
  async (harness) => {
    const caller = await harness.request("/small");
    caller.resume();
    await until(() => harness.connections.summary.owedAnswers === 0);
    harness.connections.closeIdle(NEVER_MS);
    assert.is(harness.accepted[0]!.destroyed, false);
    harness.connections.closeIdle();
    assert.is(harness.accepted[0]!.destroyed, true);
  },
);

testOn("a raised limit applies to idle connections", async (harness) => {
  const caller = await harness.request("/small");
  caller.resume();
  await until(() => harness.connections.summary.owedAnswers === 0);
  const [accepted] = harness.accepted;
  harness.connections.setIdleTimeout(2 * NEVER_MS);
  assert.is(accepted!.timeout, 2 * NEVER_MS);
});

testOn("an answer that is written out is not logged", async (harness) => {
  const caller = await harness.request("/small", "Connection: close\r\n");
  caller.resume();
  await once(caller, "close");
  assert.equal(await harness.counters(), [ended("after_answer")]);
  assert.equal(harness.lines(), []);
});

testOn(
  "an answer written in the tick of the close is sent",
  async (harness) => {
    const caller = await harness.request("/never");
    harness.connections.closeAndRecord(ConnectionEnd.ProcessEnd, () => {
      harness.latest!.response.end(SMALL);
      harness.server.closeAllConnections();
    });
    caller.resume();
    assert.equal(await harness.counters(), [ended("process_end")]);
    assert.equal(harness.lines(), []);
  },
);

testOn("a caller that disconnects early is logged", async (harness) => {
  const caller = await harness.request("/never");
  harness.latest!.countRuns = () => 1;
  caller.destroy();
  assert.equal(await harness.linesOf(1), [{
    ...LINE,
    requestId: "/never",
    end: "caller_left",
    answer: "pending",
    runs: 1,
  }]);
});

testOn("an answer whose write fails counts as unanswered", async (harness) => {
  const caller = await harness.request("/large");
  caller.end();
  const { socket } = harness.latest!.response.req;
  await until(() => socket.readableEnded);
  caller.resetAndDestroy();
  const [line] = await harness.linesOf(1);
  assert.ok(Number(line!.waitingBytes) >= LARGE_BYTES);
  assert.equal(await harness.counters(), [
    ended("caller_left"),
    unanswered("caller_left", "handed_over"),
  ]);
});

testOn(
  "a reset is logged with its error and buffered bytes",
  async (harness) => {
    const caller = await harness.request("/large");
    caller.resetAndDestroy();
    const [line] = await harness.linesOf(1);
    assert.ok(Number(line!.waitingBytes) >= LARGE_BYTES);
    assert.match(String(line!.reason), "ECONNRESET");
    assert.equal(await harness.counters(), [
      ended("reset"),
      unanswered("reset", "handed_over"),
    ]);
  },
);

testOn("a partly received request is logged", async (harness) => {
  const caller = await harness.request("/never", "Content-Length: 9\r\n");
  caller.end("part");
  assert.equal(await harness.linesOf(1), [{
    ...LINE,
    requestId: "/never",
    end: "caller_left",
    reason: "HPE_INVALID_EOF_STATE",
    answer: "reading",
  }]);
});

testOn("an answer aborted by the instance is logged", async (harness) => {
  await harness.request("/begun");
  harness.connections.recordEnd(harness.latest!, ConnectionEnd.Aborted);
  harness.latest!.response.destroy();
  assert.equal(await harness.linesOf(1), [{
    ...LINE,
    requestId: "/begun",
    end: "broken_off",
    answer: "begun",
  }]);
});

testOn("pipelined answers count as buffered bytes", async (harness) => {
  await harness.call(requestOf("/never") + requestOf("/large"));
  await until(() => harness.latest?.facts.requestId === "/large");
  const { waitingBytes } = harness.connections.summary;
  assert.ok(waitingBytes >= LARGE_BYTES, String(waitingBytes));
});

testOn("each pipelined request is logged separately", async (harness) => {
  const caller = await harness.call(requestOf("/never") + requestOf("/small"));
  await until(() => harness.latest?.facts.requestId === "/small");
  caller.destroy();
  const lines = await harness.linesOf(2);
  assert.equal(lines.map(({ requestId, answer }) => [requestId, answer]), [
    ["/never", "pending"],
    ["/small", "handed_over"],
  ]);
});

testOn("open connections at the exit are logged once", async (harness) => {
  await harness.request("/large");
  await harness.request("/never");
  const { waitingBytes, ...open } = harness.connections.summary;
  assert.equal(open, { openConnections: 2, owedAnswers: 2 });
  assert.ok(waitingBytes >= LARGE_BYTES, String(waitingBytes));
  harness.connections.recordEndOfAll(ConnectionEnd.ProcessEnd);
  harness.callers.forEach((caller) => caller.destroy());
  await Promise.all(harness.callers.map((caller) => once(caller, "close")));
  assert.equal(
    harness.lines().map(({ requestId, end }) => [requestId, end]),
    [["/large", "process_end"], ["/never", "process_end"]],
  );
});

testOn("an idle timeout is counted", async (harness) => {
  const caller = await harness.request("/small");
  caller.resume();
  assert.equal(await harness.counters(), [ended("idle_time")]);
  assert.equal(harness.lines(), []);
}, { idleTimeMs: POLL_MS });

testOn("a timeout of headers is counted", async (harness) => {
  const caller = await harness.call("POST /small HT");
  caller.resume();
  await once(caller, "close");
  assert.equal(await harness.counters(), [ended("headers_time")]);
}, { headersTimeMs: POLL_MS });

testOn(
  "a connection without a request ends with its idle time",
  async (harness) => {
    const caller = await harness.call("");
    caller.resume();
    await once(caller, "close");
    assert.equal(await harness.counters(), [ended("idle_time")]);
  },
  { headersTimeMs: POLL_MS, idleTimeMs: POLL_MS },
);

testOn("an invalid request is counted", async (harness) => {
  const caller = await harness.call("no request\r\n\r\n");
  caller.resume();
  await once(caller, "close");
  assert.equal(await harness.counters(), [ended("unreadable")]);
});

test.run();
