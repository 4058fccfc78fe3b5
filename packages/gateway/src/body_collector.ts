/** Collects the pieces in which a body arrives. */

import { Buffer } from "node:buffer";

/** Pieces that are kept as they are, so that most bodies are copied once. */
const MAX_UNCOPIED_PIECES = 4;

const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 16 * 1024;

const NO_BYTES = Buffer.alloc(0);

/**
 * Keeps the bytes of a body. Each piece is an object of its own, which takes
 * some hundred bytes even if it holds one; from the fifth piece on, the bytes are
 * copied into blocks instead, each of them once.
 */
export class BodyCollector {
  #buffers: Buffer[] = [];
  #byteLength = 0;
  #pieceCount = 0;
  /** Last block, of which a part is used. */
  #block = NO_BYTES;
  #usedBytes = 0;

  /** Number of bytes that were added. */
  get byteLength(): number {
    return this.#byteLength;
  }

  /** Number of pieces that were added. */
  get pieceCount(): number {
    return this.#pieceCount;
  }

  /** Number of objects in which the bytes are kept. */
  get bufferCount(): number {
    return this.#buffers.length;
  }

  /** All bytes that were added. */
  get bytes(): Buffer {
    return Buffer.concat(this.#buffers, this.#byteLength);
  }

  /**
   * Adds a piece.
   *
   * @param piece The next bytes of the body.
   */
  push(piece: Buffer): void {
    this.#byteLength += piece.length;
    this.#pieceCount++;
    if (this.#pieceCount <= MAX_UNCOPIED_PIECES) {
      this.#buffers.push(piece);
    } else {
      this.#copy(piece);
    }
  }

  /** Drops all bytes. */
  clear(): void {
    this.#buffers = [];
    this.#byteLength = 0;
    this.#pieceCount = 0;
    this.#block = NO_BYTES;
    this.#usedBytes = 0;
  }

  #copy(piece: Buffer): void {
    const copiedBytes = piece.copy(this.#block, this.#usedBytes);
    this.#usedBytes += copiedBytes;
    const restBytes = piece.length - copiedBytes;
    if (restBytes > 0) {
      this.#addBlock(restBytes);
      this.#usedBytes = piece.copy(this.#block, 0, copiedBytes);
    }
  }

  /** Adds a block, smaller than the body so far unless it has to be larger. */
  #addBlock(minBytes: number): void {
    const growthBytes = Math.min(this.#byteLength, MAX_BLOCK_BYTES);
    const bytes = Math.max(minBytes, growthBytes, MIN_BLOCK_BYTES);
    this.#block = Buffer.allocUnsafeSlow(bytes);
    this.#buffers.push(this.#block);
  }
}
