/**
 * Hashes of a prompt's leading blocks, by which the target with the longest
 * cached prefix is found.
 */

import createXxhash from "xxhash-wasm";

/** Tokens in one block of a prompt. */
export const BLOCK_TOKENS = 64;

/** Assumed average, since prompts are not tokenized here. */
const CHARACTERS_PER_TOKEN = 4;
const BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
/** Bound of the hashes that one ask carries. */
const MAX_HASHED_BLOCKS = 64;

// Every ask carries these hashes: 40 bits take eight characters at most, and a
// collision only leads to a worse choice of target.
const HASH_BITS = 40;
const HASH_RADIX = 36;

const xxhash = await createXxhash();

/**
 * Hashes the leading whole blocks of a prompt. Each hash covers all the text up
 * to the end of its block, so equal hashes mean equal prefixes.
 *
 * @param prompt Text of the prompt.
 * @returns One hash for each whole block, the first block first.
 */
export function blockHashesOf(prompt: string): string[] {
  const wholeBlocks = Math.floor(prompt.length / BLOCK_CHARACTERS);
  const hashes: string[] = [];
  let chainedHash = 0n;
  for (
    let block = 0;
    block < Math.min(wholeBlocks, MAX_HASHED_BLOCKS);
    block++
  ) {
    const start = block * BLOCK_CHARACTERS;
    const text = prompt.slice(start, start + BLOCK_CHARACTERS);
    chainedHash = xxhash.h64(text, chainedHash);
    hashes.push(encodeHash(chainedHash));
  }
  return hashes;
}

function encodeHash(hash: bigint): string {
  return BigInt.asUintN(HASH_BITS, hash).toString(HASH_RADIX);
}
