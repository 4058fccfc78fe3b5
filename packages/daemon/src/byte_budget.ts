/** A bound on bytes kept by many at a time. */
export class ByteBudget {
  readonly #maxBytes: number;
  #takenBytes = 0;

  /** @param maxBytes Most bytes taken at a time. */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Bytes taken now. */
  get takenBytes(): number {
    return this.#takenBytes;
  }

  /**
   * @param bytes How many are wanted.
   * @returns Whether they were there to take.
   */
  take(bytes: number): boolean {
    if (this.#takenBytes + bytes > this.#maxBytes) {
      return false;
    }
    this.#takenBytes += bytes;
    return true;
  }

  /** @param bytes How many are given back. */
  giveBack(bytes: number): void {
    this.#takenBytes -= bytes;
  }
}
