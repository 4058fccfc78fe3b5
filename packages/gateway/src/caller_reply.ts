/** What goes back to one caller. */

import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  ERROR_ANSWERS,
  type RoutedError,
} from "@chestnuthatch/routing/routed_error";
import { endToEndHeaders } from "./end_to_end_headers.ts";

const MS_PER_S = 1000;

/** Status codes of answers that never have a body. */
const HAS_NO_BODY: ReadonlySet<number> = new Set([204, 304]);
const RETRY_AFTER_DIGITS = 3;

/**
 * Time that the rest of a refused request may take: twice that of 4 MB over a
 * link of 70 Mbit/s. A caller that stalls must not hold its connection, nor the
 * end of the process.
 */
const READ_REST_MS = 1000;

/** What the runtime sends in no status line. */
const NO_PHRASE = /[^\t\x20-\x7e\x80-\xff]/;

/** An error's facts for the caller. */
export interface ErrorFacts {
  readonly requestId: string;
  /** When to come back; absent where coming back is of no use. */
  readonly retryAfterMs?: number;
}

/** How one answer goes back. */
export interface ReplyOptions {
  /** Whether the connection is to close after the answer. */
  readonly closes: boolean;
  /** Called when a begun answer is about to be broken off. */
  beforeCut(): void;
}

/** Writes one answer. */
export class CallerReply {
  readonly #response: ServerResponse;
  readonly #options: ReplyOptions;
  #begun = false;

  /**
   * @param response Where to write.
   * @param options How the answer goes back.
   */
  constructor(response: ServerResponse, options: ReplyOptions) {
    this.#response = response;
    this.#options = options;
    response.sendDate = false;
  }

  /** Whether the caller has got a part of an answer. */
  get begun(): boolean {
    return this.#begun;
  }

  /**
   * Passes on a whole answer of a target.
   *
   * @param answer Its status and headers.
   * @param body Its whole body.
   */
  whole(answer: IncomingMessage, body: Buffer): void {
    const status = answer.statusCode!;
    const headers = this.#headers(answer.rawHeaders);
    if (this.#response.req.method === "HEAD") {
      const length = answer.headers["content-length"];
      headers.push(...(length === undefined ? [] : ["Content-Length", length]));
    } else if (!HAS_NO_BODY.has(status)) {
      headers.push("Content-Length", String(body.length));
    }
    this.#response.writeHead(status, phraseOf(answer), headers);
    this.#begun = true;
    this.#response.end(body);
  }

  /** @param answer Status and headers of a stream that begins. */
  begin(answer: IncomingMessage): void {
    const headers = this.#headers(answer.rawHeaders);
    headers.push("Transfer-Encoding", "chunked");
    this.#response.writeHead(answer.statusCode!, phraseOf(answer), headers);
    this.#begun = true;
  }

  /**
   * @param bytes Whole events of a stream.
   * @returns False where the caller reads too slowly; `drain` follows.
   */
  write(bytes: Buffer): boolean {
    return this.#response.write(bytes);
  }

  /** Ends a stream as whole. */
  end(): void {
    this.#response.end();
  }

  /** Breaks the answer off, so that it cannot pass for a whole one. */
  cut(): void {
    this.#begun = true;
    this.#options.beforeCut();
    this.#response.destroy();
  }

  /**
   * Answers with an error.
   *
   * @param error Its kind.
   * @param facts What the caller is told beside it.
   */
  fail(error: RoutedError, facts: ErrorFacts): void {
    this.#begun = true;
    const { status, ran, text } = ERROR_ANSWERS[error];
    const body = JSON.stringify({ error, ran, text, ...facts });
    const headers = ["Content-Type", "application/json"];
    if (facts.retryAfterMs !== undefined) {
      const seconds = facts.retryAfterMs / MS_PER_S;
      headers.push("Retry-After", seconds.toFixed(RETRY_AFTER_DIGITS));
    }
    headers.push("Content-Length", String(Buffer.byteLength(body)));
    this.#response.writeHead(status, [...headers, ...this.#closeHeader()]);
    if (this.#response.req.complete) {
      this.#response.end(body);
    } else {
      this.#response.write(body);
      this.#endOnceRead();
    }
  }

  /**
   * The answer is out, and whole by its length. Where it closes the connection,
   * that waits for the rest of the request: closed with bytes unread, the
   * connection is reset, and a caller that is still sending loses the answer.
   */
  #endOnceRead(): void {
    const { req } = this.#response;
    const end = () => {
      clearTimeout(timer);
      this.#response.end();
    };
    const timer = setTimeout(end, READ_REST_MS);
    req.once("end", end);
    req.once("close", () => clearTimeout(timer));
  }

  #headers(rawHeaders: readonly string[]): string[] {
    return [...endToEndHeaders(rawHeaders), ...this.#closeHeader()];
  }

  #closeHeader(): string[] {
    return this.#options.closes ? ["Connection", "close"] : [];
  }
}

/** The target's reason phrase, or none where it cannot be sent. */
function phraseOf({ statusMessage = "" }: IncomingMessage): string {
  return NO_PHRASE.test(statusMessage) ? "" : statusMessage;
}
