import { test } from "uvu";
import * as assert from "uvu/assert";
import { BLOCK_TOKENS, blockHashesOf } from "./block_hashes.ts";

const BLOCK = "x".repeat(BLOCK_TOKENS * 4);

test("should hash whole blocks only, at most 64", () => {
  assert.is(blockHashesOf(BLOCK.slice(1)).length, 0);
  assert.is(blockHashesOf(`${BLOCK}tail`).length, 1);
  assert.is(blockHashesOf(BLOCK.repeat(70)).length, 64);
});

test("should return equal hashes for equal prefixes only", () => {
  const first = blockHashesOf(BLOCK + BLOCK + "a".repeat(256));
  const second = blockHashesOf(BLOCK + BLOCK + "b".repeat(256));
  const shifted = blockHashesOf("a".repeat(256) + BLOCK);
  assert.equal(first.slice(0, 2), second.slice(0, 2));
  assert.is.not(first[2], second[2]);
  assert.is.not(
    first[0],
    first[1],
    "the same block at a later position differs",
  );
  assert.not.ok(first.includes(shifted[1]));
});

test.run();
