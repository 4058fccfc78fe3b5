import { createSocket } from "node:dgram";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { Writable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Gateway } from "./gateway.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { NO_OP_PLATFORM } from "./gateway_test_support.ts";
import type { CallProtocol } from "./ports.ts";

const HOST = "127.0.0.1";
const ANY_PORT = `${HOST}:0`;
const WAITING = "address is in use, waiting for it";

/** A port that another process uses. */
interface TakenPort {
  readonly port: number;
  release(): void;
}

async function takeTcpPort(): Promise<TakenPort> {
  const server = createServer().listen(0, HOST).unref();
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return { port, release: () => void server.close() };
}

async function takeUdpPort(): Promise<TakenPort> {
  const socket = createSocket("udp4").bind(0, HOST).unref();
  await once(socket, "listening");
  return { port: socket.address().port, release: () => void socket.close() };
}

/** An instance that has not been started. */
class Harness {
  readonly gateway: Gateway;
  platformStarts = 0;
  #text = "";
  #onText = () => {};

  constructor(settings: Partial<GatewaySettings>) {
    this.gateway = new Gateway({
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
      graceMs: 5000,
      configurationApplyMs: 2000,
      bounds: {
        retryBudget: { ratio: 0.2, slack: 5, windowS: 10 },
        allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
      },
      exposure: { share: 0.1, slack: 50 },
      ...settings,
    }, {
      protocol: {} as CallProtocol,
      platform: { ...NO_OP_PLATFORM, start: () => this.platformStarts++ },
      logOutput: new Writable({
        write: (chunk, _encoding, done) => {
          this.#text += String(chunk);
          this.#onText();
          done();
        },
      }),
    });
  }

  /** Waits for a log line with a message. */
  line(message: string): Promise<Readonly<Record<string, unknown>>> {
    return new Promise((resolve) => {
      this.#onText = () => {
        const line = this.#text.split("\n").find((text) =>
          text.includes(`"message":"${message}"`)
        );
        if (line !== undefined) {
          resolve(JSON.parse(line));
        }
      };
      this.#onText();
    });
  }
}

interface ListenerCase {
  readonly name: string;
  readonly take: () => Promise<TakenPort>;
  readonly settings: (port: number) => Partial<GatewaySettings>;
}

const LISTENER_CASES: readonly ListenerCase[] = [
  {
    name: "callers",
    take: takeTcpPort,
    settings: (port) => ({ callerAddress: `${HOST}:${port}` }),
  },
  {
    name: "readiness",
    take: takeTcpPort,
    settings: (port) => ({ statusAddress: `${HOST}:${port}` }),
  },
  {
    name: "peer messages",
    take: takeUdpPort,
    settings: (port) => ({ peerAddress: `${HOST}:${port}` }),
  },
  {
    name: "snapshots",
    take: takeTcpPort,
    settings: (port) => ({ snapshotPort: port }),
  },
  {
    name: "relayed requests",
    take: takeTcpPort,
    settings: (port) => ({ relayPort: port }),
  },
];

for (const { name, take, settings } of LISTENER_CASES) {
  // Guards against an instance that ends at its start because the process
  // before it still holds one of its addresses.
  test(`the start waits for the address for ${name}`, async () => {
    const taken = await take();
    const harness = new Harness(settings(taken.port));
    const started = harness.gateway.start();
    try {
      const line = await Promise.race([harness.line(WAITING), started]);
      assert.equal([line?.listener, line?.address], [
        name,
        `${HOST}:${taken.port}`,
      ]);
      assert.is(harness.platformStarts, 0);
      taken.release();
      await started;
      assert.is(harness.platformStarts, 1);
    } finally {
      harness.gateway.kill();
    }
  });
}

// Guards against a stop signal during the start that opens the other addresses
// after all, announces the instance, or waits for the address.
test("a stop during the start opens nothing more", async () => {
  const taken = await takeTcpPort();
  const harness = new Harness({ callerAddress: `${HOST}:${taken.port}` });
  const started = harness.gateway.start();
  await harness.line(WAITING);
  const stopped = harness.gateway.stop();
  taken.release();
  await Promise.all([started, stopped]);
  assert.is(harness.platformStarts, 0);
  assert.is(harness.gateway.callerAddress, "");
  assert.not(harness.gateway.isReady);
  await harness.line("stopped before the start was complete");
});

// Guards against addresses that are opened after a stop that came first.
test("an instance that was stopped does not start", async () => {
  const harness = new Harness({});
  await harness.gateway.stop();
  await harness.gateway.start();
  assert.is(harness.platformStarts, 0);
  assert.is(harness.gateway.callerAddress, "");
});

// Guards against an instance that serves no callers because the port for
// metrics is taken.
test("callers are served while the address for metrics is in use", async () => {
  const taken = await takeTcpPort();
  const metricsAddress = `${HOST}:${taken.port}`;
  const harness = new Harness({ metricsAddress });
  try {
    await harness.gateway.start();
    assert.is(harness.platformStarts, 1);
    const line = await harness.line("address is in use, serving without it");
    assert.equal([line.listener, line.address], ["metrics", metricsAddress]);
    taken.release();
    await harness.line("address is open");
    const answer = await fetch(`http://${metricsAddress}/metrics`);
    assert.match(await answer.text(), "chestnuthatch_open_requests");
  } finally {
    harness.gateway.kill();
  }
});

// Guards against a start that waits for an address that will never be usable,
// and against an error that does not tell which one it is.
test("an address of another machine is an error at once", async () => {
  const harness = new Harness({ statusAddress: "192.0.2.1:80" });
  try {
    await harness.gateway.start();
    assert.unreachable();
  } catch (error) {
    assert.match(String(error), /readiness: cannot listen at 192\.0\.2\.1:80/);
  }
  assert.is(harness.gateway.callerAddress, "");
});

test.run();
