/** Tests of requests that cannot be created, and of kept connections. */

import { once } from "node:events";
import { Agent, createServer as createHttpServer } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type ExchangeFailure,
  type ExchangeOptions,
  type ExchangeSink,
  TargetExchange,
} from "./target_exchange.ts";
import { ProbeResult, TargetProbes } from "./target_probes.ts";
import { collectUnhandled } from "./unhandled_errors_test_support.ts";

const SOUND_ADDRESS = "127.0.0.1:1";

/** Creates an exchange and collects its failures. */
function exchangeWith(
  overrides: Partial<ExchangeOptions>,
  sink: Partial<ExchangeSink> = {},
): { exchange: TargetExchange; failures: ExchangeFailure[] } {
  const failures: ExchangeFailure[] = [];
  const exchange = new TargetExchange({
    agent: new Agent(),
    address: SOUND_ADDRESS,
    method: "GET",
    path: "/",
    headers: [],
    ...overrides,
  }, {
    connectDelayed: () => {},
    head: () => {},
    data: () => {},
    ended: () => {},
    failed: (failure) => failures.push(failure),
    ...sink,
  });
  return { exchange, failures };
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

// Guards against requests that count as possibly run although Node.js threw
// before their first byte.
test("a request that cannot be created fails as not sent", async () => {
  for (
    const { isInvalidRequest, ...overrides } of [
      { address: "127.0.0.1:65536" },
      { address: "127.0.0.1:x" },
      { path: "/a\tb", isInvalidRequest: true },
      { headers: ["X-Id", "\u0416"], isInvalidRequest: true },
      { headers: ["X-Id", "a\u0001"], isInvalidRequest: true },
      { headers: ["X Id", "a"], isInvalidRequest: true },
    ]
  ) {
    const { exchange, failures } = exchangeWith(overrides);
    assert.equal(failures, []);
    await nextTurn();
    const [failure] = failures;
    const text = JSON.stringify(overrides);
    assert.is(failures.length, 1, text);
    assert.is(failure!.isSent, false, text);
    assert.not.match(failure!.reason, "ECONNREFUSED");
    assert.is(failure!.isInvalidRequest, isInvalidRequest, text);
    exchange.cancel();
  }
});

test("a cancelled exchange does not report that it was not created", async () => {
  const { exchange, failures } = exchangeWith({ path: "/a\tb" });
  exchange.cancel();
  await nextTurn();
  assert.equal(failures, []);
});

// Guards against a probe that never ends, for which requests would wait.
test("a probe of an address that cannot be connected to fails", async () => {
  const probes = new TargetProbes(() => {
    throw new Error("port is out of range");
  });
  assert.is(await probes.probe("127.0.0.1:65536"), ProbeResult.Failed);
});

/** Sends a request, and returns how its answer ended. */
function endOf(
  options: Partial<ExchangeOptions>,
  sink: Partial<ExchangeSink> = {},
): Promise<string> {
  return new Promise((resolve) => {
    exchangeWith(options, {
      ...sink,
      ended: () => resolve("ended"),
      failed: ({ reason }) => resolve(reason),
    });
  });
}

// Guards against a kept connection that stays in use after its target closed
// it, as the handler of its end throws.
for (
  const head of ["200 OK\r\nContent-Length: 0", "204 None", "304 Not Modified"]
) {
  test(`a connection closed after an answer ${head} is not reused`, async () => {
    const connections: Socket[] = [];
    const server = createServer((connection) => {
      connections.push(connection);
      connection.on("data", () => connection.write(`HTTP/1.1 ${head}\r\n\r\n`));
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const agent = new Agent({ keepAlive: true });
    try {
      const { port } = server.address() as AddressInfo;
      const options = { agent, address: `127.0.0.1:${port}` };
      const freed = once(agent, "free");
      assert.is(await endOf(options), "ended");
      const [kept] = await freed;
      const closed = once(kept, "close");
      connections[0]!.end();
      await closed;
      assert.equal(Object.keys(agent.freeSockets), []);
      assert.is(await endOf(options), "ended");
      assert.is(connections.length, 2);
    } finally {
      agent.destroy();
      server.close();
      connections.forEach((connection) => connection.destroy());
    }
  });
}

// Guards against an answer that is neither complete nor failed, so that its
// caller waits for the deadline, as the handler of a part of it threw.
for (const part of ["head", "data"] as const) {
  test(`an exchange fails if the handler of its ${part} throws`, () =>
    collectUnhandled(async (messages) => {
      const server = createHttpServer((_request, response) => {
        response.write("a part");
      }).listen(0, "127.0.0.1");
      await once(server, "listening");
      const { port } = server.address() as AddressInfo;
      try {
        const address = `127.0.0.1:${port}`;
        const reason = await endOf({ address, headers: ["Host", "h"] }, {
          [part]: () => {
            throw new Error("broken handler");
          },
        });
        assert.match(reason, "broken handler");
        assert.equal(messages, ["broken handler"]);
      } finally {
        server.close();
        server.closeAllConnections();
      }
    }));
}

test.run();
