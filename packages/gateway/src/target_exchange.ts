/** One HTTP request to one target, with its answer as it arrives. */

import { Buffer } from "node:buffer";
import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request,
} from "node:http";
import type { Socket } from "node:net";
import { hostPortOf } from "./host_port.ts";
import { reportUnhandled, runIsolated } from "./run_isolated.ts";

/** The request to send, and the target's address. */
export interface ExchangeOptions {
  readonly agent: Agent;
  /** `ip:port`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Names and values, alternating. */
  readonly headers: string[];
  readonly body?: Buffer;
}

/** Receives the answer. Nothing follows on `ended` or `failed`. */
export interface ExchangeSink {
  /** The connection takes longer than usual; it may still succeed. */
  connectDelayed(): void;
  /** Status and headers were received. */
  head(answer: IncomingMessage): void;
  /** Bytes of the body were received. */
  data(chunk: Buffer): void;
  /** The answer is complete. */
  ended(): void;
  /** The answer is missing or incomplete. */
  failed(failure: ExchangeFailure): void;
}

/** Reason for a missing or incomplete answer. */
export interface ExchangeFailure {
  /** False if no byte of the request can have reached the target. */
  readonly isSent: boolean;
  readonly reason: string;
  /**
   * Set if Node.js rejected the request itself, which shows nothing about the
   * connection to the target.
   */
  readonly isInvalidRequest?: true;
}

/**
 * Timeout for a connection. Within a region it takes a few milliseconds, on a
 * slow instance some tens; a lost SYN packet is retransmitted only after a
 * second. A request that was not sent can go to another target in time for an
 * objective of 400 ms.
 */
const CONNECT_TIMEOUT_MS = 120;

/**
 * Time after which a connection takes longer than usual. Another way to the
 * target can be found in the rest of the timeout.
 */
const CONNECT_DELAY_MS = 40;

/** Interim responses that a target may send before its answer. */
const MAX_INTERIM_RESPONSES = 8;

/**
 * Bytes besides those of the body that an answer may have: its head, interim
 * responses and trailers, and what was received of the body but not read yet.
 */
const MAX_OVERHEAD_BYTES = 256 * 1024;

/** Overhead by byte of the body; it is 5 for chunks of one byte. */
const MAX_OVERHEAD_RATIO = 16;

/** Reason of an exchange whose connection timed out. */
export const CONNECT_TIMEOUT_REASON = "connect timeout";

/** Codes of the errors that Node.js throws for an invalid header or path. */
const INVALID_REQUEST_CODES: ReadonlySet<string | undefined> = new Set([
  "ERR_INVALID_CHAR",
  "ERR_INVALID_HTTP_TOKEN",
  "ERR_HTTP_INVALID_HEADER_VALUE",
  "ERR_UNESCAPED_CHARACTERS",
]);

/** The only transfer coding that a server may use for these requests. */
const CHUNKED = "chunked";

/** Lowest status of an answer; 101 is none, since no upgrade is requested. */
const MIN_ANSWER_STATUS = 200;

const NO_BYTES = Buffer.alloc(0);

const HEAD_METHOD = "HEAD";

/** Status codes of answers without a body, after which connections are kept. */
export const BODILESS_STATUSES: ReadonlySet<number | undefined> = new Set([
  204,
  304,
]);

/** Sends one request and reports its answer, or the failure, to a sink. */
export class TargetExchange {
  readonly #sink: ExchangeSink;
  /** Absent if the request could not be created. */
  readonly #request?: ClientRequest;
  #answer?: IncomingMessage;
  #interimResponses = 0;
  #receivedBytes = 0;
  #bodyBytes = 0;
  #isSent = false;
  #isDone = false;
  /** Whether the check for a reset at the connection's end is in progress. */
  #isProbingReset = false;
  #connectTimer?: NodeJS.Timeout;
  #delayTimer?: NodeJS.Timeout;

