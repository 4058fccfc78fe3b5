/** Prefix cache of an engine; evicts the least recently used block first. */

/** Listener that is notified of blocks entering and leaving the cache. */
export interface PrefixCacheListener {
  /** @param blockHash Fingerprint of the block that was cached. */
  stored(blockHash: string): void;
  /** @param blockHash Fingerprint of the block that was evicted. */
  evicted(blockHash: string): void;
}

/** Fingerprints of cached prompt blocks, in the order of their last use. */
export class PrefixCache {
  readonly #capacityBlocks: number;
  readonly #listener: PrefixCacheListener;
  readonly #blocks = new Set<string>();

  /**
   * @param capacityBlocks Maximum number of cached blocks.
   * @param listener Notified of every cached and evicted block.
   */
  constructor(capacityBlocks: number, listener: PrefixCacheListener) {
    this.#capacityBlocks = capacityBlocks;
    this.#listener = listener;
  }

  /** @returns Number of cached blocks. */
  get size(): number {
    return this.#blocks.size;
  }

  /**
   * Counts the leading blocks of a prompt that are cached.
   *
   * @param blockHashes Fingerprints, first block first.
   * @returns Number of blocks before the first that is not cached.
   */
  countLeadingBlocks(blockHashes: readonly string[]): number {
    const firstMissingIndex = blockHashes.findIndex((hash) =>
      !this.#blocks.has(hash)
    );
    return firstMissingIndex === -1 ? blockHashes.length : firstMissingIndex;
  }

  /**
   * Caches a prompt's blocks as the most recently used. Blocks beyond the
   * capacity are not cached.
   *
   * @param blockHashes Fingerprints, first block first.
   */
  store(blockHashes: readonly string[]): void {
    const cachedHashes = blockHashes.slice(0, this.#capacityBlocks);
    // Later blocks are useless without earlier ones, so they are added first to
    // be evicted first.
    for (const hash of cachedHashes.reverse()) {
      const isNew = !this.#blocks.delete(hash);
      this.#blocks.add(hash);
      if (isNew) {
        this.#listener.stored(hash);
      }
    }
    this.#evict();
  }

  /** Discards all blocks without notifying the listener. */
  clear(): void {
    this.#blocks.clear();
  }

  #evict(): void {
    for (const hash of this.#blocks) {
      if (this.#blocks.size <= this.#capacityBlocks) {
        return;
      }
      this.#blocks.delete(hash);
      this.#listener.evicted(hash);
    }
  }
}
