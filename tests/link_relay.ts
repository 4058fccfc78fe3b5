/** A TCP relay in the test process that simulates faults of a network link. */

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

/** Ways in which a link forwards data. */
export enum LinkState {
  Open = "open",
  /** Connections are closed, and new ones refused. */
  Cut = "cut",
  /** Connections are accepted; nothing is forwarded. */
  Frozen = "frozen",
  /** Data from the upstream is held back; the other direction is open. */
  InboundHeld = "inbound_held",
  /** Data from the client is held back; the other direction is open. */
  OutboundHeld = "outbound_held",
}

type HeldState = Exclude<LinkState, LinkState.Open | LinkState.Cut>;

const OUTBOUND_OPEN_STATES: ReadonlySet<LinkState> = new Set([
  LinkState.Open,
  LinkState.InboundHeld,
]);
const INBOUND_OPEN_STATES: ReadonlySet<LinkState> = new Set([
  LinkState.Open,
  LinkState.OutboundHeld,
]);

/** One connection through the relay. */
interface RelayedConnection {
  readonly clientSocket: Socket;
  readonly upstreamSocket: Socket;
  /** Data from the client to the upstream, delayed by the link. */
  readonly outbound: Transform;
  /** Data from the upstream to the client, delayed by the link. */
  readonly inbound: Transform;
  /** Whether the relay forwards nothing more, not even the end. */
  isSilent: boolean;
}

const MS_PER_S = 1000;

/**
 * Timer delay of a busy process that a link of limited rate compensates for, by
 * sending the missed bytes at once.
 */
const MAX_TIMER_DELAY_MS = 100;

const NO_BYTES = Buffer.alloc(0);
const OCTET = 256;
const LOOPBACK_OCTET = 127;
const MIDDLE_OCTETS = 250;

let hostCount = 0;

/**
 * A link that forwards connections to one upstream address. It can be cut, held
 * back, delayed, limited in its rate, and healed.
 */
export class LinkRelay {
  readonly #connections = new Set<RelayedConnection>();
  readonly #host = nextHost();
  #server: Server | undefined;
  #port = 0;
  #upstream: string | undefined;
  #state = LinkState.Open;
  #delayMs = 0;
  #inboundBytesPerS = Infinity;
  /** Whether a cut resets connections; else it closes them. */
  resetsOnCut = false;

  private constructor(upstream?: string) {
    this.#upstream = upstream;
  }

  /**
   * Starts a relay.
   *
   * @param upstream `host:port` to forward to; without it, connections are
   * closed until `setUpstream`.
   * @returns The relay, which listens.
   */
  static async start(upstream?: string): Promise<LinkRelay> {
    const relay = new LinkRelay(upstream);
    await relay.#listen();
    return relay;
  }

  /** `host:port` to connect to; it stays the same after a cut. */
  get address(): string {
    return `${this.#host}:${this.#port}`;
  }

  /**
   * Sets the address to which further connections are forwarded.
   *
   * @param upstream `host:port` of the upstream.
   */
  setUpstream(upstream: string): void {
    this.#upstream = upstream;
  }

  /** Closes every connection and refuses new ones, until `heal`. */
  async cut(): Promise<void> {
    if (this.resetsOnCut) {
      this.reset();
    }
    this.#state = LinkState.Cut;
    await this.#close();
  }

  /** Holds back all data in both directions, until `heal`. */
  freeze(): void {
    this.#hold(LinkState.Frozen);
  }

  /** Holds back data from the upstream, until `heal`. */
  holdInbound(): void {
    this.#hold(LinkState.InboundHeld);
  }

  /** Holds back data from clients, until `heal`. */
  holdOutbound(): void {
    this.#hold(LinkState.OutboundHeld);
  }

  /** Resets every connection; new ones are forwarded. */
  reset(): void {
    for (const connection of [...this.#connections]) {
      this.#resetConnection(connection);
    }
  }

  /**
   * Stops forwarding on open connections for good, without closing them; new
   * ones are forwarded.
   *
   * @param share Share of the connections, from 0 to 1; the oldest come first.
   */
  silence(share: number): void {
    const connections = [...this.#connections].filter(({ isSilent }) =>
      !isSilent
    );
    for (
      const connection of connections.slice(
        0,
        Math.ceil(share * connections.length),
      )
    ) {
      connection.isSilent = true;
      this.#updatePipes(connection);
    }
  }

  /**
   * Forwards a reset of one side as a reset of the other, not as a plain end.
   */
  #resetConnection(connection: RelayedConnection): void {
    if (this.#state === LinkState.Open && !connection.isSilent) {
      this.#connections.delete(connection);
      resetSocket(connection.clientSocket);
      resetSocket(connection.upstreamSocket);
    }
  }

  /**
   * Sets the delay of the link in both directions.
   *
   * @param delayMs Time that each chunk takes, in milliseconds.
   */
  setDelay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /**
   * Limits the rate of data from the upstream.
   *
   * @param bytesPerS Rate per connection in bytes per second.
   */
  limitInboundRate(bytesPerS: number): void {
    this.#inboundBytesPerS = bytesPerS;
  }