  /**
   * Sends a request.
   *
   * @param options The request, and the target's address.
   * @param sink Receiver of the answer.
   */
  constructor(options: ExchangeOptions, sink: ExchangeSink) {
    this.#sink = sink;
    try {
      this.#request = this.#open(options);
    } catch (error) {
      // Reported later, as any other failure, so that the caller of the
      // constructor has the exchange.
      setImmediate(() => this.#onNotCreated(error as NodeJS.ErrnoException));
    }
  }

  /** Creates the request; it is written once it has a connection. */
  #open(options: ExchangeOptions): ClientRequest {
    const { host, port } = hostPortOf(options.address);
    if (Number.isNaN(port)) {
      // Node.js would connect to the default port of HTTP.
      throw new RangeError(`address has no port: ${options.address}`);
    }
    const created = request({
      host,
      port,
      agent: options.agent,
      method: options.method,
      path: options.path,
      headers: options.headers as unknown as Record<string, string>,
      setHost: false,
    });
    created.on("socket", (socket) => this.#onSocket(socket));
    created.on("information", () => this.#onInterimResponse());
    created.on("response", (answer) => this.#onResponse(answer));
    created.on("error", (error) => {
      // Bytes after a whole answer are no part of it; its end is still to come.
      if (this.#answer?.complete !== true) {
        this.#fail(error.message);
      }
    });
    created.on("close", () => {
      // The end of a begun answer shows whether it is complete.
      if (this.#answer === undefined) {
        this.#fail("connection closed without an answer");
      }
    });
    created.end(options.body);
    return created;
  }

  /** Handles an invalid request, or an address that cannot be connected to. */
  #onNotCreated(error: NodeJS.ErrnoException): void {
    if (!this.#isDone) {
      this.#isDone = true;
      this.#sink.failed({
        isSent: false,
        reason: String(error),
        ...(INVALID_REQUEST_CODES.has(error.code)
          ? { isInvalidRequest: true as const }
          : undefined),
      });
    }
  }

  /** Whether a byte of the request may have reached the target. */
  get isSent(): boolean {
    return this.#isSent;
  }

  /** Aborts the exchange; the sink is not called any more. */
  cancel(): void {
    this.#isDone = true;
    this.#stopConnectTimers();
    this.#request?.destroy();
  }

  /** Stops reading the answer, while its receiver is slow. */
  pause(): void {
    this.#answer?.pause();
  }

  /** Continues to read the answer. */
  resume(): void {
    this.#answer?.resume();
  }

