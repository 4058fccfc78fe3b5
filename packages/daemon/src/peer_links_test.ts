import { connect } from "node:net";
import { EventEmitter, once } from "node:events";
import { EventKind } from "@chestnuthatch/core/events";
import { seededRandomSource } from "@chestnuthatch/core/random_source";
import { encodeFrame, FrameFault } from "@chestnuthatch/wire/frame_codec";
import { HandshakeRole } from "@chestnuthatch/wire/handshake";
import {
  type PeerMessage,
  PeerMessageKind,
} from "@chestnuthatch/wire/peer_messages";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { CloseReason } from "./close_reason.ts";
import { PeerConnection, type PeerIdentity } from "./peer_connection.ts";
import { DEFAULT_PEER_LIMITS, type PeerLimits } from "./peer_limits.ts";
import { PeerLinks } from "./peer_links.ts";
import {
  type EdgeContext,
  EdgeCounterName,
  type UntimedEvent,
} from "./ports.ts";

const RAW_ID = "entry-c";
const SECRET = "a secret for tests only";
const QUICK_REDIAL = { redialBaseMs: 1, redialMaxMs: 5 };
const MAX_QUEUED_BYTES = 256 * 1024;
const SETTINGS_BYTES = 32 * 1024;

/** Links of one instance, with the events and counts that they emitted. */
class TestInstance {
  readonly events: UntimedEvent[] = [];
  readonly counted: string[] = [];
  readonly context: EdgeContext;
  readonly identity: PeerIdentity;
  readonly links: PeerLinks;
  #notifyWaiter: () => void = () => {};

  constructor(
    readonly id: string,
    options: {
      secret?: string;
      incarnation?: number;
      port?: number;
      limits?: Partial<PeerLimits>;
    } = {},
  ) {
    this.context = {
      clock: { nowMs: () => 0 },
      emit: (event) => this.#record(() => this.events.push(event)),
      log: () => {},
      count: (counter, labels) =>
        this.#record(() =>
          this.counted.push(counter, ...Object.values(labels))
        ),
    };
    const { incarnation = 1 } = options;
    this.identity = { instanceId: id, incarnation, failureDomain: "tengeru" };
    const random = seededRandomSource(id.length);
    this.links = new PeerLinks(this.context, {
      identity: this.identity,
      secret: options.secret ?? SECRET,
      host: "127.0.0.1",
      port: options.port ?? 0,
      random: () => random.next(),
      limits: { ...QUICK_REDIAL, ...options.limits },
    });
  }

  async start(): Promise<this> {
    (await this.links.start())._unsafeUnwrap();
    return this;
  }

  async until(condition: () => boolean): Promise<void> {
    while (!condition()) {
      await new Promise<void>((resolve) => {
        this.#notifyWaiter = resolve;
      });
    }
  }

  has(kind: EventKind): boolean {
    return this.events.some((event) => event.kind === kind);
  }

  received(): PeerMessage[] {
    return this.events.flatMap((event) =>
      event.kind === EventKind.PeerMessageReceived ? [event.message] : []
    );
  }

  /** Returns how often a counter or one of its label values was counted. */
  countOf(name: string): number {
    return this.counted.filter((each) => each === name).length;
  }

  #record(change: () => void): void {
    change();
    this.#notifyWaiter();
  }
}

function settingsWanted(haveVersion: number): PeerMessage {
  return { kind: PeerMessageKind.SettingsWanted, haveVersion };
}

function settingsOffer(version: number): PeerMessage {
  const content = "x".repeat(SETTINGS_BYTES);
  return {
    kind: PeerMessageKind.SettingsOffer,
    version,
    content,
    changeId: "c",
  };
}

function addressOf(instance: TestInstance): { host: string; port: number } {
  const [host, port] = instance.links.address().split(":");
  return { host, port: Number(port) };
}

