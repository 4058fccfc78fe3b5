/** Reads the body of a caller's request, up to a limit. */

import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { BodyCollector } from "./body_collector.ts";

/** Receives the result of reading a body: exactly one call of one method. */
export interface BodySink {
  /** @param body The whole body. */
  complete(body: Buffer): void;
  /** The body exceeds the size limit; the rest of it is discarded. */
  tooLarge(): void;
  /** The body was not complete in time; the rest of it is discarded. */
  tooSlow(): void;
  /** The caller aborted the request. */
  aborted(): void;
}

/** Limits of a body, and the receiver of the result. */
export interface RequestBodyOptions {
  readonly maxBytes: number;
  /** Time from now until the body has to be complete. */
  readonly timeoutMs: number;
  readonly sink: BodySink;
}

/** Buffers the body of one request. */
export class RequestBodyReader {
  readonly #maxBytes: number;
  readonly #sink: BodySink;
  readonly #body = new BodyCollector();
  #isDone = false;
  readonly #timer: NodeJS.Timeout;

  /**
   * Starts to read.
   *
   * @param request The request, whose headers were read already.
   * @param options Limits of the body, and the receiver of the result.
   */
  constructor(
    request: IncomingMessage,
    { maxBytes, timeoutMs, sink }: RequestBodyOptions,
  ) {
    this.#maxBytes = maxBytes;
    this.#sink = sink;
    this.#timer = setTimeout(() => {
      this.#body.clear();
      this.#end(() => sink.tooSlow());
    }, timeoutMs);
    request.on("data", (chunk: Buffer) => this.#read(chunk));
    request.on("end", () => this.#end(() => sink.complete(this.#takeBody())));
    // The connection logs the error when it ends.
    request.on("error", () => this.#end(() => sink.aborted()));
    request.on("close", () => this.#end(() => sink.aborted()));
  }

  #read(chunk: Buffer): void {
    if (this.#isDone) {
      return;
    }
    this.#body.push(chunk);
    if (this.#body.byteLength > this.#maxBytes) {
      this.#body.clear();
      this.#end(() => this.#sink.tooLarge());
    }
  }

  #takeBody(): Buffer {
    const { bytes } = this.#body;
    this.#body.clear();
    return bytes;
  }

  #end(report: () => void): void {
    if (!this.#isDone) {
      this.#isDone = true;
      clearTimeout(this.#timer);
      report();
    }
  }
}
