/** Splits a byte stream into lines of JSON, however the bytes are cut. */

import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";

/** Why a stream of lines cannot be read on. */
export enum NdjsonFault {
  LineTooLong = "line too long",
  BadText = "line is not UTF-8",
  BadJson = "line is not JSON",
}

const LINE_FEED = 0x0a;

/** Reads lines incrementally; holds one unfinished line at most. */
export class NdjsonReader {
  readonly #maxLineBytes: number;
  readonly #decoder = new TextDecoder("utf-8", { fatal: true });
  #pieces: Buffer[] = [];
  #heldBytes = 0;

  /** @param maxLineBytes Bound on one line. */
  constructor(maxLineBytes: number) {
    this.#maxLineBytes = maxLineBytes;
  }

  /**
   * Takes the next bytes.
   *
   * @param chunk The bytes.
   * @param onValue Called with the value of each finished line, in order.
   * @returns Nothing, or why reading has to stop.
   */
  push(
    chunk: Buffer,
    onValue: (value: unknown) => void,
  ): Result<void, NdjsonFault> {
    let from = 0;
    let to = chunk.indexOf(LINE_FEED);
    while (to >= 0) {
      const line = this.#finishLine(chunk.subarray(from, to), onValue);
      if (line.isErr()) {
        return line;
      }
      from = to + 1;
      to = chunk.indexOf(LINE_FEED, from);
    }
    return this.#hold(chunk.subarray(from));
  }

  /**
   * Ends the stream; a last line may lack its line feed.
   *
   * @param onValue Called with that line's value.
   * @returns Nothing, or why the last line cannot be read.
   */
  end(onValue: (value: unknown) => void): Result<void, NdjsonFault> {
    return this.#finishLine(Buffer.alloc(0), onValue);
  }

  #hold(piece: Buffer): Result<void, NdjsonFault> {
    if (piece.length === 0) {
      return ok();
    }
    this.#heldBytes += piece.length;
    if (this.#heldBytes > this.#maxLineBytes) {
      return err(NdjsonFault.LineTooLong);
    }
    this.#pieces.push(piece);
    return ok();
  }

  #finishLine(
    piece: Buffer,
    onValue: (value: unknown) => void,
  ): Result<void, NdjsonFault> {
    const held = this.#hold(piece);
    if (held.isErr()) {
      return held;
    }
    const line = Buffer.concat(this.#pieces);
    this.#pieces = [];
    this.#heldBytes = 0;
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
      return err(NdjsonFault.BadText);
    }
    if (text.trim() === "") {
      return ok(undefined);
    }
    return parseJson(text).mapErr(() => NdjsonFault.BadJson);
  }
}

/**
 * Parses JSON without throwing.
 *
 * @param text The text.
 * @returns The value, or nothing of use when it is not JSON.
 */
export function parseJson(text: string): Result<unknown, undefined> {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch {
    return err(undefined);
  }
}
