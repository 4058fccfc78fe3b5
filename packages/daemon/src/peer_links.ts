/** The links to all other instances: who is dialled, accepted and sent to. */

import { connect, createServer, type Server, type Socket } from "node:net";
import { Buffer } from "node:buffer";
import { EventKind } from "@chestnuthatch/core/events";
import { encodeFrame, type FrameFault } from "@chestnuthatch/wire/frame_codec";
import { HandshakeRole, MIN_SECRET_BYTES } from "@chestnuthatch/wire/handshake";
import {
  type PeerMessage,
  PeerMessageKind,
} from "@chestnuthatch/wire/peer_messages";
import { err, ok, type Result } from "neverthrow";
import { CloseReason } from "./close_reason.ts";
import {
  formatPeerAddress,
  parsePeerAddress,
  type PeerAddress,
} from "./peer_address.ts";
import {
  PeerConnection,
  type PeerConnectionOwner,
  type PeerIdentity,
} from "./peer_connection.ts";
import { PeerDiallers } from "./peer_diallers.ts";
import { DEFAULT_PEER_LIMITS, type PeerLimits } from "./peer_limits.ts";
import { PeerLog } from "./peer_log.ts";
import { PeerRegistry } from "./peer_registry.ts";
import type { EdgeContext } from "./ports.ts";

/** Messages that are sent again anyway, so that losing one does no harm. */
const REPEATED_KINDS: ReadonlySet<PeerMessageKind> = new Set([
  PeerMessageKind.Heartbeat,
  PeerMessageKind.HolderReport,
  PeerMessageKind.TargetsHeard,
]);

/** What the links need. */
export interface PeerLinksOptions {
  readonly identity: PeerIdentity;
  /** Shared by all instances; at least `MIN_SECRET_BYTES` long. */
  readonly secret: string;
  readonly host: string;
  /** 0 lets the system choose. */
  readonly port: number;
  /** Gives a number from 0 up to, not including, 1. */
  readonly random: () => number;
  /** Bounds that differ from `DEFAULT_PEER_LIMITS`. */
  readonly limits?: Partial<PeerLimits>;
}

/**
 * Links to peers over TCP; messages in, messages out, up and down.
 *
 * No event is emitted from within `connect`, `forget` or `send`.
 */
export class PeerLinks implements PeerConnectionOwner {
  readonly #context: EdgeContext;
  readonly #options: PeerLinksOptions;
  readonly #limits: PeerLimits;
  readonly #log: PeerLog;
  readonly #registry: PeerRegistry;
  readonly #server: Server;
  readonly #connections = new Set<PeerConnection>();
  readonly #diallers: PeerDiallers;
  #keepAliveTimer: NodeJS.Timeout | null = null;
  #stopping = false;
  #onAllClosed: () => void = () => {};

