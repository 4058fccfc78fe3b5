/** One TCP connection to a peer: handshake, framing and backpressure. */

import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import {
  encodeFrame,
  encodeKeepAlive,
  FrameDecoder,
  type FrameExpectation,
  type FrameFault,
} from "@chestnuthatch/wire/frame_codec";
import {
  HandshakeRole,
  type Hello,
  helloSchema,
  MAX_HANDSHAKE_FRAME_BYTES,
  type Proof,
  proofSchema,
} from "@chestnuthatch/wire/handshake";
import {
  PEER_PROTOCOL_VERSION,
  type PeerMessage,
  peerMessageSchema,
} from "@chestnuthatch/wire/peer_messages";
import { CloseReason } from "./close_reason.ts";
import {
  EnqueueOutcome,
  type OutboundFrame,
  OutboundQueue,
} from "./outbound_queue.ts";
import { PeerHandshake } from "./peer_handshake.ts";
import type { PeerLimits } from "./peer_limits.ts";
import { type EdgeContext, EdgeCounterName } from "./ports.ts";

/** Identity that an instance states in its handshake. */
export interface PeerIdentity {
  readonly instanceId: string;
  /** Increases with each start of the same instance id. */
  readonly incarnation: number;
  readonly failureDomain: string;
}

/** Callbacks through which a connection reports to its owner. */
export interface PeerConnectionOwner {
  /**
   * Decides whether an authenticated peer is refused.
   *
   * @param connection Connection whose handshake proof was valid.
   * @returns Why the peer is refused, or null if it is accepted.
   */
  refusalReason(connection: PeerConnection): CloseReason | null;
  /** Called when the handshake has completed. */
  onOpened(connection: PeerConnection): void;
  /** Called for each message of an open connection. */
  onMessage(connection: PeerConnection, message: PeerMessage): void;
  /** Called when a frame is invalid, before the connection closes. */
  onFrameRejected(connection: PeerConnection, fault: FrameFault): void;
  /** Called exactly once, whether or not the connection ever opened. */
  onClosed(connection: PeerConnection, reason: CloseReason): void;
}

/** Role, identity, owner and limits of a {@link PeerConnection}. */
export interface PeerConnectionOptions {
  readonly context: EdgeContext;
  readonly owner: PeerConnectionOwner;
  readonly identity: PeerIdentity;
  /** Secret shared by all instances. */
  readonly secret: string;
  readonly limits: PeerLimits;
  /** Side of the connection that this instance takes. */
  readonly role: HandshakeRole;
  /** Instance id of the peer that was dialled; absent for the acceptor. */
  readonly expectedPeerId?: string;
}

enum Phase {
  AwaitingHello,
  AwaitingProof,
  Open,
  Closed,
}

const HELLO_EXPECTATION: FrameExpectation<Hello> = {
  schema: helloSchema,
  maxFrameBytes: MAX_HANDSHAKE_FRAME_BYTES,
};
const PROOF_EXPECTATION: FrameExpectation<Proof> = {
  schema: proofSchema,
  maxFrameBytes: MAX_HANDSHAKE_FRAME_BYTES,
};
const MESSAGE_EXPECTATION: FrameExpectation<PeerMessage> = {
  schema: peerMessageSchema,
};

