/** A TCP relay in the test process: one link that can be cut, frozen, healed. */

import { Buffer } from "node:buffer";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import process from "node:process";
import { Transform } from "node:stream";

/** What a link does. */
export enum LinkState {
  Open = "open",
  /** Connections are dropped and refused. */
  Cut = "cut",
  /** Connections are accepted; nothing is forwarded. */
  Frozen = "frozen",
  /** What the upstream sends is held; the other way is open. */
  InboundHeld = "inbound_held",
  /** What the dialling side sends is held; the other way is open. */
  OutboundHeld = "outbound_held",
}

type HeldState = Exclude<LinkState, LinkState.Open | LinkState.Cut>;

const OUTBOUND_FLOWS: ReadonlySet<LinkState> = new Set([
  LinkState.Open,
  LinkState.InboundHeld,
]);
const INBOUND_FLOWS: ReadonlySet<LinkState> = new Set([
  LinkState.Open,
  LinkState.OutboundHeld,
]);

/** One connection through the relay. */
interface Passage {
  readonly near: Socket;
  readonly far: Socket;
  /** What passes from one to the other, each part as late as the link is. */
  readonly outbound: Transform;
  readonly inbound: Transform;
  /** Whether nothing passes ever again, with no end to be seen. */
  isSilent: boolean;
}

const MS_PER_S = 1000;

/** A busy process is late by so much: a narrow link makes up for it. */
const LATE_TIMER_MS = 100;

const NO_BYTES = Buffer.alloc(0);
const OCTET = 256;
const LOOPBACK_OCTET = 127;
const MIDDLE_OCTETS = 250;

let hostsUsed = 0;

/** Forwards connections to one upstream address. */
export class LinkRelay {
  readonly #passages = new Set<Passage>();
  readonly #host = nextHost();
  #server: Server | undefined;
  #port = 0;
  #upstream: string | undefined;
  #state = LinkState.Open;
  #delayMs = 0;
  #inboundBytesPerS = Infinity;

  private constructor(upstream?: string) {
    this.#upstream = upstream;
  }

  /**
   * Starts a relay.
   *
   * @param upstream `host:port` to forward to, if it is known yet.
   * @returns The relay, listening.
   */
  static async start(upstream?: string): Promise<LinkRelay> {
    const relay = new LinkRelay(upstream);
    await relay.#listen();
    return relay;
  }

  /** `host:port` to connect to; it stays the same, also through cuts. */
  get address(): string {
    return `${this.#host}:${this.#port}`;
  }

  /** @param upstream `host:port` of a process that was started anew. */
  setUpstream(upstream: string): void {
    this.#upstream = upstream;
  }

  /** Drops every connection and refuses new ones. */
  async cut(): Promise<void> {
    this.#state = LinkState.Cut;
    await this.#close();
  }

  /** Holds everything back, in both directions. */
  freeze(): void {
    this.#hold(LinkState.Frozen);
  }

  /** Holds back what the upstream sends, and forwards the rest. */
  holdInbound(): void {
    this.#hold(LinkState.InboundHeld);
  }

  /** Holds back what the dialling side sends, and forwards the rest. */
  holdOutbound(): void {
    this.#hold(LinkState.OutboundHeld);
  }

  /** Resets every connection; new ones are served. */
  reset(): void {
    for (const passage of [...this.#passages]) {
      this.#reset(passage);
    }
  }

  /**
   * Silences connections that are open, for good; new ones are served.
   *
   * @param share Part of them, the oldest first.
   */
  silence(share: number): void {
    const passages = [...this.#passages].filter(({ isSilent }) => !isSilent);
    for (
      const passage of passages.slice(0, Math.ceil(share * passages.length))
    ) {
      passage.isSilent = true;
      this.#flow(passage);
    }
  }

  /** A reset of one end is one of the other, not a plain end. */
  #reset(passage: Passage): void {
    if (this.#state === LinkState.Open && !passage.isSilent) {
      this.#passages.delete(passage);
      resetSocket(passage.near);
      resetSocket(passage.far);
    }
  }

  /** @param delayMs How late each part arrives on the other side. */
  setDelay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** @param bytesPerS How much of what the upstream sends passes, for each connection. */
  narrowInbound(bytesPerS: number): void {
    this.#inboundBytesPerS = bytesPerS;
  }

  /** Forwards again, also what was held back. */
  async heal(): Promise<void> {
    this.#state = LinkState.Open;
    if (this.#server === undefined) {
      await this.#listen();
    }
    this.#passages.forEach((passage) => this.#flow(passage));
  }

  /** Ends the relay and its connections. */
  async stop(): Promise<void> {
    await this.#close();
  }

  #hold(state: HeldState): void {
    this.#state = state;
    this.#passages.forEach((passage) => this.#flow(passage));
  }