/** Opens a link whose socket the test controls. */
async function openRawLink(instance: TestInstance, incarnation = 1) {
  const socket = connect({ ...addressOf(instance), allowHalfOpen: true });
  const { context, identity } = new TestInstance(RAW_ID, { incarnation });
  const received: PeerMessage[] = [];
  const handshakeResult = new EventEmitter();
  const connection = new PeerConnection(socket, {
    context,
    identity,
    secret: SECRET,
    limits: DEFAULT_PEER_LIMITS,
    role: HandshakeRole.Dialler,
    owner: {
      refusalReason: () => null,
      onOpened: () => handshakeResult.emit("settled", null),
      onMessage: (_connection, message) => received.push(message),
      onFrameRejected: () => {},
      onClosed: (_connection, reason) =>
        handshakeResult.emit("settled", reason),
    },
  });
  const [closeReason]: (CloseReason | null)[] = await once(
    handshakeResult,
    "settled",
  );
  return { socket, connection, received, closeReason };
}

interface Pair {
  a: TestInstance;
  b: TestInstance;
}
const pairs = suite<Pair>("peer links");

pairs.before.each(async (context) => {
  context.a = await new TestInstance("entry-a").start();
  context.b = await new TestInstance("entry-b").start();
});
pairs.after.each(async ({ a, b }) => {
  await Promise.all([a.links.stop(), b.links.stop()]);
});

async function joinPair({ a, b }: Pair): Promise<void> {
  a.links.connect(b.id, b.links.address());
  await a.until(() => a.has(EventKind.PeerConnected));
  await b.until(() => b.has(EventKind.PeerConnected));
}

pairs("should carry messages both ways, in order", async ({ a, b }) => {
  assert.not(a.links.send(b.id, settingsWanted(0)));
  await joinPair({ a, b });
  const sent = Array.from(
    { length: 200 },
    (_, version) => settingsWanted(version),
  );
  for (const message of sent) {
    assert.ok(a.links.send(b.id, message));
    assert.ok(b.links.send(a.id, message));
  }
  await a.until(() => a.received().length === sent.length);
  await b.until(() => b.received().length === sent.length);
  assert.equal(a.received(), sent);
  assert.equal(b.received(), sent);
  const first = b.events.find((event) =>
    event.kind === EventKind.PeerMessageReceived
  );
  assert.equal(first, {
    kind: EventKind.PeerMessageReceived,
    fromId: a.id,
    fromIncarnation: 1,
    message: settingsWanted(0),
  });
  assert.ok(a.countOf(EdgeCounterName.PeerBytesSent) > 0);
});

pairs("should lose no message if both sides dial at once", async ({ a, b }) => {
  a.links.connect(b.id, b.links.address());
  b.links.connect(a.id, a.links.address());
  await a.until(() => a.has(EventKind.PeerConnected));
  await b.until(() => b.has(EventKind.PeerConnected));
  const versions = Array.from({ length: 500 }, (_, version) => version);
  for (const version of versions) {
    assert.ok(a.links.send(b.id, settingsWanted(version)));
    assert.ok(b.links.send(a.id, settingsWanted(version)));
    await new Promise(setImmediate);
  }
  await a.until(() => a.received().length === versions.length);
  await b.until(() => b.received().length === versions.length);
  const connectedEvents = [...a.events, ...b.events]
    .filter((event) => event.kind === EventKind.PeerConnected);
  assert.is(connectedEvents.length, 2);
  assert.not(a.has(EventKind.PeerDisconnected));
  assert.not(b.has(EventKind.PeerDisconnected));
});

pairs("should drain a link when a newer one replaces it", async ({ a }) => {
  const older = await openRawLink(a);
  older.socket.pause();
  const sent = Array.from(
    { length: 200 },
    (_, version) => settingsOffer(version),
  );
  for (const message of sent) assert.ok(a.links.send(RAW_ID, message));
  const newer = await openRawLink(a);
  assert.ok(a.links.send(RAW_ID, settingsWanted(1)));
  await once(newer.socket, "data");
  const late = encodeFrame(settingsWanted(2))._unsafeUnwrap();
  assert.ok(older.connection.send({ bytes: late, isDroppable: false }));
  older.socket.resume();
  await once(older.socket, "close");
  assert.equal(older.received, sent);
  assert.equal(newer.received, [settingsWanted(1)]);
  await a.until(() => a.received().length === 1);
  a.links.disconnect(RAW_ID);
  await a.until(() => a.has(EventKind.PeerDisconnected));
});

pairs("should send all queued messages when stopped", async ({ a, b }) => {
  await joinPair({ a, b });
  for (let version = 0; version < 300; version += 1) {
    a.links.send(b.id, settingsWanted(version));
  }
  await a.links.stop();
  await b.until(() => b.has(EventKind.PeerDisconnected));
  assert.is(b.received().length, 300);
  assert.is(b.events.at(-1)?.kind, EventKind.PeerDisconnected);
});

