/**
 * Frames between entry instances.
 *
 * A frame is a length (4 bytes, big-endian, counting what follows), the
 * protocol version (1 byte) and a CBOR body. A frame without a body only says
 * that the sender is alive. Frames depend on no frame before them, so a sender
 * may drop any of them, or move them to another connection.
 */

import { Buffer } from "node:buffer";
import { Decoder, Encoder } from "cbor-x";
import { err, ok, type Result } from "neverthrow";
import type * as z from "zod";
import { fieldCodes } from "./field_codes.ts";
import { PEER_PROTOCOL_VERSION } from "./peer_messages.ts";
import { isPlainCbor } from "./plain_cbor.ts";

/** Bytes of the length at the head of a frame. */
export const FRAME_LENGTH_BYTES = 4;

/** The largest frame, without its length; settings travel in one frame. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

const VERSION_BYTES = 1;
const RETAINED_BUFFER_BYTES = 64 * 1024;

/** Why bytes were not accepted as a frame. The list is closed. */
export enum FrameFault {
  Oversized = "oversized",
  /** Not plain CBOR, or cut off by the end of the connection. */
  Malformed = "malformed",
  /** Plain CBOR that is none of the messages expected. */
  UnknownMessage = "unknown_message",
  WrongVersion = "wrong_version",
}

const encoder = new Encoder({
  useRecords: false,
  variableMapSize: true,
  keyMap: fieldCodes(),
});
const decoder = new Decoder({ useRecords: false, keyMap: fieldCodes() });

/**
 * Encodes one message as a frame.
 *
 * @param message A peer message or a message of the handshake.
 * @returns The whole frame, or `Oversized`.
 */
export function encodeFrame(message: object): Result<Buffer, FrameFault> {
  const body = encoder.encode(message);
  if (VERSION_BYTES + body.length > MAX_FRAME_BYTES) {
    return err(FrameFault.Oversized);
  }
  return ok(frameOf(body));
}

/**
 * Encodes the frame that only says that the sender is alive.
 *
 * @returns The whole frame.
 */
export function encodeKeepAlive(): Buffer {
  return frameOf(Buffer.alloc(0));
}

function frameOf(body: Uint8Array): Buffer {
  const headBytes = FRAME_LENGTH_BYTES + VERSION_BYTES;
  const frame = Buffer.allocUnsafe(headBytes + body.length);
  frame.writeUInt32BE(VERSION_BYTES + body.length);
  frame.writeUInt8(PEER_PROTOCOL_VERSION, FRAME_LENGTH_BYTES);
  frame.set(body, headBytes);
  return frame;
}

/** What the decoder should make of the next frame. */
export interface FrameExpectation<T> {
  readonly schema: z.ZodType<T>;
  /** Longest frame taken, without its length. */
  readonly maxFrameBytes?: number;
}

/** Takes a connection's bytes in any pieces and gives back its messages. */
export class FrameDecoder {
  #buffer = Buffer.alloc(0);
  #start = 0;
  #end = 0;
  #fault: FrameFault | null = null;

  /** @returns Bytes received that belong to no frame given back yet. */
  get bufferedBytes(): number {
    return this.#end - this.#start;
  }

  /**
   * Takes the next bytes of the connection.
   *
   * @param chunk The bytes; they are copied.
   */
  push(chunk: Uint8Array): void {
    if (this.bufferedBytes === 0) this.#reset();
    if (this.#end + chunk.length > this.#buffer.length) this.#grow(chunk);
    this.#buffer.set(chunk, this.#end);
    this.#end += chunk.length;
  }

  /**
   * Gives back the next message. After a fault every call gives that fault.
   *
   * @param expectation The schema and limit of the next frame.
   * @returns The message, null while no whole frame is here, or the fault.
   */
  next<T>(expectation: FrameExpectation<T>): Result<T | null, FrameFault> {
    if (this.#fault) return err(this.#fault);
    const result = this.#take(expectation);
    if (result.isErr()) this.#fault = result.error;
    return result;
  }

  /**
   * Tells that the connection has ended.
   *
   * @returns `Malformed` when it ended inside a frame.
   */
  end(): Result<null, FrameFault> {
    if (this.#fault) return err(this.#fault);
    return this.bufferedBytes === 0 ? ok(null) : err(FrameFault.Malformed);
  }

  #take<T>(
    { schema, maxFrameBytes = MAX_FRAME_BYTES }: FrameExpectation<T>,
  ): Result<T | null, FrameFault> {
    while (this.bufferedBytes >= FRAME_LENGTH_BYTES) {
      const frameBytes = this.#buffer.readUInt32BE(this.#start);
      if (frameBytes > maxFrameBytes) return err(FrameFault.Oversized);
      if (frameBytes < VERSION_BYTES) return err(FrameFault.Malformed);
      const bodyAt = this.#start + FRAME_LENGTH_BYTES;
      if (bodyAt + frameBytes > this.#end) return ok(null);
      const frame = this.#buffer.subarray(bodyAt, bodyAt + frameBytes);
      this.#start = bodyAt + frameBytes;
      const isKeepAlive = frameBytes === VERSION_BYTES;
      const decoded = decodeFrame(frame, schema);
      if (!isKeepAlive || decoded.isErr()) return decoded;
    }
    return ok(null);
  }

  #reset(): void {
    this.#start = 0;
    this.#end = 0;
    if (this.#buffer.length > RETAINED_BUFFER_BYTES) {
      this.#buffer = Buffer.alloc(0);
    }
  }

  #grow(chunk: Uint8Array): void {
    const neededBytes = this.bufferedBytes + chunk.length;
    const grown = neededBytes <= this.#buffer.length
      ? this.#buffer
      : Buffer.allocUnsafe(Math.max(2 * this.bufferedBytes, neededBytes));
    this.#buffer.copy(grown, 0, this.#start, this.#end);
    this.#end = this.bufferedBytes;
    this.#start = 0;
    this.#buffer = grown;
  }
}

function decodeFrame<T>(
  frame: Buffer,
  schema: z.ZodType<T>,
): Result<T | null, FrameFault> {
  if (frame[0] !== PEER_PROTOCOL_VERSION) return err(FrameFault.WrongVersion);
  const body = frame.subarray(VERSION_BYTES);
  if (body.length === 0) return ok(null);
  if (!isPlainCbor(body)) return err(FrameFault.Malformed);
  return decodeBody(body).andThen((value) => validate(value, schema));
}

function decodeBody(body: Buffer): Result<unknown, FrameFault> {
  try {
    return ok(decoder.decode(body));
  } catch {
    return err(FrameFault.Malformed);
  }
}

function validate<T>(
  value: unknown,
  schema: z.ZodType<T>,
): Result<T, FrameFault> {
  const parsed = schema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(FrameFault.UnknownMessage);
}
