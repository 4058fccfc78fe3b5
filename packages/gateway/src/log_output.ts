/** Batched, non-blocking output of log lines. */

import { Buffer } from "node:buffer";
import process from "node:process";

/**
 * Maximum time for which lines are buffered. A request has about four lines;
 * written one by one, they would take as many system calls as its answer.
 */
const MAX_BATCH_DELAY_MS = 50;

/** Buffered size at which a batch is written without delay. */
const MAX_BATCH_BYTES = 16 * 1024;

/** Bound on unread bytes, beyond which `hasCapacity` lets lines be dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Buffers lines and writes them in batches. */
export class LogOutput {
  readonly #stream: NodeJS.WritableStream;
  #lines: string[] = [];
  #batchBytes = 0;
  #timer?: NodeJS.Timeout;
  /** Whether the reader has closed the stream; lines are dropped then. */
  #isClosed = false;

  /** @param stream Stream to write to; standard output by default. */
  constructor(stream: NodeJS.WritableStream = process.stdout) {
    this.#stream = stream;
    // Each write to a closed pipe fails. The error has no place to be logged.
    stream.on("error", () => this.#isClosed = true);
  }

  /** Whether lines can be written, and the buffered bytes are below a bound. */
  get hasCapacity(): boolean {
    if (this.#isClosed) {
      return false;
    }
    const { writableLength = 0 } = this.#stream as { writableLength?: number };
    return this.#batchBytes + writableLength < MAX_BUFFERED_BYTES;
  }

  /** @param line A line without its line break. */
  write(line: string): void {
    this.#lines.push(line);
    this.#batchBytes += line.length + 1;
    if (this.#batchBytes >= MAX_BATCH_BYTES) {
      this.flush();
    } else {
      this.#timer ??= setTimeout(() => this.flush(), MAX_BATCH_DELAY_MS)
        .unref();
    }
  }

  /** Writes the buffered lines at once. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#lines.length > 0) {
      this.#stream.write(Buffer.from(`${this.#lines.join("\n")}\n`));
      this.#lines = [];
      this.#batchBytes = 0;
    }
  }
}