  /** Forwards data again, including what was held back. */
  async heal(): Promise<void> {
    this.#state = LinkState.Open;
    if (this.#server === undefined) {
      await this.#listen();
    }
    this.#connections.forEach((connection) => this.#updatePipes(connection));
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    await this.#close();
  }

  #hold(state: HeldState): void {
    this.#state = state;
    this.#connections.forEach((connection) => this.#updatePipes(connection));
  }

  #listen(): Promise<void> {
    const server = createServer(
      { allowHalfOpen: true },
      (clientSocket) => this.#accept(clientSocket),
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
    for (const connection of [...this.#connections]) {
      this.#destroyConnection(connection);
    }
    await new Promise<void>((resolve) => {
      server === undefined ? resolve() : server.close(() => resolve());
    });
  }

  #accept(clientSocket: Socket): void {
    const separator = this.#upstream?.lastIndexOf(":");
    if (this.#upstream === undefined || separator === undefined) {
      clientSocket.destroy();
      return;
    }
    const host = this.#upstream.slice(0, separator);
    const port = Number(this.#upstream.slice(separator + 1));
    const upstreamSocket = connect({ host, port, allowHalfOpen: true });
    const connection = {
      clientSocket,
      upstreamSocket,
      outbound: this.#createThrottle(() => Infinity),
      inbound: this.#createThrottle(() => this.#inboundBytesPerS),
      isSilent: false,
    };
    connection.outbound.pipe(upstreamSocket);
    connection.inbound.pipe(clientSocket);
    this.#connections.add(connection);
    for (const socket of [clientSocket, upstreamSocket]) {
      socket.setNoDelay(true);
      socket.on("error", () => this.#resetConnection(connection));
      socket.on("close", () => this.#onSocketClose(connection));
    }
    clientSocket.on(
      "end",
      () => this.#onSocketEnd(connection, clientSocket, connection.outbound),
    );
    upstreamSocket.on(
      "end",
      () => this.#onSocketEnd(connection, upstreamSocket, connection.inbound),
    );
    this.#updatePipes(connection);
  }

  /**
   * Forwards the end of one side. If data and a reset arrive together, the
   * runtime reports a plain end; a write of no bytes reveals the reset.
   */
  #onSocketEnd(
    connection: RelayedConnection,
    socket: Socket,
    stream: Transform,
  ): void {
    socket.write(NO_BYTES, (error) => {
      if (error === undefined || error === null) {
        stream.end();
      } else {
        this.#resetConnection(connection);
      }
    });
  }

  #updatePipes(connection: RelayedConnection): void {
    const { clientSocket, upstreamSocket, outbound, inbound } = connection;
    clientSocket.unpipe(outbound);
    upstreamSocket.unpipe(inbound);
    if (!connection.isSilent && OUTBOUND_OPEN_STATES.has(this.#state)) {
      clientSocket.pipe(outbound, { end: false });
    }
    if (!connection.isSilent && INBOUND_OPEN_STATES.has(this.#state)) {
      upstreamSocket.pipe(inbound, { end: false });
    }
    this.#onSocketClose(connection);
  }

  /** Creates a stream that delays chunks by the link's delay and by a rate. */
  #createThrottle(bytesPerS: () => number): Transform {
    let freeAtMs = 0;
    return new Transform({
      transform: (chunk: Buffer, _encoding, done) => {
        const nowMs = performance.now();
        const transferMs = chunk.length / bytesPerS() * MS_PER_S;
        freeAtMs = Math.max(freeAtMs, nowMs - MAX_TIMER_DELAY_MS) + transferMs;
        const waitMs = this.#delayMs + Math.max(0, freeAtMs - nowMs);
        if (waitMs === 0) {
          done(null, chunk);
        } else {
          setTimeout(() => done(null, chunk), waitMs);
        }
      },
    });
  }

  /** Closes both sides once one has closed, unless the link holds data back. */
  #onSocketClose(connection: RelayedConnection): void {
    const { clientSocket, upstreamSocket } = connection;
    const isOpen = this.#state === LinkState.Open && !connection.isSilent;
    if (isOpen && (clientSocket.destroyed || upstreamSocket.destroyed)) {
      this.#destroyConnection(connection);
    }
  }

  #destroyConnection(connection: RelayedConnection): void {
    this.#connections.delete(connection);
    connection.clientSocket.destroy();
    connection.upstreamSocket.destroy();
  }
}

/**
 * Resets a socket, or destroys it if its end is being sent: the runtime cannot
 * reset it then, and its process would never exit.
 */
function resetSocket(socket: Socket): void {
  if (socket.writableEnded) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}

/**
 * Returns the next address for a relay or an instance. Addresses differ by
 * process and use, so that no other process can take a port while a link is
 * cut.
 *
 * @returns An IPv4 address of the loopback network.
 */
export function nextHost(): string {
  hostCount += 1;
  const second = 1 + Math.floor(process.pid / MIDDLE_OCTETS) % MIDDLE_OCTETS;
  const third = 1 + process.pid % MIDDLE_OCTETS;
  return [LOOPBACK_OCTET, second, third, 1 + hostCount % (OCTET - 2)].join(".");
}
