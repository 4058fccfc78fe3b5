/** Tests of the relay that simulates a link in tests of failures. */

import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { LinkRelay } from "./link_relay.ts";
import { waitFor } from "./wait_for.ts";

test("should forward in both directions", () =>
  withEcho(async (relay) => {
    const caller = new Caller(relay.address);
    caller.send("one");
    await caller.receives("one");
    caller.close();
  }));

test("should close and refuse connections while cut, and then listen again", () =>
  withEcho(async (relay) => {
    const { address } = relay;
    const before = new Caller(address);
    before.send("one");
    await before.receives("one");
    await relay.cut();
    await before.ended();
    const refused = new Caller(address);
    await refused.ended();
    assert.is(refused.errorCode, "ECONNREFUSED");
    await relay.heal();
    const after = new Caller(address);
    after.send("two");
    await after.receives("two");
    after.close();
  }));

test("should hold back all data while frozen, and forward it once healed", () =>
  withEcho(async (relay, received) => {
    const before = new Caller(relay.address);
    before.send("one");
    await before.receives("one");
    relay.freeze();
    before.send("two");
    const during = new Caller(relay.address);
    during.send("three");
    await during.connected();
    assert.equal(received, ["one"]);
    await relay.heal();
    await before.receives("onetwo");
    await during.receives("three");
    before.close();
    during.close();
  }));

test("should hold back one direction alone", () =>
  withEcho(async (relay, received) => {
    relay.holdInbound();
    const caller = new Caller(relay.address);
    caller.send("one");
    await waitFor("the upstream to receive it", () => received.includes("one"));
    assert.is(caller.text, "");
    await relay.heal();
    await caller.receives("one");
    caller.close();
  }));

test("should forward all data on a link of limited rate", () =>
  withEcho(async (relay) => {
    relay.limitInboundRate(4_000_000);
    const caller = new Caller(relay.address);
    const text = "x".repeat(200_000);
    caller.send(text);
    await caller.receives(text);
    caller.close();
  }));

/** One connection through a relay. */
class Caller {
  readonly #socket: Socket;
  #text = "";
  #errorCode = "";
  #connected = false;

  constructor(address: string) {
    const [host, port] = address.split(":");
    this.#socket = connect(Number(port), host)
      .on("connect", () => this.#connected = true)
      .on("data", (chunk) => this.#text += String(chunk))
      .on("error", (error: NodeJS.ErrnoException) => {
        this.#errorCode = error.code ?? "";
      });
  }

  get text(): string {
    return this.#text;
  }

  get errorCode(): string {
    return this.#errorCode;
  }

  send(text: string): void {
    this.#socket.write(text);
  }

  close(): void {
    this.#socket.destroy();
  }

  async connected(): Promise<void> {
    await waitFor("a connection", () => this.#connected);
  }

  async receives(text: string): Promise<void> {
    await waitFor(`${text} to come back`, () => this.#text === text);
  }

  async ended(): Promise<void> {
    await waitFor("the end of a connection", () => this.#socket.closed);
  }
}

async function withEcho(
  body: (relay: LinkRelay, received: readonly string[]) => Promise<void>,
): Promise<void> {
  const received: string[] = [];
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      received.push(String(chunk));
      socket.write(chunk);
    });
  });
  const relay = await LinkRelay.start(await listen(server));
  try {
    await body(relay, received);
  } finally {
    await relay.stop();
    server.close();
  }
}

function listen(server: Server): Promise<string> {
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const { address, port } = server.address() as AddressInfo;
      resolve(`${address}:${port}`);
    });
  });
}

test.run();
