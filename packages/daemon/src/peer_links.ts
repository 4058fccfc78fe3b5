/**
 * The TCP links between this instance and its peers: dialling, accepting, and
 * sending and receiving messages.
 */

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

/**
 * Kinds of message that may be dropped under backpressure, because their content
 * is sent again later.
 */
const DROPPABLE_KINDS: ReadonlySet<PeerMessageKind> = new Set([
  PeerMessageKind.Heartbeat,
  PeerMessageKind.HolderReport,
  PeerMessageKind.TargetsHeard,
]);

/** Identity, secret, listening address and limits of {@link PeerLinks}. */
export interface PeerLinksOptions {
  /** Identity that this instance states in handshakes. */
  readonly identity: PeerIdentity;
  /** Secret shared by all instances; at least `MIN_SECRET_BYTES` long. */
  readonly secret: string;
  /** Host name or IP address to listen on. */
  readonly host: string;
  /** Port to listen on; 0 lets the operating system choose one. */
  readonly port: number;
  /** Returns a random number in [0, 1), for the jitter of redials. */
  readonly random: () => number;
  /** Limits that override `DEFAULT_PEER_LIMITS`. */
  readonly limits?: Partial<PeerLimits>;
}

/**
 * Keeps TCP links to peers, sends messages on them, and emits an event for each
 * message received and each peer that connects or disconnects.
 *
 * A link is an open connection to a peer. No event is emitted from within
 * `connect`, `disconnect` or `send`.
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
  #resolveAllClosed: () => void = () => {};

  /**
   * @param context Clock, event sink, log and counters of the edge.
   * @param options Identity, secret, listening address and limits.
   * @throws RangeError if the secret is shorter than `MIN_SECRET_BYTES`.
   */
  constructor(context: EdgeContext, options: PeerLinksOptions) {
    if (Buffer.byteLength(options.secret) < MIN_SECRET_BYTES) {
      throw new RangeError(
        `the secret must have at least ${MIN_SECRET_BYTES} bytes`,
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
   * Starts listening for connections from peers.
   *
   * @returns The address listened on as `host:port`, or the listening error.
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
      () => this.#checkLiveness(),
      this.#limits.keepAliveIntervalMs,
    );
    this.#keepAliveTimer.unref();
    return ok(this.address());
  }

  /**
   * Returns the address that this instance listens on.
   *
   * @returns `host:port`; empty before `start`.
   */
  address(): string {
    const bound = this.#server.address();
    if (bound === null || typeof bound === "string") return "";
    return formatPeerAddress({ host: bound.address, port: bound.port });
  }

  /**
   * Keeps a link to a peer open, redialling whenever there is none.
   *
   * @param peerId Instance id of the peer; a connection on which another
   * instance answers is refused.
   * @param address Address as `host:port`; replaces an earlier one.
   */
  connect(peerId: string, address: string): void {
    const parsed = parsePeerAddress(address);
    if (this.#stopping || peerId === this.#options.identity.instanceId) return;
    if (!parsed) {
      this.#log.error("bad_address", `peer ${peerId} has an invalid address`);
      return;
    }
    if (!this.#diallers.isDiallingAt(peerId, parsed)) {
      this.#stopDialling(peerId);
      this.#diallers.add(peerId, parsed);
    }
    this.#dialIfDisconnected(peerId);
  }

  /**
   * Stops dialling a peer, and closes its links once they have drained.
   *
   * @param peerId Instance id of the peer.
   */
  disconnect(peerId: string): void {
    this.#stopDialling(peerId);
    for (const link of this.#registry.linksOf(peerId)) link.drain();
  }

  /**
   * Queues a message for a peer if a link to it is open. Messages on one link
   * keep their order; a message may be lost when a link closes.
   *
   * @param peerId Instance id of the peer.
   * @param message Message to send.
   * @returns Whether the message was queued.
   */
  send(peerId: string, message: PeerMessage): boolean {
    const link = this.#registry.linkForSending(peerId);
    if (!link) return false;
    const frame = encodeFrame(message);
    if (frame.isErr()) {
      this.#log.error(
        "bad_message",
        `a message could not be encoded: ${frame.error}`,
      );
      return false;
    }
    const isDroppable = DROPPABLE_KINDS.has(message.kind);
    return link.send({ bytes: frame.value, isDroppable });
  }

  /**
   * Returns how many bytes are queued for a peer, for metrics.
   *
   * @param peerId Instance id of the peer.
   * @returns Bytes queued on all links to the peer.
   */
  queuedBytes(peerId: string): number {
    return this.#registry.linksOf(peerId)
      .reduce((sum, link) => sum + link.queuedBytes, 0);
  }

  /**
   * Stops listening and dialling, and closes all links once they have drained.
   *
   * @returns A promise that resolves once all links are closed; links that have
   * not drained within `drainTimeoutMs` are closed then.
   */
  async stop(): Promise<void> {
    this.#stopping = true;
    if (this.#keepAliveTimer) clearInterval(this.#keepAliveTimer);
    this.#diallers.stop();
    const serverClosed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    for (const connection of this.#connections) {
      if (connection.isOpen) connection.drain();
      else connection.close(CloseReason.Stopped);
    }
    const timer = setTimeout(
      () => this.#closeAll(),
      this.#limits.drainTimeoutMs,
    );
    await Promise.all([serverClosed, this.#allClosed()]);
    clearTimeout(timer);
  }

  /**
   * Decides whether an authenticated peer is refused.
   *
   * @param connection Connection whose handshake proof was valid.
   * @returns Why the peer is refused, or null if it is accepted.
   */
  refusalReason(connection: PeerConnection): CloseReason | null {
    return this.#stopping
      ? CloseReason.Stopped
      : this.#registry.refusalReason(connection);
  }

  /**
   * Registers a connection whose handshake has completed.
   *
   * @param connection Connection that opened.
   */
  onOpened(connection: PeerConnection): void {
    const { peer } = connection;
    if (peer === null) return;
    const { instanceId: peerId, failureDomain } = peer;
    const isFirst = this.#registry.add(connection);
    this.#diallers.get(peerId)?.onLinkOpened();
    if (isFirst) {
      this.#context.emit({
        kind: EventKind.PeerConnected,
        peerId,
        failureDomain,
      });
    }
    this.#registry.drainRedundant(connection);
  }

  /**
   * Emits a received message to the core.
   *
   * @param connection Connection that the message arrived on.
   * @param message Message received.
   */
  onMessage(connection: PeerConnection, message: PeerMessage): void {
    if (!connection.peer) return;
    this.#context.emit({
      kind: EventKind.PeerMessageReceived,
      fromId: connection.peer.instanceId,
      fromIncarnation: connection.peer.incarnation,
      message,
    });
  }

  /**
   * Counts and logs a rejected frame.
   *
   * @param connection Connection that the frame arrived on.
   * @param fault Why the frame was rejected.
   */
  onFrameRejected(connection: PeerConnection, fault: FrameFault): void {
    this.#log.frameRejected(displayName(connection), fault);
  }

  /**
   * Removes a closed connection, and redials the peer if that was its last one.
   *
   * @param connection Connection that closed.
   * @param reason Why it closed.
   */
  onClosed(connection: PeerConnection, reason: CloseReason): void {
    this.#connections.delete(connection);
    this.#log.connectionClosed(displayName(connection), reason);
    const { peer, expectedPeerId } = connection;
    const wasLast = this.#registry.remove(connection);
    if (wasLast && peer) {
      const peerId = peer.instanceId;
      this.#context.emit({ kind: EventKind.PeerDisconnected, peerId });
    }
    this.#redialAfter(connection, expectedPeerId ?? peer?.instanceId);
    if (this.#connections.size === 0) this.#resolveAllClosed();
  }

  #redialAfter(connection: PeerConnection, peerId: string | undefined): void {
    if (peerId === undefined) return;
    const dialled = connection.role === HandshakeRole.Dialler;
    if (dialled) this.#diallers.get(peerId)?.onAttemptClosed(connection);
    this.#dialIfDisconnected(peerId);
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

  #dialIfDisconnected(peerId: string): void {
    if (this.#stopping || this.#registry.linksOf(peerId).length > 0) return;
    this.#diallers.get(peerId)?.ensureDialling();
  }

  #stopDialling(peerId: string): void {
    this.#diallers.remove(peerId);
    for (const connection of this.#connections) {
      const isAttempt = connection.expectedPeerId === peerId &&
        !connection.isOpen;
      if (isAttempt) connection.close(CloseReason.PeerRemoved);
    }
  }

  #checkLiveness(): void {
    for (const connection of this.#connections) connection.checkLiveness();
  }

  #closeAll(): void {
    for (const connection of this.#connections) {
      connection.close(CloseReason.Stopped);
    }
  }

  #allClosed(): Promise<void> {
    if (this.#connections.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#resolveAllClosed = resolve;
    });
  }
}

function displayName(connection: PeerConnection): string {
  const id = connection.peer?.instanceId ?? connection.expectedPeerId;
  return id ?? connection.remoteAddress;
}
