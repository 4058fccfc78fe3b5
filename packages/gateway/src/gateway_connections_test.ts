import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { Writable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RequestKind } from "@chestnuthatch/routing/fleet_configuration";
import {
  configurationOf,
  routeOf,
} from "@chestnuthatch/routing/routing_test_support";
import { Gateway } from "./gateway.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { NO_OP_PLATFORM } from "./gateway_test_support.ts";
import type { CallProtocol, PlatformPort } from "./ports.ts";
import { ProcessMemoryMonitor } from "./process_memory_monitor.ts";
import { collectUnhandled } from "./unhandled_errors_test_support.ts";

const HOST = "127.0.0.1";
const ANY_PORT = `${HOST}:0`;
/** A little less than the largest answer that is buffered. */
const LARGE_BYTES = 1_000_000;
/** More large answers than the buffers of an unread connection hold. */
const LARGE_IDS = Array.from({ length: 32 }, (_, index) => `q${index}`);
const LAST_ID = LARGE_IDS.at(-1)!;
const GRACE_MS = 10_000;
const POLLS = 1500;
const POLL_MS = 10;

const PROTOCOL: CallProtocol = {
  readCall: (headers) => ({
    requestId: String(headers["x-request-id"]),
    promptParts: [],
  }),
  forwardHeaders: (rawHeaders) => [...rawHeaders],
  readAnswer: () => ({
    notRun: false,
    wrongTarget: false,
    genuine: true,
    signals: { hasLimit: false, leaving: false, malformed: [] },
  }),
};

/** One parsed log line. */
type Line = Readonly<Record<string, unknown>>;

/** An instance with one target, and a clock that can be advanced. */
class Harness {
  /** Number of requests that the target received. */
  runs = 0;
  readonly #targetDomain: string;
  readonly #callers: Socket[] = [];
  readonly #texts: string[] = [];
  readonly #target = createServer((_request, response) => {
    this.runs++;
    this.targetAnswers(response);
  });
  targetAnswers: (response: ServerResponse) => void = () => {};
  clockFails = false;
  #aheadMs = 0;
  readonly #platform: PlatformPort = {
    ...NO_OP_PLATFORM,
    start: (_self, sink) => {
      sink.configurationRead(configurationOf({
        routes: [
          routeOf({ kind: RequestKind.Repeatable, isPublic: true }),
          routeOf({
            name: "stream",
            kind: RequestKind.Stream,
            prefix: "/stream/",
            isPublic: true,
          }),
        ],
      }));
      const { port } = this.#target.address() as AddressInfo;
      const entry = {
        targetId: "t1",
        incarnation: 1,
        pool: "p",
        address: `${HOST}:${port}`,
        failureDomain: this.#targetDomain,
        slots: 8,
        leaving: false,
        version: "v1",
      };
      sink.targetsRead([{ targetId: "t1", rowVersion: 1, entry }], 1);
    },
  };
  readonly gateway = new Gateway({
    instanceId: "i1",
    failureDomain: "a",
    callerAddress: ANY_PORT,
    statusAddress: ANY_PORT,
    metricsAddress: ANY_PORT,
    peerAddress: ANY_PORT,
    snapshotPort: 0,
    relayPort: 0,
    seedAddresses: [],
    cores: 1,
    graceMs: GRACE_MS,
    configurationApplyMs: 2000,
    bounds: {
      retryBudget: { ratio: 0.2, slack: 5, windowS: 10 },
      allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
    },
    exposure: { share: 0.1, slack: 50 },
  }, {
    protocol: PROTOCOL,
    platform: this.#platform,
    clock: { nowMs: () => this.#nowMs() },
    logOutput: new Writable({
      write: (chunk, _encoding, done) => {
        this.#texts.push(String(chunk));
        done();
      },
    }),
  });

  /** @param targetDomain Failure domain of the target; that of the instance is `a`. */
  constructor(targetDomain = "a") {
    this.#targetDomain = targetDomain;
  }

  async start(): Promise<void> {
    this.#target.listen(0, HOST);
    await once(this.#target, "listening");
    await this.gateway.start();
  }

  /** Sends requests on a new connection whose caller reads nothing. */
  request(requestIds: readonly string[], path = "/r/"): Socket {
    const port = Number(this.gateway.callerAddress.split(":")[1]);
    const caller = connect(port, HOST);
    caller.on("error", () => {});
    this.#callers.push(caller);
    caller.write(requestIds.map((id) => requestOf(id, path)).join(""));
    return caller;
  }

  /** Sends a caller that reads nothing more bytes than its connection holds. */
  async sendLargeAnswers(): Promise<Socket> {
    this.targetAnswers = (response) => response.end(Buffer.alloc(LARGE_BYTES));
    const caller = this.request(LARGE_IDS);
    await Promise.all(LARGE_IDS.map((id) => this.line("answered", id)));
    return caller;
  }

  /** Waits for a log line with a message, of a request if one is given. */
  async line(message: string, requestId?: string): Promise<Line> {
    const find = () =>
      this.#lines().find((line) =>
        line.message === message && line.requestId === requestId
      );
    await until(() => find() !== undefined);
    return find()!;
  }

  /** Advances the clock by the whole grace period. */
  advanceByGrace(): void {
    this.advance(GRACE_MS);
  }

  /** Advances the clock. */
  advance(ms: number): void {
    this.#aheadMs += ms;
  }

  close(): void {
    this.#callers.forEach((caller) => caller.destroy());
    this.gateway.kill();
    this.#target.closeAllConnections();
    this.#target.close();
  }

  #nowMs(): number {
    if (this.clockFails) {
      throw new Error("no time");
    }
    return performance.now() + this.#aheadMs;
  }

  #lines(): Line[] {
    return this.#texts.join("").split("\n").filter((text) => text)
      .map((text) => JSON.parse(text));
  }
}

