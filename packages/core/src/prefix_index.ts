/** Which prompt prefixes a target probably has cached. */

import { LRUCache } from "lru-cache";
import { BLOCK_TOKENS } from "./block_hashes.ts";

/** Blocks remembered for one target, at 64 tokens each. */
const MAX_BLOCKS = 8192;

/** A bounded index of one target's cached prompt blocks. */
export class PrefixIndex {
  readonly #blocks = new LRUCache<string, true>({ max: MAX_BLOCKS });

  /** @param blockHashes Blocks that the target now holds or soon will. */
  store(blockHashes: readonly string[]): void {
    // The first block goes in last: it must be the last one to be dropped.
    for (let i = blockHashes.length - 1; i >= 0; i--) {
      this.#blocks.set(blockHashes[i], true);
    }
  }

  /** @param blockHash A block that the target no longer holds. */
  evict(blockHash: string): void {
    this.#blocks.delete(blockHash);
  }

  /**
   * Estimates how much of a prompt the target need not work again.
   *
   * @param blockHashes Fingerprints of the prompt's blocks, first block first.
   * @param promptTokens Length of the whole prompt.
   * @returns Tokens of the cached prefix; always less than the prompt.
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
