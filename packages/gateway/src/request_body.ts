/** Reads the body of a caller's request, up to a limit. */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/** Who hears how reading ended; one of them, once. */
export interface BodySink {
  /** @param body The whole body. */
  whole(body: Buffer): void;
  /** It is larger than allowed; what still comes is dropped. */
  tooLarge(): void;
  /** It was not whole within its time; what still comes is dropped. */
  tooSlow(): void;
  /** The caller broke off. */
  brokenOff(): void;
}

/** What a body may be, and who hears what became of it. */
export interface BodyOptions {
  readonly maxBytes: number;
  /** Time until it has to be whole. */
  readonly timeoutMs: number;
  readonly sink: BodySink;
}

/** One body on its way in. */
export class RequestBody {
  readonly #maxBytes: number;
  readonly #sink: BodySink;
  #chunks: Buffer[] = [];
  #bytes = 0;
  #over = false;
  readonly #timer: NodeJS.Timeout;

  /**
   * Begins to read.
   *
   * @param request The request, whose headers are read.
   * @param options What it may be, and who hears what became of it.
   */
  constructor(
    request: IncomingMessage,
    { maxBytes, timeoutMs, sink }: BodyOptions,
  ) {
    this.#maxBytes = maxBytes;
    this.#sink = sink;
    this.#timer = setTimeout(() => {
      this.#chunks = [];
      this.#end(() => sink.tooSlow());
    }, timeoutMs);
    request.on("data", (chunk: Buffer) => this.#read(chunk));
    request.on(
      "end",
      () => this.#end(() => sink.whole(Buffer.concat(this.#chunks))),
    );
    // The end of its connection is logged, with the reason.
    request.on("error", () => this.#end(() => sink.brokenOff()));
    request.on("close", () => this.#end(() => sink.brokenOff()));
  }

  #read(chunk: Buffer): void {
    if (this.#over) {
      return;
    }
    this.#bytes += chunk.length;
    this.#chunks.push(chunk);
    if (this.#bytes > this.#maxBytes) {
      this.#chunks = [];
      this.#end(() => this.#sink.tooLarge());
    }
  }

  #end(tell: () => void): void {
    if (!this.#over) {
      this.#over = true;
      clearTimeout(this.#timer);
      tell();
    }
  }
}