/** Runs one connection from its handshake to its close. */
export class PeerConnection {
  readonly #socket: Socket;
  readonly #options: PeerConnectionOptions;
  readonly #handshake: PeerHandshake;
  readonly #decoder = new FrameDecoder();
  readonly #queue = new OutboundQueue();
  readonly #handshakeTimer: NodeJS.Timeout;
  /** Reads the next frame in each phase; returns false if there is none. */
  readonly #readFrameByPhase: Readonly<Record<Phase, () => boolean>> = {
    [Phase.AwaitingHello]: () => this.#readHello(),
    [Phase.AwaitingProof]: () => this.#readProof(),
    [Phase.Open]: () => this.#readMessage(),
    [Phase.Closed]: () => false,
  };
  #phase = Phase.AwaitingHello;
  #peerHello: Hello | null = null;
  #isDraining = false;
  #silentIntervals = 0;
  #sentInInterval = false;

  /**
   * Starts the handshake immediately.
   *
   * @param socket Socket with `allowHalfOpen`; it may still be connecting.
   * @param options Role, identity, owner and limits.
   */
  constructor(socket: Socket, options: PeerConnectionOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#handshake = new PeerHandshake(options);
    this.#handshakeTimer = setTimeout(
      () => this.close(CloseReason.HandshakeTimeout),
      options.limits.handshakeTimeoutMs,
    );
    this.#handshakeTimer.unref();
    this.#addSocketListeners();
    this.#sendHandshake(this.#handshake.ownHello);
  }

  /** Side of the connection that this instance takes. */
  get role(): HandshakeRole {
    return this.#options.role;
  }

  /** Instance id that was dialled; undefined if the peer dialled. */
  get expectedPeerId(): string | undefined {
    return this.#options.expectedPeerId;
  }

  /** Identity in the peer's hello; null until the hello arrives. */
  get peer(): PeerIdentity | null {
    return this.#peerHello;
  }

  /**
   * Instance id of the side that dialled; undefined for the acceptor until the
   * hello arrives.
   */
  get diallerId(): string | undefined {
    return this.role === HandshakeRole.Dialler
      ? this.#options.identity.instanceId
      : this.#peerHello?.instanceId;
  }

  /** Whether the handshake has completed and the connection is not closed. */
  get isOpen(): boolean {
    return this.#phase === Phase.Open;
  }

  /** Whether the connection is open and not draining. */
  get canSend(): boolean {
    return this.isOpen && !this.#isDraining;
  }

  /** Bytes queued here or in the socket and not yet written to the system. */
  get queuedBytes(): number {
    return this.#queue.bytes + this.#socket.writableLength;
  }

  /** Remote IP address, for log lines. */
  get remoteAddress(): string {
    return this.#socket.remoteAddress ?? "an unknown address";
  }

  /**
   * Queues a frame. If the queue is full and the frame is not droppable, the
   * connection closes, but only in a later turn of the event loop: the caller
   * may be the core, which must not receive an event during a step.
   *
   * @param frame Frame to send.
   * @returns Whether the frame was queued.
   */
  send(frame: OutboundFrame): boolean {
    if (!this.canSend) return false;
    const availableBytes = this.#options.limits.maxQueuedBytes -
      this.#socket.writableLength;
    const outcome = this.#queue.enqueue(frame, availableBytes);
    if (outcome === EnqueueOutcome.Overflow) this.#closeOnOverflow();
    if (outcome !== EnqueueOutcome.Queued) return false;
    this.#flushQueue();
    return true;
  }

  /** Accepts no more frames, sends the queued ones, and then closes. */
  drain(): void {
    if (!this.canSend) return;
    this.#isDraining = true;
    const timer = setTimeout(
      () => this.close(CloseReason.DrainTimeout),
      this.#options.limits.drainTimeoutMs,
    );
    timer.unref();
    this.#socket.once("close", () => clearTimeout(timer));
    this.#flushQueue();
  }

  /**
   * Closes the connection immediately and discards queued frames.
   *
   * @param reason Why it closes; ignored if the connection is already closed.
   */
  close(reason: CloseReason): void {
    if (this.#phase === Phase.Closed) return;
    this.#phase = Phase.Closed;
    clearTimeout(this.#handshakeTimer);
    this.#queue.clear();
    this.#socket.destroy();
    this.#options.owner.onClosed(this, reason);
  }

  /**
   * Sends a keep-alive if nothing was sent in the last interval, and closes a
   * silent connection. Must be called once in each keep-alive interval.
   * Intervals are counted instead of measured by a clock, so that an instance
   * that was itself paused does not close the links to its peers.
   */
  checkLiveness(): void {
    if (!this.isOpen) return;
    this.#silentIntervals += 1;
    if (this.#silentIntervals > this.#options.limits.maxSilentIntervals) {
      this.close(CloseReason.Silent);
      return;
    }
    if (!this.#sentInInterval && this.canSend) this.#sendKeepAlive();
    this.#sentInInterval = false;
  }

  /** Closes in a later turn of the event loop, never within `send`. */
  #closeOnOverflow(): void {
    this.#isDraining = true;
    this.#queue.clear();
    setImmediate(() => this.close(CloseReason.QueueOverflow));
  }

  #addSocketListeners(): void {
    this.#socket.setNoDelay(true);
    this.#socket.on("data", (chunk: Buffer) => this.#onData(chunk));
    this.#socket.on("drain", () => this.#flushQueue());
    this.#socket.on("end", () => this.#onEnd());
    this.#socket.on("error", () => this.close(CloseReason.SocketError));
    this.#socket.on("close", () => this.close(CloseReason.Ended));
  }

  #onData(chunk: Buffer): void {
    if (this.#phase === Phase.Closed) return;
    this.#silentIntervals = 0;
    this.#count(EdgeCounterName.PeerBytesReceived, chunk.length);
    this.#decoder.push(chunk);
    let progressed = true;
    while (progressed) progressed = this.#readFrameByPhase[this.#phase]();
  }

  #onEnd(): void {
    const result = this.#decoder.end();
    if (this.#phase === Phase.Closed) return;
    if (result.isErr()) this.#rejectFrame(result.error);
    else if (this.isOpen) this.#drainAfterPeerEnd();
    else this.close(CloseReason.HandshakeAborted);
  }

  #drainAfterPeerEnd(): void {
    if (this.#isDraining) this.#flushQueue();
    else this.drain();
  }

  #readHello(): boolean {
    const hello = this.#nextFrame(HELLO_EXPECTATION);
    if (!hello) return false;
    if (hello.protocolVersion !== PEER_PROTOCOL_VERSION) {
      this.close(CloseReason.ProtocolMismatch);
      return false;
    }
    this.#peerHello = hello;
    this.#phase = Phase.AwaitingProof;
    if (this.role === HandshakeRole.Dialler) this.#sendProof(hello);
    return true;
  }

  #readProof(): boolean {
    const hello = this.#peerHello;
    const proof = this.#nextFrame(PROOF_EXPECTATION);
    if (!hello || !proof) return false;
    const refusal = this.#proofRefusalReason(hello, proof);
    if (refusal) {
      this.close(refusal);
      return false;
    }
    if (this.role === HandshakeRole.Acceptor) this.#sendProof(hello);
    this.#phase = Phase.Open;
    clearTimeout(this.#handshakeTimer);
    this.#options.owner.onOpened(this);
    return true;
  }

  #proofRefusalReason(hello: Hello, proof: Proof): CloseReason | null {
    return this.#handshake.isPeerProofValid(hello, proof)
      ? this.#options.owner.refusalReason(this)
      : CloseReason.ProofRejected;
  }

  #readMessage(): boolean {
    const message = this.#nextFrame(MESSAGE_EXPECTATION);
    if (!message) return false;
    this.#options.owner.onMessage(this, message);
    return true;
  }

  #nextFrame<T>(expectation: FrameExpectation<T>): T | null {
    const result = this.#decoder.next(expectation);
    if (result.isOk()) return result.value;
    this.#rejectFrame(result.error);
    return null;
  }

  #rejectFrame(fault: FrameFault): void {
    this.#options.owner.onFrameRejected(this, fault);
    this.close(CloseReason.BadFrame);
  }

  #sendProof(peerHello: Hello): void {
    this.#sendHandshake(this.#handshake.prove(peerHello));
  }

  #sendHandshake(message: Hello | Proof): void {
    encodeFrame(message).map((bytes) => this.#write(bytes));
  }

  #sendKeepAlive(): void {
    if (!this.#socket.writableNeedDrain) this.#write(encodeKeepAlive());
  }

  #flushQueue(): void {
    if (!this.isOpen) return;
    while (!this.#socket.writableNeedDrain) {
      const frame = this.#queue.dequeue();
      if (!frame) break;
      this.#write(frame.bytes);
    }
    const isQueueEmpty = this.#queue.bytes === 0;
    if (this.#isDraining && isQueueEmpty && !this.#socket.writableEnded) {
      this.#socket.end();
    }
  }

  #write(bytes: Buffer): void {
    this.#sentInInterval = true;
    this.#count(EdgeCounterName.PeerBytesSent, bytes.length);
    this.#socket.write(bytes);
  }

  #count(counter: EdgeCounterName, by: number): void {
    this.#options.context.count(counter, {}, by);
  }
}
