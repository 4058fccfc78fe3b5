/** Reads the body of a caller's request, up to a limit. */

import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { AnswerMemory, MemoryReservation } from "./answer_memory.ts";
import { BodyCollector } from "./body_collector.ts";

/** Receives the result of reading a body: exactly one call of one method. */
export interface BodySink {
  /**
   * @param body The whole body.
   * @param memory Memory of the body; the receiver releases it.
   */
  complete(body: Buffer, memory: MemoryReservation): void;
  /** The body exceeds the size limit; the rest of it is discarded. */
  tooLarge(): void;
  /** All bodies together take too much memory; the rest of it is discarded. */
  memoryExceeded(): void;
  /** The body was not complete in time; the rest of it is discarded. */
  tooSlow(): void;
  /** The caller aborted the request. */
  aborted(): void;
}

/** Limits of a body, and the receiver of the result. */
export interface RequestBodyOptions {
  readonly maxBytes: number;
  /** Memory of all bodies. */
  readonly memory: AnswerMemory;
  /** Time from now until the body has to be complete. */
  readonly timeoutMs: number;
  readonly sink: BodySink;
}

/** Buffers the body of one request. */
export class RequestBodyReader {
  readonly #maxBytes: number;
  readonly #sink: BodySink;
  readonly #memory: MemoryReservation;
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
    { maxBytes, memory, timeoutMs, sink }: RequestBodyOptions,
  ) {
    this.#maxBytes = maxBytes;
    this.#sink = sink;
    this.#memory = memory.reserve(() =>
      this.#drop(() => sink.memoryExceeded())
    );
    this.#timer = setTimeout(
      () => this.#drop(() => sink.tooSlow()),
      timeoutMs,
    );
    request.on("data", (chunk: Buffer) => this.#read(chunk));
    request.on("end", () => this.#end(() => this.#complete()));
    // The connection logs the error when it ends.
    request.on("error", () => this.#drop(() => sink.aborted()));
    request.on("close", () => this.#drop(() => sink.aborted()));
  }

  #read(chunk: Buffer): void {
    if (this.#isDone) {
      return;
    }
    this.#body.push(chunk);
    if (this.#body.byteLength > this.#maxBytes) {
      this.#drop(() => this.#sink.tooLarge());
    } else {
      this.#memory.resize(this.#body.byteLength);
    }
  }

  #complete(): void {
    const { bytes } = this.#body;
    this.#body.clear();
    this.#memory.keep();
    this.#sink.complete(bytes, this.#memory);
  }

  #drop(report: () => void): void {
    this.#end(() => {
      this.#body.clear();
      this.#memory.release();
      report();
    });
  }

  #end(report: () => void): void {
    if (!this.#isDone) {
      this.#isDone = true;
      clearTimeout(this.#timer);
      report();
    }
  }
}
