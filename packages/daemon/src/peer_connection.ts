/** One connection to another instance: handshake, frames, back-pressure. */

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

/** Who an instance says it is. */
export interface PeerIdentity {
  readonly instanceId: string;
  readonly incarnation: number;
  readonly failureDomain: string;
}

/** What a connection tells its owner. */
export interface PeerConnectionOwner {
  /**
   * Decides on a peer that has proved itself.
   *
   * @returns Why it is turned away, or null.
   */
  admit(connection: PeerConnection): CloseReason | null;
  opened(connection: PeerConnection): void;
  received(connection: PeerConnection, message: PeerMessage): void;
  frameRejected(connection: PeerConnection, fault: FrameFault): void;
  /** Called once, whether or not the connection ever opened. */
  closed(connection: PeerConnection, reason: CloseReason): void;
}

/** What a connection needs. */
export interface PeerConnectionOptions {
  readonly context: EdgeContext;
  readonly owner: PeerConnectionOwner;
  readonly identity: PeerIdentity;
  readonly secret: string;
  readonly limits: PeerLimits;
  readonly role: HandshakeRole;
  /** The peer that was dialled. */
  readonly expectedPeerId?: string;
}

enum Phase {
  AwaitingHello,
  AwaitingProof,
  Open,
  Closed,
}

const HELLO_EXPECTED: FrameExpectation<Hello> = {
  schema: helloSchema,
  maxFrameBytes: MAX_HANDSHAKE_FRAME_BYTES,
};
const PROOF_EXPECTED: FrameExpectation<Proof> = {
  schema: proofSchema,
  maxFrameBytes: MAX_HANDSHAKE_FRAME_BYTES,
};
const MESSAGE_EXPECTED: FrameExpectation<PeerMessage> = {
  schema: peerMessageSchema,
};

