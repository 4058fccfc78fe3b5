import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  createRequestMemory,
  type MemoryReservation,
} from "./answer_memory.ts";
import { RequestBodyReader } from "./request_body_reader.ts";

const MB = 1024 * 1024;
const BODY_BYTES = 4 * MB;
const CALLERS = 40;

/** Lets streams pass on what was written. */
function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

// Guards against an instance whose memory grows with the number of its callers,
// until the requests of all of them end with it.
test("bodies of requests together take a limited amount of memory", async () => {
  const memory = createRequestMemory();
  const ends: string[] = [];
  const kept: MemoryReservation[] = [];
  const requests = Array.from({ length: CALLERS }, () => {
    const request = new PassThrough();
    new RequestBodyReader(request as unknown as IncomingMessage, {
      maxBytes: BODY_BYTES,
      memory,
      timeoutMs: 60_000,
      sink: {
        complete: (body, reservation) => {
          ends.push(`complete ${body.length}`);
          kept.push(reservation);
        },
        memoryExceeded: () => ends.push("memory exceeded"),
        tooLarge: () => ends.push("too large"),
        tooSlow: () => ends.push("too slow"),
        aborted: () => ends.push("aborted"),
      },
    });
    return request;
  });
  for (const request of requests.slice(0, 8)) {
    request.end(Buffer.alloc(BODY_BYTES));
  }
  await nextTurn();
  const completed = Array.from({ length: 8 }, () => `complete ${BODY_BYTES}`);
  assert.equal(ends, completed);
  for (const request of requests.slice(8)) {
    request.write(Buffer.alloc(BODY_BYTES));
    await nextTurn();
    assert.ok(memory.bytes <= 64 * MB, `${memory.bytes} bytes`);
  }
  const refusedCount = ends.filter((end) => end === "memory exceeded").length;
  assert.is(refusedCount, CALLERS - 16);
  assert.is(ends.length, 8 + refusedCount);
  requests.forEach((request) => request.destroy());
  await nextTurn();
  assert.is(memory.bytes, 8 * BODY_BYTES);
  kept.forEach((reservation) => reservation.release());
  assert.is(memory.bytes, 0);
});

test.run();
