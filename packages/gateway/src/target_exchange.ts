/** One request to one target, and its answer as it comes. */

import { Buffer } from "node:buffer";
import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request,
} from "node:http";
import type { Socket } from "node:net";
import { hostPortOf } from "./host_port.ts";

/** What is sent. */
export interface ExchangeOrder {
  readonly agent: Agent;
  /** `ip:port`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Names and values, one after the other. */
  readonly headers: string[];
  readonly body?: Buffer;
}

/** Who hears of the answer. Nothing follows on `ended` or `broke`. */
export interface ExchangeSink {
  head(answer: IncomingMessage): void;
  data(chunk: Buffer): void;
  /** The answer is whole. */
  ended(): void;
  /** There will be no whole answer. */
  broke(fault: ExchangeFault): void;
}

/** Why there is no whole answer. */
export interface ExchangeFault {
  /** False where certainly no byte of the request reached the target. */
  readonly sent: boolean;
  readonly reason: string;
}

/**
 * Time that a connection may take. Within a region it takes a few milliseconds,
 * and on a slow instance some tens; a lost opening packet is sent again only
 * after a second. What was not sent can go to another target and still be in
 * time for objectives of 400 ms.
 */
const CONNECT_TIMEOUT_MS = 120;

/** Why an exchange ended that found no connection in time. */
export const NO_CONNECTION = "no connection in time";

const NO_BYTES = Buffer.alloc(0);

/** Runs one exchange. */
export class TargetExchange {
  readonly #sink: ExchangeSink;
  readonly #request: ClientRequest;
  #answer?: IncomingMessage;
  #sent = false;
  #over = false;
  /** Whether it is still open if the connection's end was a reset. */
  #probing = false;
  #connectTimer?: NodeJS.Timeout;

  /**
   * Sends a request.
   *
   * @param order What is sent, and where.
   * @param sink Who hears of the answer.
   */
  constructor(order: ExchangeOrder, sink: ExchangeSink) {
    this.#sink = sink;
    const { host, port } = hostPortOf(order.address);
    this.#request = request({
      host,
      port,
      agent: order.agent,
      method: order.method,
      path: order.path,
      headers: order.headers as unknown as Record<string, string>,
      setHost: false,
    });
    this.#request.on("socket", (socket) => this.#connecting(socket));
    this.#request.on("response", (answer) => this.#answered(answer));
    this.#request.on("error", (error) => this.#broke(error.message));
    this.#request.on("close", () => {
      // Where there is an answer, its own end tells whether it is whole.
      if (this.#answer === undefined) {
        this.#broke("closed without an answer");
      }
    });
    this.#request.end(order.body);
  }

  /** Breaks the exchange off; nothing is heard of it any more. */
  cancel(): void {
    this.#over = true;
    clearTimeout(this.#connectTimer);
    this.#request.destroy();
  }

  /** Holds the answer back while its reader is slow. */
  pause(): void {
    this.#answer?.pause();
  }

  /** Lets the answer flow again. */
  resume(): void {
    this.#answer?.resume();
  }

  #connecting(socket: Socket): void {
    if (!socket.connecting) {
      this.#sent = true;
      return;
    }
    socket.setNoDelay(true);
    this.#connectTimer = setTimeout(() => {
      // Where this instance was late itself, the connection may be there, its
      // event not yet handled.
      setImmediate(() => this.#notConnected(socket));
    }, CONNECT_TIMEOUT_MS);
    socket.once("connect", () => {
      this.#sent = true;
      clearTimeout(this.#connectTimer);
    });
  }

  #notConnected(socket: Socket): void {
    if (socket.connecting) {
      this.#broke(NO_CONNECTION);
      this.#request.destroy();
    }
  }

  #answered(answer: IncomingMessage): void {
    if (this.#over) {
      answer.destroy();
      return;
    }
    this.#answer = answer;
    if (endsWithConnection(answer)) {
      // First, since the parser closes the connection when it ends.
      answer.socket.prependListener("end", () => this.#probeReset(answer));
    }
    this.#sink.head(answer);
    answer.on("data", (chunk: Buffer) => {
      if (!this.#over) {
        this.#sink.data(chunk);
      }
    });
    answer.on("end", () => this.#answerEnded(answer));
    answer.on("error", (error) => this.#broke(error.message));
    answer.on("close", () => this.#broke("answer cut off"));
  }

  /**
   * Finds out whether a connection that ended was reset. Where data and a reset
   * arrive together, the runtime tells of a plain end; the reset shows only on
   * the next use of the connection, here by a write of no bytes.
   */
  #probeReset(answer: IncomingMessage): void {
    this.#probing = true;
    answer.socket.write(NO_BYTES, (error) => {
      this.#probing = false;
      if (error !== undefined && error !== null) {
        this.#broke(`answer cut off: ${error.message}`);
      } else if (answer.readableEnded) {
        this.#answerEnded(answer);
      }
    });
  }

  #answerEnded(answer: IncomingMessage): void {
    if (this.#over || this.#probing) {
      return;
    }
    if (!answer.complete) {
      this.#broke("answer cut off");
      return;
    }
    this.#over = true;
    this.#sink.ended();
  }

  #broke(reason: string): void {
    if (this.#over) {
      return;
    }
    this.#over = true;
    clearTimeout(this.#connectTimer);
    this.#sink.broke({ sent: this.#sent, reason });
  }
}

/** Whether only the end of its connection tells where an answer ends. */
function endsWithConnection({ headers }: IncomingMessage): boolean {
  return headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
}