/** One connection, from its first byte to its close. */
export class PeerConnection {
  readonly #socket: Socket;
  readonly #options: PeerConnectionOptions;
  readonly #handshake: PeerHandshake;
  readonly #decoder = new FrameDecoder();
  readonly #queue = new OutboundQueue();
  readonly #handshakeTimer: NodeJS.Timeout;
  /** Reads the next frame in each phase; false when none was there. */
  readonly #readNext: Readonly<Record<Phase, () => boolean>> = {
    [Phase.AwaitingHello]: () => this.#readHello(),
    [Phase.AwaitingProof]: () => this.#readProof(),
    [Phase.Open]: () => this.#readMessage(),
    [Phase.Closed]: () => false,
  };
  #phase = Phase.AwaitingHello;
  #peerHello: Hello | null = null;
  #retired = false;
  #silentIntervals = 0;
  #sentInInterval = false;

  /**
   * Starts the handshake at once.
   *
   * @param socket A socket that allows being half open; it may still be
   * connecting.
   * @param options The connection's side, bounds and owner.
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
    this.#listen();
    this.#sendHandshake(this.#handshake.ownHello);
  }

  /** @returns Which side of the connection this instance is. */
  get role(): HandshakeRole {
    return this.#options.role;
  }

  /** @returns The peer that was dialled, where this instance dialled. */
  get expectedPeerId(): string | undefined {
    return this.#options.expectedPeerId;
  }

  /** @returns Who the peer says it is, once its hello is here. */
  get peer(): PeerIdentity | null {
    return this.#peerHello;
  }

  /** @returns The id of the side that dialled, once the hello is here. */
  get diallerId(): string | undefined {
    return this.role === HandshakeRole.Dialler
      ? this.#options.identity.instanceId
      : this.#peerHello?.instanceId;
  }

  /** @returns True from the handshake's end to the close. */
  get isOpen(): boolean {
    return this.#phase === Phase.Open;
  }

  /** @returns True while messages can be handed over for sending. */
  get isUsable(): boolean {
    return this.isOpen && !this.#retired;
  }

  /** @returns Bytes accepted for sending that the system has not taken. */
  get queuedBytes(): number {
    return this.#queue.bytes + this.#socket.writableLength;
  }

  /** @returns The other side's address, for log lines. */
  get remoteAddress(): string {
    return this.#socket.remoteAddress ?? "an unknown address";
  }

  /**
   * Queues a frame.
   *
   * @param frame The frame.
   * @returns True when it was queued. When a frame that is not repeated finds
   * no room, the connection closes, but never within this call: the caller
   * may be the core, which must not be told of it halfway through its work.
   */
  send(frame: OutboundFrame): boolean {
    if (!this.isUsable) return false;
    const roomBytes = this.#options.limits.maxQueuedBytes -
      this.#socket.writableLength;
    const outcome = this.#queue.enqueue(frame, roomBytes);
    if (outcome === EnqueueOutcome.Overflow) this.#closeSoon();
    if (outcome !== EnqueueOutcome.Queued) return false;
    this.#pump();
    return true;
  }

  /** Takes no more to send, sends what is queued, and then closes. */
  retire(): void {
    if (!this.isUsable) return;
    this.#retired = true;
    const timer = setTimeout(
      () => this.close(CloseReason.DrainTimeout),
      this.#options.limits.drainTimeoutMs,
    );
    timer.unref();
    this.#socket.once("close", () => clearTimeout(timer));
    this.#pump();
  }

  /**
   * Closes at once.
   *
   * @param reason Why; only the first reason counts.
   */
  close(reason: CloseReason): void {
    if (this.#phase === Phase.Closed) return;
    this.#phase = Phase.Closed;
    clearTimeout(this.#handshakeTimer);
    this.#queue.clear();
    this.#socket.destroy();
    this.#options.owner.closed(this, reason);
  }

  /**
   * Called once in each keep-alive interval. Intervals are counted, so that an
   * instance that was paused itself does not take its peers for silent.
   */
  intervalPassed(): void {
    if (!this.isOpen) return;
    this.#silentIntervals += 1;
    if (this.#silentIntervals > this.#options.limits.maxSilentIntervals) {
      this.close(CloseReason.Silent);
      return;
    }
    if (!this.#sentInInterval && this.isUsable) this.#sendKeepAlive();
    this.#sentInInterval = false;
  }

  #closeSoon(): void {
    this.#retired = true;
    this.#queue.clear();
    setImmediate(() => this.close(CloseReason.QueueOverflow));
  }

  #listen(): void {
    this.#socket.setNoDelay(true);
    this.#socket.on("data", (chunk: Buffer) => this.#onData(chunk));
    this.#socket.on("drain", () => this.#pump());
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
    while (progressed) progressed = this.#readNext[this.#phase]();
  }

  #onEnd(): void {
    const result = this.#decoder.end();
    if (this.#phase === Phase.Closed) return;
    if (result.isErr()) this.#rejectFrame(result.error);
    else if (this.isOpen) this.#endOwnSide();
    else this.close(CloseReason.HandshakeAborted);
  }

  #endOwnSide(): void {
    if (this.#retired) this.#pump();
    else this.retire();
  }

  #readHello(): boolean {
    const hello = this.#nextFrame(HELLO_EXPECTED);
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
    const proof = this.#nextFrame(PROOF_EXPECTED);
    if (!hello || !proof) return false;
    const refusal = this.#refusalOf(hello, proof);
    if (refusal) {
      this.close(refusal);
      return false;
    }
    if (this.role === HandshakeRole.Acceptor) this.#sendProof(hello);
    this.#phase = Phase.Open;
    clearTimeout(this.#handshakeTimer);
    this.#options.owner.opened(this);
    return true;
  }

  #refusalOf(hello: Hello, proof: Proof): CloseReason | null {
    return this.#handshake.isValid(hello, proof)
      ? this.#options.owner.admit(this)
      : CloseReason.ProofRejected;
  }

  #readMessage(): boolean {
    const message = this.#nextFrame(MESSAGE_EXPECTED);
    if (!message) return false;
    this.#options.owner.received(this, message);
    return true;
  }

  #nextFrame<T>(expectation: FrameExpectation<T>): T | null {
    const result = this.#decoder.next(expectation);
    if (result.isOk()) return result.value;
    this.#rejectFrame(result.error);
    return null;
  }

  #rejectFrame(fault: FrameFault): void {
    this.#options.owner.frameRejected(this, fault);
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

  #pump(): void {
    if (!this.isOpen) return;
    while (!this.#socket.writableNeedDrain) {
      const frame = this.#queue.dequeue();
      if (!frame) break;
      this.#write(frame.bytes);
    }
    const drained = this.#queue.bytes === 0;
    if (this.#retired && drained && !this.#socket.writableEnded) {
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
