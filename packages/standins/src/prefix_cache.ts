/** The prefix cache of an engine: prompt blocks, least recently used out first. */

/** Told of every change. */
export interface PrefixCacheListener {
  /** @param blockHash Fingerprint of the block now held. */
  stored(blockHash: string): void;
  /** @param blockHash Fingerprint of the block no longer held. */
  evicted(blockHash: string): void;
}

/** Holds the fingerprints of cached blocks, in the order of their last use. */
export class PrefixCache {
  readonly #capacityBlocks: number;
  readonly #listener: PrefixCacheListener;
  readonly #blocks = new Set<string>();

  /**
   * @param capacityBlocks Blocks held at most.
   * @param listener Told of every change.
   */
  constructor(capacityBlocks: number, listener: PrefixCacheListener) {
    this.#capacityBlocks = capacityBlocks;
    this.#listener = listener;
  }

  /** @returns Number of blocks held. */
  get size(): number {
    return this.#blocks.size;
  }

  /**
   * Counts how many leading blocks of a prompt are held.
   *
   * @param blockHashes Fingerprints, first block first.
   * @returns Number of blocks up to the first that is missing.
   */
  leadingBlocks(blockHashes: readonly string[]): number {
    const missing = blockHashes.findIndex((hash) => !this.#blocks.has(hash));
    return missing === -1 ? blockHashes.length : missing;
  }

  /**
   * Holds a prompt's blocks, as the most recently used.
   *
   * @param blockHashes Fingerprints, first block first.
   */
  store(blockHashes: readonly string[]): void {
    const held = blockHashes.slice(0, this.#capacityBlocks);
    // Later blocks are of no use without earlier ones, so they must go first.
    for (const hash of held.reverse()) {
      const isNew = !this.#blocks.delete(hash);
      this.#blocks.add(hash);
      if (isNew) {
        this.#listener.stored(hash);
      }
    }
    this.#evict();
  }

  /** Forgets everything without telling, as when the process dies. */
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