  #onSocket(socket: Socket): void {
    const onReceived = (bytes: Buffer) => this.#onReceived(bytes.length);
    socket.on("data", onReceived);
    // The connection may serve other exchanges.
    this.#request!.once("close", () => socket.off("data", onReceived));
    if (!socket.connecting) {
      this.#isSent = true;
      return;
    }
    socket.setNoDelay(true);
    this.#connectTimer = setTimeout(() => {
      // If this process was late, the connection may be established already;
      // its event is handled first.
      setImmediate(() => this.#onConnectTimeout(socket));
    }, CONNECT_TIMEOUT_MS);
    this.#delayTimer = setTimeout(() => {
      setImmediate(() => this.#onConnectDelayed(socket));
    }, CONNECT_DELAY_MS);
    socket.once("connect", () => {
      this.#isSent = true;
      this.#stopConnectTimers();
    });
  }

  #stopConnectTimers(): void {
    clearTimeout(this.#connectTimer);
    clearTimeout(this.#delayTimer);
  }

  #onConnectDelayed(socket: Socket): void {
    if (socket.connecting && !this.#isDone) {
      this.#sink.connectDelayed();
    }
  }

  #onConnectTimeout(socket: Socket): void {
    if (socket.connecting) {
      this.#fail(CONNECT_TIMEOUT_REASON);
      this.#request?.destroy();
    }
  }

  /** Called after the HTTP parser has handled the bytes. */
  #onReceived(bytes: number): void {
    this.#receivedBytes += bytes;
    const overheadBytes = this.#receivedBytes - this.#bodyBytes;
    const maxBytes = MAX_OVERHEAD_BYTES + MAX_OVERHEAD_RATIO * this.#bodyBytes;
    if (overheadBytes > maxBytes && !this.#isDone) {
      this.#fail("answer has too many bytes besides its body");
      this.#request!.destroy();
    }
  }

  #onInterimResponse(): void {
    this.#interimResponses++;
    if (this.#interimResponses > MAX_INTERIM_RESPONSES) {
      this.#fail("too many interim responses");
      this.#request?.destroy();
    }
  }

  #onResponse(answer: IncomingMessage): void {
    if (this.#isDone) {
      answer.destroy();
      return;
    }
    const fault = headFaultOf(answer);
    if (fault !== undefined) {
      this.#fail(fault);
      answer.destroy();
      return;
    }
    this.#answer = answer;
    const { socket } = answer;
    if (isDelimitedByClose(answer, this.#request!.method)) {
      // Prepended, since the HTTP parser closes the connection when it ends.
      socket.prependOnceListener(
        "end",
        () => this.#probeReset(answer, socket),
      );
    } else {
      this.#failIfEndedEarly(answer, socket);
    }
    this.#runSink(() => this.#sink.head(answer));
    answer.on("data", (chunk: Buffer) => {
      this.#bodyBytes += chunk.length;
      if (!this.#isDone) {
        this.#runSink(() => this.#sink.data(chunk));
      }
    });
    answer.on("end", () => this.#onAnswerEnded(answer));
    answer.on("error", (error) => this.#fail(error.message));
    answer.on("close", () => this.#fail("answer truncated"));
  }

  /**
   * Fails an answer with a length or chunks that ends with its connection. Node.js
   * removes white space from the name of a transfer coding, but its parser reads
   * an answer that has a tab after that name without chunks, up to the end of the
   * connection.
   */
  #failIfEndedEarly(answer: IncomingMessage, socket: Socket): void {
    const onEnd = () => {
      if (!answer.complete) {
        this.#fail("answer truncated");
      }
    };
    socket.prependListener("end", onEnd);
    // The connection may serve other exchanges.
    this.#request!.once("close", () => socket.off("end", onEnd));
  }

  /**
   * Checks whether a connection that ended was reset. If data and a reset
   * arrive together, Node.js reports a normal end; the reset shows only on the
   * next use of the connection, here a write of no bytes.
   */
  #probeReset(answer: IncomingMessage, socket: Socket): void {
    this.#isProbingReset = true;
    socket.write(NO_BYTES, (error) => {
      this.#isProbingReset = false;
      if (error !== undefined && error !== null) {
        this.#fail(`answer truncated: ${error.message}`);
      } else if (answer.readableEnded) {
        this.#onAnswerEnded(answer);
      }
    });
  }

  #onAnswerEnded(answer: IncomingMessage): void {
    if (this.#isDone || this.#isProbingReset) {
      return;
    }
    if (!answer.complete) {
      this.#fail("answer truncated");
      return;
    }
    this.#isDone = true;
    runIsolated(() => this.#sink.ended());
  }

  /** Passes a part of the answer on; an error ends the exchange as failed. */
  #runSink(step: () => void): void {
    try {
      step();
    } catch (error) {
      reportUnhandled(error);
      this.#fail(`answer could not be handled: ${String(error)}`);
      this.#request?.destroy();
    }
  }

  #fail(reason: string): void {
    if (this.#isDone) {
      return;
    }
    this.#isDone = true;
    this.#stopConnectTimers();
    runIsolated(() => this.#sink.failed({ isSent: this.#isSent, reason }));
  }
}

/**
 * Checks whether an answer has a body with neither a length nor chunks, so that
 * the end of the connection is what delimits it.
 *
 * @param answer Status and headers of the answer.
 * @param method Method of the request.
 * @returns Whether the answer is delimited by the end of its connection.
 */
export function isDelimitedByClose(
  { headers, statusCode }: IncomingMessage,
  method?: string,
): boolean {
  const hasBody = method !== HEAD_METHOD && !BODILESS_STATUSES.has(statusCode);
  return hasBody && headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
}

/**
 * Returns what makes an answer unusable although Node.js accepts its head. A
 * body in another coding than chunks would be forwarded without its coding.
 */
function headFaultOf(
  { statusCode, headers }: IncomingMessage,
): string | undefined {
  if (statusCode! < MIN_ANSWER_STATUS) {
    return `status ${statusCode} is no answer`;
  }
  const coding = headers["transfer-encoding"] ?? CHUNKED;
  return coding.toLowerCase() === CHUNKED
    ? undefined
    : `unsupported transfer coding ${coding}`;
}
