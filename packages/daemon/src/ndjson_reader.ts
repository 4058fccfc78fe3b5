/** Parser of newline-delimited JSON that arrives in arbitrary chunks. */

import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";

/** Reason why a stream cannot be parsed further. */
export enum NdjsonFault {
  LineTooLong = "line too long",
  InvalidUtf8 = "line is not UTF-8",
  InvalidJson = "line is not JSON",
}

const LINE_FEED = 0x0a;

/** Parses lines incrementally; buffers at most one incomplete line. */
export class NdjsonReader {
  readonly #maxLineBytes: number;
  readonly #decoder = new TextDecoder("utf-8", { fatal: true });
  #pendingChunks: Buffer[] = [];
  #pendingBytes = 0;

  /** @param maxLineBytes Maximum size of a line, without its line feed. */
  constructor(maxLineBytes: number) {
    this.#maxLineBytes = maxLineBytes;
  }

  /**
   * Parses the next bytes.
   *
   * @param chunk Bytes that follow those of earlier calls.
   * @param onValue Called with the value of each completed line, in order.
   * @returns The fault, if parsing must stop.
   */
  push(
    chunk: Buffer,
    onValue: (value: unknown) => void,
  ): Result<void, NdjsonFault> {
    let lineStart = 0;
    let lineEnd = chunk.indexOf(LINE_FEED);
    while (lineEnd >= 0) {
      const line = this.#completeLine(
        chunk.subarray(lineStart, lineEnd),
        onValue,
      );
      if (line.isErr()) {
        return line;
      }
      lineStart = lineEnd + 1;
      lineEnd = chunk.indexOf(LINE_FEED, lineStart);
    }
    return this.#appendPending(chunk.subarray(lineStart));
  }

  /**
   * Parses the last line, which may lack its line feed.
   *
   * @param onValue Called with the value of the last line, unless it is blank.
   * @returns The fault, if the last line cannot be parsed.
   */
  end(onValue: (value: unknown) => void): Result<void, NdjsonFault> {
    return this.#completeLine(Buffer.alloc(0), onValue);
  }

  #appendPending(chunk: Buffer): Result<void, NdjsonFault> {
    if (chunk.length === 0) {
      return ok();
    }
    this.#pendingBytes += chunk.length;
    if (this.#pendingBytes > this.#maxLineBytes) {
      return err(NdjsonFault.LineTooLong);
    }
    this.#pendingChunks.push(chunk);
    return ok();
  }

  #completeLine(
    chunk: Buffer,
    onValue: (value: unknown) => void,
  ): Result<void, NdjsonFault> {
    const appended = this.#appendPending(chunk);
    if (appended.isErr()) {
      return appended;
    }
    const line = Buffer.concat(this.#pendingChunks);
    this.#pendingChunks = [];
    this.#pendingBytes = 0;
    return this.#parse(line).map((value) => {
      if (value !== undefined) {
        onValue(value);
      }
    });
  }

  #parse(line: Buffer): Result<unknown, NdjsonFault> {
    let text: string;
    try {
      text = this.#decoder.decode(line);
    } catch {
      return err(NdjsonFault.InvalidUtf8);
    }
    if (text.trim() === "") {
      return ok(undefined);
    }
    return parseJson(text).mapErr(() => NdjsonFault.InvalidJson);
  }
}

/**
 * Parses JSON without throwing.
 *
 * @param text Text to parse.
 * @returns The value, or an error without content if the text is not JSON.
 */
export function parseJson(text: string): Result<unknown, undefined> {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch {
    return err(undefined);
  }
}
