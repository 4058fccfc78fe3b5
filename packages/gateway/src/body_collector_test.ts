import { Buffer } from "node:buffer";
import * as fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { BodyCollector } from "./body_collector.ts";
import { EventSplitter } from "./event_splitter.ts";

const SEED = 1;
const MB = 1024 * 1024;

// Guards against bytes that are lost or out of order where they are copied.
test("a body equals its pieces, however it is cut", () => {
  const pieceSizes = fc.oneof(fc.nat(8), fc.nat(3000), fc.nat(40_000));
  fc.assert(
    fc.property(fc.array(pieceSizes, { maxLength: 60 }), (sizes) => {
      const pieces = sizes.map((size, index) => Buffer.alloc(size, index + 1));
      const body = new BodyCollector();
      pieces.forEach((piece) => body.push(piece));
      assert.ok(body.bytes.equals(Buffer.concat(pieces)));
      assert.is(body.byteLength, body.bytes.length);
    }),
    { seed: SEED },
  );
});

// Guards against a body of small chunks that takes a hundred times its size.
test("a body in pieces of a byte is kept in few objects", () => {
  const body = new BodyCollector();
  const piece = Buffer.from("x");
  for (let i = 0; i < MB; i++) {
    body.push(piece);
  }
  assert.ok(body.bufferCount < 100, `${body.bufferCount} objects`);
  assert.ok(body.bytes.equals(Buffer.alloc(MB, "x")));
});

test("a cleared collector holds nothing, and can be used again", () => {
  const body = new BodyCollector();
  for (let i = 0; i < 10; i++) {
    body.push(Buffer.from("abc"));
  }
  body.clear();
  assert.is(body.bufferCount, 0);
  body.push(Buffer.from("de"));
  assert.is(body.bytes.toString(), "de");
});

// Guards against an event whose bytes are copied again and again while it grows.
test("an event in pieces of a byte is copied once", () => {
  const concat = Buffer.concat;
  let copiedBytes = 0;
  Buffer.concat = (...args) => {
    const joined = concat(...args);
    copiedBytes += joined.length;
    return joined;
  };
  try {
    const splitter = new EventSplitter();
    for (let i = 0; i < MB / 8; i++) {
      splitter.push(Buffer.from("x"));
    }
    const [event] = splitter.push(Buffer.from("\n\n"));
    assert.is(event!.bytes.length, MB / 8 + 2);
  } finally {
    Buffer.concat = concat;
  }
  assert.ok(copiedBytes < MB, `${copiedBytes} bytes copied`);
});

test.run();
