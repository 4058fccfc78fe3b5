import { test } from "uvu";
import * as assert from "uvu/assert";
import { requestSpecOf } from "./request_spec_of.ts";

const REQUEST = { workspace: "w", tier: "t", pool: "p", body: "bladé" };

test("should estimate tokens from bytes and keep the caller's own figure", () => {
  assert.is(requestSpecOf(REQUEST, "r1").promptTokens, 2);
  const stated = { ...REQUEST, promptTokens: 9 };
  assert.is(requestSpecOf(stated, "r1").promptTokens, 9);
});

test("should leave deadline, stream and order of fields out of the hash", () => {
  const { contentHash } = requestSpecOf(REQUEST, "r1");
  const { body, ...rest } = REQUEST;
  const same = { deadlineMs: 5, stream: true, body, ...rest };
  assert.is(requestSpecOf(same, "r2").contentHash, contentHash);
  const others = [{ body: "other" }, { tier: "u" }, { maxOutputTokens: 1 }];
  for (const other of others) {
    const spec = requestSpecOf({ ...REQUEST, ...other }, "r1");
    assert.is.not(spec.contentHash, contentHash);
  }
});

test.run();
