/** Index of the prompt prefixes that a target probably has cached. */

import { LRUCache } from "lru-cache";
import { BLOCK_TOKENS } from "./block_hashes.ts";

/** Blocks indexed for one target, of 64 tokens each. */
const MAX_BLOCKS_PER_TARGET = 8192;

/** A bounded index of one target's cached prompt blocks. */
export class PrefixIndex {
  readonly #blocks = new LRUCache<string, true>({ max: MAX_BLOCKS_PER_TARGET });

  /**
   * Adds blocks to the index.
   *
   * @param blockHashes Hashes of the blocks that the target has cached or is
   * about to cache, the first block of the prompt first.
   */
  store(blockHashes: readonly string[]): void {
    // The first block is inserted last, so that the LRU cache evicts it last.
    for (let i = blockHashes.length - 1; i >= 0; i--) {
      this.#blocks.set(blockHashes[i], true);
    }
  }

  /**
   * Removes a block from the index.
   *
   * @param blockHash Hash of a block that the target has evicted.
   */
  evict(blockHash: string): void {
    this.#blocks.delete(blockHash);
  }

  /**
   * Estimates the part of a prompt that the target has cached.
   *
   * @param blockHashes Hashes of the prompt's blocks, the first block first.
   * @param promptTokens Length of the whole prompt in tokens.
   * @returns Tokens of the cached prefix, at most one less than the prompt has.
   */
  cachedTokens(blockHashes: readonly string[], promptTokens: number): number {
    let blocks = 0;
    while (
      blocks < blockHashes.length && this.#blocks.has(blockHashes[blocks])
    ) {
      blocks += 1;
    }
    return Math.max(0, Math.min(blocks * BLOCK_TOKENS, promptTokens - 1));
  }
}
