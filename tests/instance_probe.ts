/**
 * Module that is loaded into an instance's process before its program. It
 * prints each request on the standard output as soon as its head is read. The
 * soak thus distinguishes a request that was read and lost from one that was
 * still on its way when the connection closed.
 *
 * It also limits the rate at which accepted connections take answers. The
 * kernel's buffers on the loopback take some 3 MB at once, of 4 MB most waits.
 * Without a limit, no plain answer would therefore wait in the process, as it
 * does on links with small windows.
 */

import { Buffer } from "node:buffer";
import { subscribe } from "node:diagnostics_channel";
import type { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import process from "node:process";
import { WRITE_RATE_VARIABLE } from "./probe_variables.ts";

/** Callback of a write. */
type Done = (error?: Error | null) => void;
/** Internal method of the runtime's sockets that all writes go through. */
type WriteGeneric = (
  this: Socket,
  isVector: boolean,
  data: unknown,
  encoding: string,
  done: Done,
) => void;

/** Bytes that are handed to the kernel at once: one window of a narrow link. */
const CHUNK_BYTES = 16 * 1024;
const MS_PER_S = 1000;

const prototype = Socket.prototype as unknown as {
  _writeGeneric: WriteGeneric;
};
const writeWhole = prototype._writeGeneric;
const bytesPerS = Number(process.env[WRITE_RATE_VARIABLE] ?? Infinity);

subscribe("http.server.request.start", (message) => {
  const { request } = message as { request: IncomingMessage };
  const requestId = request.headers["x-request-id"];
  if (requestId !== undefined) {
    process.stdout.write(`${JSON.stringify({ read: true, requestId })}\n`);
  }
});

prototype._writeGeneric = function (isVector, data, encoding, done) {
  const isAccepted = (this as { server?: unknown }).server !== undefined;
  if (!isAccepted || !Number.isFinite(bytesPerS)) {
    writeWhole.call(this, isVector, data, encoding, done);
    return;
  }
  const bytes = toBytes(isVector, data, encoding);
  writeInChunks(this, bytes, { done, chunkBytes: CHUNK_BYTES });
};

/**
 * Writes bytes in chunks at the limited rate. A late timer makes the next chunk
 * larger, so that the rate stays the same.
 */
function writeInChunks(
  socket: Socket,
  bytes: Buffer,
  { done, chunkBytes }: { done: Done; chunkBytes: number },
): void {
  const chunk = bytes.subarray(0, chunkBytes);
  const rest = bytes.subarray(chunkBytes);
  const beganAtMs = performance.now();
  writeWhole.call(socket, false, chunk, "buffer", (error) => {
    if (error || rest.length === 0) {
      done(error);
      return;
    }
    setTimeout(() => {
      const spentMs = performance.now() - beganAtMs;
      const passed = Math.round(spentMs / MS_PER_S * bytesPerS);
      writeInChunks(socket, rest, { done, chunkBytes: passed });
    }, CHUNK_BYTES / bytesPerS * MS_PER_S);
  });
}

function toBytes(isVector: boolean, data: unknown, encoding: string): Buffer {
  if (!isVector) {
    return toBuffer(data as Buffer | string, encoding);
  }
  const parts = data as { chunk: Buffer | string; encoding: string }[];
  return Buffer.concat(
    parts.map((part) => toBuffer(part.chunk, part.encoding)),
  );
}

function toBuffer(data: Buffer | string, encoding: string): Buffer {
  return typeof data === "string"
    ? Buffer.from(data, encoding as BufferEncoding)
    : data;
}