  #listen(): Promise<void> {
    const server = createServer(
      { allowHalfOpen: true },
      (near) => this.#accept(near),
    );
    this.#server = server;
    return new Promise((resolve, reject) => {
      server.on("error", reject);
      server.listen(this.#port, this.#host, () => {
        this.#port = (server.address() as AddressInfo).port;
        resolve();
      });
    });
  }

  async #close(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    for (const passage of [...this.#passages]) {
      this.#drop(passage);
    }
    await new Promise<void>((resolve) => {
      server === undefined ? resolve() : server.close(() => resolve());
    });
  }

  #accept(near: Socket): void {
    const separator = this.#upstream?.lastIndexOf(":");
    if (this.#upstream === undefined || separator === undefined) {
      near.destroy();
      return;
    }
    const host = this.#upstream.slice(0, separator);
    const port = Number(this.#upstream.slice(separator + 1));
    const far = connect({ host, port, allowHalfOpen: true });
    const passage = {
      near,
      far,
      outbound: this.#delayLine(() => Infinity),
      inbound: this.#delayLine(() => this.#inboundBytesPerS),
      isSilent: false,
    };
    passage.outbound.pipe(far);
    passage.inbound.pipe(near);
    this.#passages.add(passage);
    for (const socket of [near, far]) {
      socket.setNoDelay(true);
      socket.on("error", () => this.#reset(passage));
      socket.on("close", () => this.#closed(passage));
    }
    near.on("end", () => this.#ended(passage, near, passage.outbound));
    far.on("end", () => this.#ended(passage, far, passage.inbound));
    this.#flow(passage);
  }

  /**
   * Where data and a reset arrive together, the runtime tells of a plain end;
   * a write of no bytes shows the reset.
   */
  #ended(passage: Passage, socket: Socket, line: Transform): void {
    socket.write(NO_BYTES, (error) => {
      if (error === undefined || error === null) {
        line.end();
      } else {
        this.#reset(passage);
      }
    });
  }

  #flow(passage: Passage): void {
    const { near, far, outbound, inbound } = passage;
    near.unpipe(outbound);
    far.unpipe(inbound);
    if (!passage.isSilent && OUTBOUND_FLOWS.has(this.#state)) {
      near.pipe(outbound, { end: false });
    }
    if (!passage.isSilent && INBOUND_FLOWS.has(this.#state)) {
      far.pipe(inbound, { end: false });
    }
    this.#closed(passage);
  }

  /** Parts pass in their order, each as late as the link is and its rate asks. */
  #delayLine(bytesPerS: () => number): Transform {
    let freeAtMs = 0;
    return new Transform({
      transform: (chunk: Buffer, _encoding, done) => {
        const nowMs = performance.now();
        const passingMs = chunk.length / bytesPerS() * MS_PER_S;
        freeAtMs = Math.max(freeAtMs, nowMs - LATE_TIMER_MS) + passingMs;
        const waitMs = this.#delayMs + Math.max(0, freeAtMs - nowMs);
        if (waitMs === 0) {
          done(null, chunk);
        } else {
          setTimeout(() => done(null, chunk), waitMs);
        }
      },
    });
  }

  /** A link that is held hides also that one of its ends is gone. */
  #closed(passage: Passage): void {
    const { near, far } = passage;
    const isOpen = this.#state === LinkState.Open && !passage.isSilent;
    if (isOpen && (near.destroyed || far.destroyed)) {
      this.#drop(passage);
    }
  }

  #drop(passage: Passage): void {
    this.#passages.delete(passage);
    passage.near.destroy();
    passage.far.destroy();
  }
}

/**
 * The runtime cannot reset a socket whose end is on its way, and then never ends
 * its process either.
 */
function resetSocket(socket: Socket): void {
  if (socket.writableEnded) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}

/**
 * Hosts of relays differ by process and relay, so that no other process can
 * take a port while its link is cut.
 *
 * @returns An IP number on the loopback.
 */
export function nextHost(): string {
  hostsUsed += 1;
  const second = 1 + Math.floor(process.pid / MIDDLE_OCTETS) % MIDDLE_OCTETS;
  const third = 1 + process.pid % MIDDLE_OCTETS;
  return [LOOPBACK_OCTET, second, third, 1 + hostsUsed % (OCTET - 2)].join(".");
}