function requestOf(requestId: string, path = "/r/"): string {
  return `GET ${path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: ${requestId}\r\n\r\n`;
}

async function until(holds: () => boolean): Promise<void> {
  for (let polls = 0; !holds(); polls++) {
    assert.ok(polls < POLLS, `timed out waiting for ${holds}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

/** Facts of a log line on the end of a connection. */
function endOf({ end, stage, answer, runs }: Line): Line {
  return { end, stage, answer, runs };
}

function testOn(
  name: string,
  run: (harness: Harness) => Promise<void>,
  targetDomain?: string,
): void {
  test(name, async () => {
    const harness = new Harness(targetDomain);
    await harness.start();
    try {
      await run(harness);
    } finally {
      harness.close();
    }
  });
}

testOn("a caller that disconnects while waiting is logged", async (harness) => {
  const caller = harness.request(["q"]);
  await until(() => harness.runs === 1);
  caller.destroy();
  const line = await harness.line("connection ended unanswered", "q");
  assert.equal(endOf(line), {
    end: "caller_left",
    stage: "open",
    answer: "pending",
    runs: 1,
  });
});

testOn(
  "a buffered answer that is not written out is logged",
  async (harness) => {
    const caller = await harness.sendLargeAnswers();
    caller.resetAndDestroy();
    const line = await harness.line("connection ended unanswered", LAST_ID);
    assert.equal(endOf(line), {
      end: "reset",
      stage: "open",
      answer: "handed_over",
      runs: 1,
    });
    assert.ok(Number(line.waitingBytes) >= LARGE_BYTES);
  },
);

testOn(
  "unfinished answers at the process's exit are logged",
  async (harness) => {
    await harness.sendLargeAnswers();
    const stopped = harness.gateway.stop();
    harness.advanceByGrace();
    await stopped;
    const { openConnections, owedAnswers, waitingBytes, cutRequests } =
      await harness.line("stopped");
    assert.equal({ openConnections, cutRequests }, {
      openConnections: 1,
      cutRequests: 0,
    });
    assert.ok(Number(owedAnswers) >= 1);
    assert.ok(Number(waitingBytes) >= LARGE_BYTES);
    const line = await harness.line("connection ended unanswered", LAST_ID);
    assert.equal(endOf(line), {
      end: "process_end",
      stage: "refusing",
      answer: "handed_over",
      runs: 1,
    });
  },
);

// Guards against admitting requests during the shutdown whose callers read so
// slowly that the grace period ends before their answers are written out.
testOn(
  "an instance refuses a slow caller during its shutdown",
  async (harness) => {
    const slow = await harness.sendLargeAnswers();
    harness.advance(0.7 * GRACE_MS);
    // The shutdown assumes that its signal was handled as late as the process
    // is, and shortens the grace period by that.
    await until(() => harness.gateway.lateMs < GRACE_MS / 10);
    slow.resume();
    harness.targetAnswers = (response) => response.end("small");
    slow.write(requestOf("before"));
    await harness.line("answered", "before");
    const runs = harness.runs;
    const stopped = harness.gateway.stop();
    slow.write(requestOf("slow"));
    harness.request(["quick"]);
    const { error } = await harness.line("request refused on arrival", "slow");
    assert.is(error, "leaving");
    await harness.line("answered", "quick");
    assert.is(harness.runs, runs + 1);
    harness.advanceByGrace();
    await stopped;
  },
);

// Guards against forwarding a request whose caller has disconnected, if the
// request is read only after the first punctual tick that follows a delay.
testOn(
  "a request read soon after a delay is not forwarded if its caller left",
  async (harness) => {
    harness.targetAnswers = (response) => response.end("ok");
    const caller = harness.request(["stays"]);
    await harness.line("answered", "stays");
    harness.advance(100);
    await until(() => harness.gateway.lateMs >= 90);
    await until(() => harness.gateway.lateMs < 10);
    caller.write(requestOf("leaves"));
    caller.destroy();
    harness.request(["later"]);
    await harness.line("answered", "later");
    assert.is(harness.runs, 2);
  },
);

// Guards against aborting begun answers together with pending requests.
testOn("a begun answer is aborted after pending requests", async (harness) => {
  harness.targetAnswers = (response) => {
    if (harness.runs === 1) {
      response.write("id: 1\ndata: a part\n\n");
    }
  };
  const caller = harness.request(["begun"], "/stream/");
  await once(caller, "data");
  harness.request(["pending"]);
  await until(() => harness.runs === 2);
  const stopped = harness.gateway.stop();
  harness.advance(GRACE_MS - 400);
  await stopped;
  const { abortedRequests, cutRequests } = await harness.line("stopped");
  assert.equal({ abortedRequests, cutRequests }, {
    abortedRequests: 1,
    cutRequests: 1,
  });
});

testOn(
  "an error during the shutdown is logged",
  (harness) =>
    collectUnhandled(async () => {
      harness.clockFails = true;
      const stopped = harness.gateway.stop();
      harness.clockFails = false;
      harness.gateway.logStopFailure(await stopped.catch((error) => error));
      const { reason, level } = await harness.line("stopping failed");
      assert.is(level, "warn");
      assert.match(String(reason), "no time");
    }),
);

// Guards against a process that exits at once, and cuts all requests, as one
// step of its stop or the end of one request threw.
testOn(
  "a stop goes on if a step of it throws",
  (harness) =>
    collectUnhandled(async (messages) => {
      const { prototype } = GatewayMetrics;
      const { errorAnswered } = prototype;
      harness.request(["first"]);
      harness.request(["second"]);
      await until(() => harness.runs === 2);
      harness.gateway.board.members.leave = () => {
        throw new Error("broken step");
      };
      prototype.errorAnswered = () => {
        prototype.errorAnswered = errorAnswered;
        throw new Error("broken end");
      };
      try {
        const stopped = harness.gateway.stop();
        harness.advance(GRACE_MS - 400);
        await stopped;
        const { abortedRequests, cutRequests } = await harness.line("stopped");
        assert.equal([abortedRequests, cutRequests], [1, 1]);
        assert.equal(messages, ["broken step", "broken end"]);
      } finally {
        prototype.errorAnswered = errorAnswered;
      }
    }),
);

// Guards against an error in one tick that ends all ticks, or that skips the
// parts of the tick after the one that throws.
testOn(
  "ticks go on, and run all other parts, if a part throws",
  (harness) =>
    collectUnhandled(async (messages) => {
      const { prototype } = ProcessMemoryMonitor;
      const { tick } = prototype;
      let ticks = 0;
      prototype.tick = () => ticks++;
      try {
        harness.gateway.board.members.standsAside = () => {
          throw new Error("broken part");
        };
        await until(() => ticks >= 3);
        assert.ok(messages.length >= 2);
        assert.ok(messages.every((message) => message === "broken part"));
      } finally {
        prototype.tick = tick;
      }
    }),
);

// Guards against a request that is not answered before its deadline, and
// against an error that is neither counted nor logged with its cause.
testOn(
  "a request that cannot be placed is refused at once",
  (harness) =>
    collectUnhandled(async (messages) => {
      harness.gateway.board.backoffs.activeIds = () => {
        throw new Error("broken part");
      };
      const caller = harness.request(["q"]);
      const [answer] = await once(caller, "data");
      assert.match(String(answer), '"error":"no_target"');
      assert.equal(messages, ["broken part"]);
    }),
);

// Guards against sends that are counted for the wrong domain, or not at all.
for (const [targetDomain, counted] of [["a", "own"], ["b", "other"]] as const) {
  testOn(`a send to domain ${targetDomain} is counted`, async (harness) => {
    const { prototype } = GatewayMetrics;
    const { sentToDomain } = prototype;
    const domains: string[] = [];
    prototype.sentToDomain = (domain) => domains.push(domain);
    try {
      harness.targetAnswers = (response) => response.end();
      harness.request(["q"]);
      await harness.line("answered", "q");
      assert.equal(domains, [counted]);
    } finally {
      prototype.sentToDomain = sentToDomain;
    }
  }, targetDomain);
}

test.run();
