import { test } from "uvu";
import * as assert from "uvu/assert";
import { endToEndHeaders } from "./end_to_end_headers.ts";

test("hop-by-hop headers are removed, other headers stay unchanged", () => {
  const raw = [
    "Host",
    "h.example",
    "Connection",
    "close, X-Mine",
    "x-mine",
    "1",
    "Keep-Alive",
    "timeout=5",
    "Transfer-Encoding",
    "chunked",
    "Content-Length",
    "5",
    "X-Other",
    "a",
    "X-Other",
    "b",
  ];
  assert.equal(endToEndHeaders(raw), [
    "Host",
    "h.example",
    "X-Other",
    "a",
    "X-Other",
    "b",
  ]);
});

test.run();
