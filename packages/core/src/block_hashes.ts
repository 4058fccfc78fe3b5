/**
 * Fingerprints of a prompt's leading blocks, for finding the target that has
 * the longest prefix cached.
 */

import createXxhash from "xxhash-wasm";

/** Tokens in one block. */
export const BLOCK_TOKENS = 64;

const CHARACTERS_PER_TOKEN = 4;
const BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
const MAX_BLOCKS = 64;

// Fingerprints travel with every ask: 40 bits take eight characters at most,
// and a chance match only costs a worse choice of target.
const FINGERPRINT_BITS = 40;
const FINGERPRINT_RADIX = 36;

const xxhash = await createXxhash();

/**
 * Fingerprints a prompt's leading whole blocks. Each covers all the text up to
 * its block's end, so equal fingerprints mean equal prefixes.
 *
 * @param prompt The prompt.
 * @returns One fingerprint for each whole block, first block first.
 */
export function blockHashesOf(prompt: string): string[] {
  const wholeBlocks = Math.floor(prompt.length / BLOCK_CHARACTERS);
  const hashes: string[] = [];
  let chain = 0n;
  for (let block = 0; block < Math.min(wholeBlocks, MAX_BLOCKS); block++) {
    const start = block * BLOCK_CHARACTERS;
    const text = prompt.slice(start, start + BLOCK_CHARACTERS);
    chain = xxhash.h64(text, chain);
    hashes.push(fingerprint(chain));
  }
  return hashes;
}

function fingerprint(hash: bigint): string {
  return BigInt.asUintN(FINGERPRINT_BITS, hash).toString(FINGERPRINT_RADIX);
}
