/**
 * Encoding and decoding of the frames between entry instances.
 *
 * A frame consists of a length (4 bytes, big-endian, counting the bytes that
 * follow), the protocol version (1 byte) and a CBOR body. A frame without a
 * body is a keep-alive. Each frame can be decoded on its own, so a sender may
 * drop any frame or send it on another connection.
 */

import { Buffer } from "node:buffer";
import { Decoder, Encoder } from "cbor-x";
import { err, ok, type Result } from "neverthrow";
import type * as z from "zod";
import { fieldCodes } from "./field_codes.ts";
import { PEER_PROTOCOL_VERSION } from "./peer_messages.ts";
import { isPlainCbor } from "./plain_cbor.ts";

/** Size of the length field at the start of a frame, in bytes. */
export const FRAME_LENGTH_BYTES = 4;

/**
 * Largest frame, without its length field. It bounds the settings too, which
 * are sent in one frame.
 */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

const VERSION_BYTES = 1;
/** An empty buffer larger than this is released. */
const MAX_RETAINED_BUFFER_BYTES = 64 * 1024;

/** Reasons why bytes are rejected as a frame. The list is complete. */
export enum FrameFault {
  /** Larger than the limit for the next frame. */
  Oversized = "oversized",
  /** Not plain CBOR, or cut off by the end of the connection. */
  Malformed = "malformed",
  /** Plain CBOR that does not match the schema of the next message. */
  UnknownMessage = "unknown_message",
  /** Sent by a peer with another protocol version. */
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
 * @param message A peer message or a handshake message.
 * @returns The whole frame, or `Oversized` when it exceeds
 * {@link MAX_FRAME_BYTES}.
 */
export function encodeFrame(message: object): Result<Buffer, FrameFault> {
  const body = encoder.encode(message);
  if (VERSION_BYTES + body.length > MAX_FRAME_BYTES) {
    return err(FrameFault.Oversized);
  }
  return ok(buildFrame(body));
}

/**
 * Encodes a keep-alive: a frame without a body.
 *
 * @returns The whole frame.
 */
export function encodeKeepAlive(): Buffer {
  return buildFrame(Buffer.alloc(0));
}

function buildFrame(body: Uint8Array): Buffer {
  const headerBytes = FRAME_LENGTH_BYTES + VERSION_BYTES;
  const frame = Buffer.allocUnsafe(headerBytes + body.length);
  frame.writeUInt32BE(VERSION_BYTES + body.length);
  frame.writeUInt8(PEER_PROTOCOL_VERSION, FRAME_LENGTH_BYTES);
  frame.set(body, headerBytes);
  return frame;
}

/** Schema and size limit of the next frame to decode. */
export interface FrameExpectation<T> {
  /** Schema that the body must match. */
  readonly schema: z.ZodType<T>;
  /**
   * Largest frame accepted, without its length field;
   * {@link MAX_FRAME_BYTES} where absent.
   */
  readonly maxFrameBytes?: number;
}

/** Decodes a connection's byte stream, split in any way, into messages. */
export class FrameDecoder {
  #buffer = Buffer.alloc(0);
  #start = 0;
  #end = 0;
  #fault: FrameFault | null = null;

  /** @returns Number of bytes received but not decoded yet. */
  get bufferedBytes(): number {
    return this.#end - this.#start;
  }

  /**
   * Appends the next bytes of the connection to the buffer.
   *
   * @param chunk The bytes; they are copied.
   */
  push(chunk: Uint8Array): void {
    if (this.bufferedBytes === 0) this.#reset();
    if (this.#end + chunk.length > this.#buffer.length) this.#makeSpace(chunk);
    this.#buffer.set(chunk, this.#end);
    this.#end += chunk.length;
  }

  /**
   * Decodes the next message, skipping keep-alives. After a fault every call
   * returns that fault.
   *
   * @param expectation Schema and size limit of the next frame.
   * @returns The message, null until a whole frame is buffered, or the fault.
   */
  next<T>(expectation: FrameExpectation<T>): Result<T | null, FrameFault> {
    if (this.#fault) return err(this.#fault);
    const result = this.#decodeNext(expectation);
    if (result.isErr()) this.#fault = result.error;
    return result;
  }

  /**
   * Checks that the connection did not end inside a frame.
   *
   * @returns The earlier fault, `Malformed` for an incomplete frame, or null.
   */
  end(): Result<null, FrameFault> {
    if (this.#fault) return err(this.#fault);
    return this.bufferedBytes === 0 ? ok(null) : err(FrameFault.Malformed);
  }

  #decodeNext<T>(
    { schema, maxFrameBytes = MAX_FRAME_BYTES }: FrameExpectation<T>,
  ): Result<T | null, FrameFault> {
    while (this.bufferedBytes >= FRAME_LENGTH_BYTES) {
      const frameBytes = this.#buffer.readUInt32BE(this.#start);
      if (frameBytes > maxFrameBytes) return err(FrameFault.Oversized);
      if (frameBytes < VERSION_BYTES) return err(FrameFault.Malformed);
      const frameStart = this.#start + FRAME_LENGTH_BYTES;
      if (frameStart + frameBytes > this.#end) return ok(null);
      const frame = this.#buffer.subarray(frameStart, frameStart + frameBytes);
      this.#start = frameStart + frameBytes;
      const isKeepAlive = frameBytes === VERSION_BYTES;
      const decoded = decodeFrame(frame, schema);
      if (!isKeepAlive || decoded.isErr()) return decoded;
    }
    return ok(null);
  }

  #reset(): void {
    this.#start = 0;
    this.#end = 0;
    if (this.#buffer.length > MAX_RETAINED_BUFFER_BYTES) {
      this.#buffer = Buffer.alloc(0);
    }
  }

  #makeSpace(chunk: Uint8Array): void {
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
  return decodeBody(body).andThen((value) => validateMessage(value, schema));
}

function decodeBody(body: Buffer): Result<unknown, FrameFault> {
  try {
    return ok(decoder.decode(body));
  } catch {
    return err(FrameFault.Malformed);
  }
}

function validateMessage<T>(
  value: unknown,
  schema: z.ZodType<T>,
): Result<T, FrameFault> {
  const parsed = schema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(FrameFault.UnknownMessage);
}
