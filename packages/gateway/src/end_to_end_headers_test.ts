import { test } from "uvu";
import * as assert from "uvu/assert";
import { endToEndHeaders } from "./end_to_end_headers.ts";

test("headers of one connection are left out, the others stay as they are", () => {
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
