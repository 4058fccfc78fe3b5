/** A byte limit shared by many holders of buffers. */

/** Counts reserved bytes and refuses reservations above a maximum. */
export class ByteBudget {
  readonly #maxBytes: number;
  #reservedBytes = 0;

  /** @param maxBytes Maximum of bytes reserved at a time. */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Bytes that are currently reserved. */
  get reservedBytes(): number {
    return this.#reservedBytes;
  }

  /**
   * Reserves bytes if the maximum allows it.
   *
   * @param bytes Number of bytes to reserve.
   * @returns Whether the bytes were reserved.
   */
  tryReserve(bytes: number): boolean {
    if (this.#reservedBytes + bytes > this.#maxBytes) {
      return false;
    }
    this.#reservedBytes += bytes;
    return true;
  }

  /**
   * Releases bytes that were reserved.
   *
   * @param bytes Number of bytes to release.
   */
  release(bytes: number): void {
    this.#reservedBytes -= bytes;
  }
}