pairs("should refuse a peer with a wrong secret", async ({ a }) => {
  const wrongSecretInstance = new TestInstance("entry-x", {
    secret: "another secret here",
  });
  wrongSecretInstance.links.connect(a.id, a.links.address());
  await a.until(() => a.countOf(CloseReason.ProofRejected) > 0);
  await wrongSecretInstance.links.stop();
  assert.equal(a.events, []);
  assert.equal(wrongSecretInstance.events, []);
});

async function sendInvalidBytes(
  instance: TestInstance,
  bytes: number[],
): Promise<void> {
  const socket = connect(addressOf(instance));
  socket.on("error", () => {});
  socket.resume();
  socket.end(Uint8Array.from(bytes));
  await once(socket, "close");
}

pairs("should close only the link with invalid frames", async ({ a, b }) => {
  await joinPair({ a, b });
  const { socket } = await openRawLink(b);
  socket.write(Uint8Array.from([0, 0, 0, 3, 1, 0xc2, 0x41]));
  await sendInvalidBytes(b, [0, 0, 4, 1]);
  await sendInvalidBytes(b, [0, 0, 0, 9, 1]);
  await b.until(() => b.countOf(FrameFault.Malformed) === 2);
  assert.is(b.countOf(FrameFault.Oversized), 1);
  await b.until(() => b.has(EventKind.PeerDisconnected));
  assert.ok(a.links.send(b.id, settingsWanted(7)));
  await b.until(() => b.received().length === 1);
  assert.not(a.has(EventKind.PeerDisconnected));
});

pairs("should reconnect after the other side restarts", async ({ a, b }) => {
  await joinPair({ a, b });
  const { port } = addressOf(b);
  await b.links.stop();
  await a.until(() => a.has(EventKind.PeerDisconnected));
  const restarted = await new TestInstance(b.id, { port, incarnation: 2 })
    .start();
  await restarted.until(() => restarted.has(EventKind.PeerConnected));
  restarted.links.send(a.id, settingsWanted(2));
  await a.until(() => a.received().length === 1);
  const last = a.events.at(-1);
  assert.is(
    last?.kind === EventKind.PeerMessageReceived && last.fromIncarnation,
    2,
  );
  await restarted.links.stop();
});

pairs("should let a newer incarnation replace an older", async ({ a }) => {
  const older = await openRawLink(a, 4);
  const newer = await openRawLink(a, 5);
  await once(older.socket, "close");
  const outdated = await openRawLink(a, 4);
  assert.is(outdated.closeReason, CloseReason.HandshakeAborted);
  assert.is(a.countOf(CloseReason.OlderIncarnation), 1);
  assert.equal(
    a.events.map((event) => event.kind),
    [
      EventKind.PeerConnected,
      EventKind.PeerDisconnected,
      EventKind.PeerConnected,
    ],
  );
  newer.socket.destroy();
});

pairs("should bound the bytes queued for a slow reader", async () => {
  const limits = { maxQueuedBytes: MAX_QUEUED_BYTES };
  const instance = await new TestInstance("entry-s", { limits }).start();
  const { socket } = await openRawLink(instance);
  socket.pause();
  const heartbeat: PeerMessage = {
    kind: PeerMessageKind.Heartbeat,
    members: [],
  };
  while (instance.links.send(RAW_ID, settingsOffer(1))) {
    assert.ok(instance.links.queuedBytes(RAW_ID) <= MAX_QUEUED_BYTES);
    instance.links.send(RAW_ID, heartbeat);
    await new Promise(setImmediate);
  }
  assert.not(instance.has(EventKind.PeerDisconnected));
  await instance.until(() => instance.has(EventKind.PeerDisconnected));
  socket.destroy();
  await instance.links.stop();
});

pairs("should close the link to a silent peer", async () => {
  const limits = { keepAliveIntervalMs: 1, maxSilentIntervals: 3 };
  const instance = await new TestInstance("entry-s", { limits }).start();
  const { socket } = await openRawLink(instance);
  await instance.until(() => instance.has(EventKind.PeerDisconnected));
  socket.destroy();
  await instance.links.stop();
});

pairs.run();
