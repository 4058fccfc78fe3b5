/** Where log lines go: in batches, and never waiting for their reader. */

import { Buffer } from "node:buffer";
import process from "node:process";

/**
 * Time for which lines are gathered. A request has about four lines; written one
 * by one they cost as many system calls as its answer.
 */
const BATCH_MS = 50;

/** Gathered bytes that are written at once. */
const BATCH_BYTES = 16 * 1024;

/** Bytes that may wait for the reader before lines are left out. */
const MAX_WAITING_BYTES = 256 * 1024;

/** Gathers lines and writes them together. */
export class LogOutput {
  readonly #stream: NodeJS.WritableStream;
  #lines: string[] = [];
  #bytes = 0;
  #timer?: NodeJS.Timeout;

  /** @param stream Where the lines go; standard output where absent. */
  constructor(stream: NodeJS.WritableStream = process.stdout) {
    this.#stream = stream;
  }

  /** Whether the reader keeps up, so that more may be written. */
  get hasRoom(): boolean {
    const { writableLength = 0 } = this.#stream as { writableLength?: number };
    return this.#bytes + writableLength < MAX_WAITING_BYTES;
  }

  /** @param line A line, without its end. */
  write(line: string): void {
    this.#lines.push(line);
    this.#bytes += line.length + 1;
    if (this.#bytes >= BATCH_BYTES) {
      this.flush();
    } else {
      this.#timer ??= setTimeout(() => this.flush(), BATCH_MS).unref();
    }
  }

  /** Writes what was gathered. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#lines.length > 0) {
      this.#stream.write(Buffer.from(`${this.#lines.join("\n")}\n`));
      this.#lines = [];
      this.#bytes = 0;
    }
  }
}