  /**
   * @param context The edge's clock, sinks and counters.
   * @param options Who this instance is, and where it listens.
   * @throws RangeError when the secret is too short.
   */
  constructor(context: EdgeContext, options: PeerLinksOptions) {
    if (Buffer.byteLength(options.secret) < MIN_SECRET_BYTES) {
      throw new RangeError(
        `the secret needs ${MIN_SECRET_BYTES} bytes or more`,
      );
    }
    this.#context = context;
    this.#options = options;
    this.#limits = { ...DEFAULT_PEER_LIMITS, ...options.limits };
    this.#log = new PeerLog(context, this.#limits.logIntervalMs);
    this.#registry = new PeerRegistry(options.identity.instanceId);
    this.#diallers = new PeerDiallers({
      limits: this.#limits,
      random: options.random,
      dial: (peerId, address) => this.#dial(peerId, address),
    });
    this.#server = this.#createServer();
  }

  /**
   * Starts listening.
   *
   * @returns The address, or why listening failed.
   */
  async start(): Promise<Result<string, Error>> {
    const { host, port } = this.#options;
    const failure = await new Promise<Error | null>((resolve) => {
      this.#server.once("error", resolve);
      this.#server.listen({ host, port }, () => resolve(null));
    });
    if (failure) return err(failure);
    this.#server.on(
      "error",
      (error) =>
        this.#log.error("listen", `listening failed: ${error.message}`),
    );
    this.#keepAliveTimer = setInterval(
      () => this.#intervalPassed(),
      this.#limits.keepAliveIntervalMs,
    );
    this.#keepAliveTimer.unref();
    return ok(this.address());
  }

  /** @returns `host:port` listened on; empty before `start`. */
  address(): string {
    const bound = this.#server.address();
    if (bound === null || typeof bound === "string") return "";
    return formatPeerAddress({ host: bound.address, port: bound.port });
  }

  /**
   * Keeps a link to a peer up, dialling whenever there is none.
   *
   * @param peerId The peer's id; whoever else answers is turned away.
   * @param address `host:port`; a new one replaces the one dialled before.
   */
  connect(peerId: string, address: string): void {
    const parsed = parsePeerAddress(address);
    if (this.#stopping || peerId === this.#options.identity.instanceId) return;
    if (!parsed) {
      this.#log.error("bad_address", `${peerId} has no valid address`);
      return;
    }
    if (!this.#diallers.dialsAt(peerId, parsed)) {
      this.#stopDialling(peerId);
      this.#diallers.add(peerId, parsed);
    }
    this.#dialIfDown(peerId);
  }

  /**
   * Dials a peer no more, and closes its links once they have drained.
   *
   * @param peerId The peer's id.
   */
  forget(peerId: string): void {
    this.#stopDialling(peerId);
    for (const link of this.#registry.linksOf(peerId)) link.retire();
  }

  /**
   * Sends a message if a link to the peer is up. Messages on one link keep
   * their order; a message may be lost when a link closes.
   *
   * @param peerId The peer's id.
   * @param message The message.
   * @returns True when the message was queued.
   */
  send(peerId: string, message: PeerMessage): boolean {
    const link = this.#registry.usableLink(peerId);
    if (!link) return false;
    const frame = encodeFrame(message);
    if (frame.isErr()) {
      this.#log.error("bad_message", `a message is ${frame.error}`);
      return false;
    }
    const repeated = REPEATED_KINDS.has(message.kind);
    return link.send({ bytes: frame.value, repeated });
  }

  /**
   * @param peerId The peer's id.
   * @returns Bytes that wait on its links, for metrics.
   */
  queuedBytes(peerId: string): number {
    return this.#registry.linksOf(peerId)
      .reduce((sum, link) => sum + link.queuedBytes, 0);
  }

  /** @returns Settled when everything queued is sent, or the time is over. */
  async stop(): Promise<void> {
    this.#stopping = true;
    if (this.#keepAliveTimer) clearInterval(this.#keepAliveTimer);
    this.#diallers.stop();
    const serverClosed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    for (const connection of this.#connections) {
      if (connection.isOpen) connection.retire();
      else connection.close(CloseReason.Stopped);
    }
    const timer = setTimeout(
      () => this.#closeAll(),
      this.#limits.drainTimeoutMs,
    );
    await Promise.all([serverClosed, this.#allClosed()]);
    clearTimeout(timer);
  }

  /** Decides on a peer that has proved itself. @inheritDoc */
  admit(connection: PeerConnection): CloseReason | null {
    return this.#stopping
      ? CloseReason.Stopped
      : this.#registry.refusalOf(connection);
  }

  /** Takes in a connection whose handshake is done. @inheritDoc */
  opened(connection: PeerConnection): void {
    const { peer } = connection;
    if (peer === null) return;
    const { instanceId: peerId, failureDomain } = peer;
    const isFirst = this.#registry.add(connection);
    this.#diallers.get(peerId)?.linkUp();
    if (isFirst) {
      this.#context.emit({
        kind: EventKind.PeerConnected,
        peerId,
        failureDomain,
      });
    }
    this.#registry.retireRedundant(connection);
  }

  /** Passes a message on to the core. @inheritDoc */
  received(connection: PeerConnection, message: PeerMessage): void {
    if (!connection.peer) return;
    this.#context.emit({
      kind: EventKind.PeerMessageReceived,
      fromId: connection.peer.instanceId,
      fromIncarnation: connection.peer.incarnation,
      message,
    });
  }

  /** Counts and logs a bad frame. @inheritDoc */
  frameRejected(connection: PeerConnection, fault: FrameFault): void {
    this.#log.frameRejected(nameOf(connection), fault);
  }

  /** Forgets a connection, and dials anew where it was the last. @inheritDoc */
  closed(connection: PeerConnection, reason: CloseReason): void {
    this.#connections.delete(connection);
    this.#log.connectionClosed(nameOf(connection), reason);
    const { peer, expectedPeerId } = connection;
    const wasLast = this.#registry.remove(connection);
    if (wasLast && peer) {
      const peerId = peer.instanceId;
      this.#context.emit({ kind: EventKind.PeerDisconnected, peerId });
    }
    this.#redialAfter(connection, expectedPeerId ?? peer?.instanceId);
    if (this.#connections.size === 0) this.#onAllClosed();
  }

  #redialAfter(connection: PeerConnection, peerId: string | undefined): void {
    if (peerId === undefined) return;
    const dialled = connection.role === HandshakeRole.Dialler;
    if (dialled) this.#diallers.get(peerId)?.attemptEnded(connection);
    this.#dialIfDown(peerId);
  }

  #createServer(): Server {
    const server = createServer(
      { allowHalfOpen: true },
      (socket) => this.#accept(socket),
    );
    server.maxConnections = this.#limits.maxInboundConnections;
    server.on("drop", (dropped) => {
      const name = dropped?.remoteAddress ?? "an unknown address";
      this.#log.connectionClosed(name, CloseReason.TooManyConnections);
    });
    return server;
  }

  #accept(socket: Socket): void {
    if (this.#stopping) socket.destroy();
    else this.#track(socket, { role: HandshakeRole.Acceptor });
  }

  #track(
    socket: Socket,
    side: { readonly role: HandshakeRole; readonly expectedPeerId?: string },
  ): PeerConnection {
    const connection = new PeerConnection(socket, {
      context: this.#context,
      owner: this,
      identity: this.#options.identity,
      secret: this.#options.secret,
      limits: this.#limits,
      ...side,
    });
    this.#connections.add(connection);
    return connection;
  }

  #dial(peerId: string, { host, port }: PeerAddress): PeerConnection {
    return this.#track(connect({ host, port, allowHalfOpen: true }), {
      role: HandshakeRole.Dialler,
      expectedPeerId: peerId,
    });
  }

  #dialIfDown(peerId: string): void {
    if (this.#stopping || this.#registry.linksOf(peerId).length > 0) return;
    this.#diallers.get(peerId)?.ensureDialling();
  }

  #stopDialling(peerId: string): void {
    this.#diallers.remove(peerId);
    for (const connection of this.#connections) {
      const isAttempt = connection.expectedPeerId === peerId &&
        !connection.isOpen;
      if (isAttempt) connection.close(CloseReason.Forgotten);
    }
  }

  #intervalPassed(): void {
    for (const connection of this.#connections) connection.intervalPassed();
  }

  #closeAll(): void {
    for (const connection of this.#connections) {
      connection.close(CloseReason.Stopped);
    }
  }

  #allClosed(): Promise<void> {
    if (this.#connections.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#onAllClosed = resolve;
    });
  }
}

function nameOf(connection: PeerConnection): string {
  const id = connection.peer?.instanceId ?? connection.expectedPeerId;
  return id ?? connection.remoteAddress;
}
