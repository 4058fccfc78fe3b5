/** Reads the body of a caller's request, up to a limit. */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/** Who hears how reading ended; one of them, once. */
export interface BodySink {
  /** @param body The whole body. */
  whole(body: Buffer): void;
  /** It is larger than allowed; what still comes is dropped. */
  tooLarge(): void;
  /** The caller broke off. */
  brokenOff(): void;
}

/** One body on its way in. */
export class RequestBody {
  readonly #maxBytes: number;
  readonly #sink: BodySink;
  #chunks: Buffer[] = [];
  #bytes = 0;
  #over = false;

  /**
   * Begins to read.
   *
   * @param request The request, whose headers are read.
   * @param options The largest body, in bytes, and who hears how it ended.
   */
  constructor(
    request: IncomingMessage,
    { maxBytes, sink }: { maxBytes: number; sink: BodySink },
  ) {
    this.#maxBytes = maxBytes;
    this.#sink = sink;
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
      tell();
    }
  }
}
