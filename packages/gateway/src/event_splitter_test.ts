import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventSplitter } from "./event_splitter.ts";

const STREAM = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\nda";

function idsOf(chunks: readonly string[]): (number | undefined)[] {
  const splitter = new EventSplitter();
  return chunks.flatMap((chunk) => splitter.push(Buffer.from(chunk)))
    .map(({ id }) => id);
}

test("events are complete, however the stream is chunked", () => {
  for (let size = 1; size <= STREAM.length; size++) {
    const chunks = [];
    for (let at = 0; at < STREAM.length; at += size) {
      chunks.push(STREAM.slice(at, at + size));
    }
    assert.equal(idsOf(chunks), [1, 2, undefined], `chunks of ${size}`);
  }
});

test("no byte is changed, and an incomplete event is buffered", () => {
  const splitter = new EventSplitter();
  const events = splitter.push(Buffer.from(STREAM));
  const text = events.map(({ bytes }) => bytes.toString()).join("");
  assert.is(text + splitter.remainder.toString(), STREAM);
  assert.is(splitter.remainder.toString(), "id: 4\nda");
});

// Guards against time that grows with the square of the bytes of an event: pieces
// are joined now and then, and lose nothing.
test("an event that arrives in many small pieces is complete", () => {
  const text = `id: 7\ndata: ${"a".repeat(1000)}\n\n`;
  const splitter = new EventSplitter();
  const events = [...text].flatMap((letter, index) => {
    assert.is(splitter.pendingBytes, index);
    return splitter.push(Buffer.from(letter));
  });
  assert.equal(events.map(({ id, bytes }) => [id, bytes.toString()]), [
    [7, text],
  ]);
  assert.is(splitter.pendingBytes, 0);
});

test("a stream is inside an event until the event's empty line", () => {
  const insideAfter = (text: string): boolean => {
    const splitter = new EventSplitter();
    splitter.push(Buffer.from(text));
    return splitter.isInsideEvent;
  };
  assert.equal(
    {
      start: insideAfter(""),
      half: insideAfter("id: 1\nda"),
      "all but the empty line": insideAfter("id: 1\ndata: a\n"),
      whole: insideAfter("id: 1\ndata: a\n\n"),
      "whole, with CRLF": insideAfter("id: 1\r\ndata: a\r\n\r\n"),
      "more empty lines": insideAfter("id: 1\ndata: a\n\n\r\n\n"),
      "next event": insideAfter("id: 1\ndata: a\n\n\ni"),
    },
    {
      start: false,
      half: true,
      "all but the empty line": true,
      whole: false,
      "whole, with CRLF": false,
      "more empty lines": false,
      "next event": true,
    },
  );
});

test.run();
