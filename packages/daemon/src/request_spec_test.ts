import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRequestSpec } from "./request_spec.ts";

const REQUEST = { workspace: "w", tier: "t", pool: "p", body: "bladé" };

test("should estimate prompt tokens from bytes unless the caller states them", () => {
  assert.is(createRequestSpec(REQUEST, "r1").promptTokens, 2);
  const stated = { ...REQUEST, promptTokens: 9 };
  assert.is(createRequestSpec(stated, "r1").promptTokens, 9);
});

test("should exclude deadline, stream and order of fields from the hash", () => {
  const { contentHash } = createRequestSpec(REQUEST, "r1");
  const { body, ...rest } = REQUEST;
  const same = { deadlineMs: 5, stream: true, body, ...rest };
  assert.is(createRequestSpec(same, "r2").contentHash, contentHash);
  const others = [{ body: "other" }, { tier: "u" }, { maxOutputTokens: 1 }];
  for (const other of others) {
    const spec = createRequestSpec({ ...REQUEST, ...other }, "r1");
    assert.is.not(spec.contentHash, contentHash);
  }
});

test.run();
