/** Writes the answer to one request of a caller. */

import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  ERROR_ANSWERS,
  type RoutedError,
} from "@chestnuthatch/routing/routed_error";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { isUnframed } from "./relay_server.ts";
import { BODILESS_STATUSES } from "./target_exchange.ts";

const MS_PER_S = 1000;

const RETRY_AFTER_DECIMALS = 3;
const HTTP_1_0 = "1.0";
const CLOSE_HEADER = ["Connection", "close"];

/**
 * Timeout for reading the rest of a refused request: twice the time of 4 MB
 * over a link of 70 Mbit/s. A caller that stalls must not keep its connection
 * open or delay the exit of the process.
 */
const READ_REST_TIMEOUT_MS = 1000;

/** Characters that Node.js does not accept in a reason phrase. */
const INVALID_PHRASE_CHARACTER = /[^\t\x20-\x7e\x80-\xff]/;

/** Facts of an error, sent to the caller in the JSON body under these names. */
export interface ErrorFacts {
  readonly requestId: string;
  /** Time after which to retry, in ms; absent where a retry is of no use. */
  readonly retryAfterMs?: number;
}

/** Handling of the connection of one answer. */
export interface ReplyOptions {
  /**
   * Called right before the head of the answer is sent.
   *
   * @returns Whether it is sent with `Connection: close`.
   */
  closesConnection(): boolean;
  /**
   * Called right before an answer is sent that only the end of the caller's
   * connection delimits.
   *
   * @returns False if the connection cannot end after this answer.
   */
  beforeUnframed(): boolean;
  /** Called right before a begun answer is aborted. */
  beforeAbort(): void;
}

/** Sends one answer: whole, as a stream of events, or as an error. */
export class CallerReply {
  readonly #response: ServerResponse;
  readonly #options: ReplyOptions;
  #hasBegun = false;

  /**
   * @param response Response stream of the request.
   * @param options Handling of the connection.
   */
  constructor(response: ServerResponse, options: ReplyOptions) {
    this.#response = response;
    this.#options = options;
    response.sendDate = false;
  }

  /** Whether a part of an answer was sent to the caller. */
  get hasBegun(): boolean {
    return this.#hasBegun;
  }

  /**
   * Sends a whole answer of a target. If the target delimited it by the end of
   * its connection, which may also be that of a target that stopped, it is sent
   * in the same way: a length would state that it is complete.
   *
   * @param answer Status and headers from the target.
   * @param body The whole body from the target.
   */
  sendWhole(answer: IncomingMessage, body: Buffer): void {
    const status = answer.statusCode!;
    const headers = this.#headers(answer.rawHeaders);
    if (this.#response.req.method === "HEAD") {
      const length = answer.headers["content-length"];
      headers.push(...(length === undefined ? [] : ["Content-Length", length]));
    } else if (!BODILESS_STATUSES.has(status)) {
      headers.push(...this.#framingOf(answer, body));
    }
    this.#response.writeHead(status, reasonPhraseOf(answer), headers);
    this.#hasBegun = true;
    this.#response.end(body);
  }

  /** Returns the headers that delimit the body of a whole answer. */
  #framingOf(answer: IncomingMessage, body: Buffer): string[] {
    if (!isUnframed(answer) || !this.#options.beforeUnframed()) {
      return ["Content-Length", String(body.length)];
    }
    this.#response.useChunkedEncodingByDefault = false;
    return this.#options.closesConnection() ? [] : CLOSE_HEADER;
  }

  /**
   * Sends the status and headers of a target's stream.
   *
   * @param answer Status and headers from the target.
   */
  beginStream(answer: IncomingMessage): void {
    const headers = this.#headers(answer.rawHeaders);
    if (this.#understandsChunks()) {
      headers.push("Transfer-Encoding", "chunked");
    }
    this.#response.writeHead(
      answer.statusCode!,
      reasonPhraseOf(answer),
      headers,
    );
    this.#hasBegun = true;
  }

  /**
   * Sends events of a stream that has begun.
   *
   * @param bytes Complete events.
   * @returns False if they were buffered because the caller reads slowly; the
   * response emits `drain` once the buffer is empty.
   */
  writeEvents(bytes: Buffer): boolean {
    return this.#response.write(bytes);
  }

  /** Ends a complete stream. */
  endStream(): void {
    this.#response.end();
  }

  /** Closes the connection, so that the answer is not taken for complete. */
  abort(): void {
    this.#hasBegun = true;
    this.#options.beforeAbort();
    // Node.js buffers what is written until the end of the current tick, and
    // would discard it.
    this.#response.socket?.uncork();
    if (!this.#understandsChunks()) {
      // A regular close would complete an answer that has no other end.
      this.#response.socket?.resetAndDestroy();
    }
    this.#response.destroy();
  }

  /**
   * Sends an error answer.
   *
   * @param error Kind of the error.
   * @param facts Further facts for the answer's body and headers.
   */
  sendError(error: RoutedError, facts: ErrorFacts): void {
    this.#hasBegun = true;
    const { status, ran, text } = ERROR_ANSWERS[error];
    const body = JSON.stringify({ error, ran, text, ...facts });
    const headers = ["Content-Type", "application/json"];
    if (facts.retryAfterMs !== undefined) {
      const seconds = facts.retryAfterMs / MS_PER_S;
      headers.push("Retry-After", seconds.toFixed(RETRY_AFTER_DECIMALS));
    }
    headers.push("Content-Length", String(Buffer.byteLength(body)));
    this.#response.writeHead(status, [...headers, ...this.#closeHeader()]);
    if (this.#response.req.complete) {
      this.#response.end(body);
    } else {
      this.#response.write(body);
      this.#endOnceRequestRead();
    }
  }

  /**
   * Ends the response once the rest of the request is read. The answer is sent
   * by now and complete by its length. If the connection closed with bytes
   * unread, it would be reset, and a caller that is still sending would lose
   * the answer.
   */
  #endOnceRequestRead(): void {
    const { req } = this.#response;
    const end = () => {
      clearTimeout(timer);
      this.#response.end();
    };
    const timer = setTimeout(end, READ_REST_TIMEOUT_MS);
    req.once("end", end);
    req.once("close", () => clearTimeout(timer));
  }

  /** Whether the caller understands chunks, which HTTP/1.0 does not have. */
  #understandsChunks(): boolean {
    return this.#response.req.httpVersion !== HTTP_1_0;
  }

  #headers(rawHeaders: readonly string[]): string[] {
    return [...endToEndHeaders(rawHeaders), ...this.#closeHeader()];
  }

  #closeHeader(): string[] {
    return this.#options.closesConnection() ? CLOSE_HEADER : [];
  }
}

/** Returns the target's reason phrase, or an empty one if it is not valid. */
function reasonPhraseOf({ statusMessage = "" }: IncomingMessage): string {
  return INVALID_PHRASE_CHARACTER.test(statusMessage) ? "" : statusMessage;
}
