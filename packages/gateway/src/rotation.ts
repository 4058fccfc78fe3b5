/** Round-robin selection of slices of a list. */

/** Position of a round robin over a list; each consumer needs its own. */
export class Rotation {
  #begin = 0;

  /**
   * Selects the next slice of a list, starting over at its end.
   *
   * @param all The list; it may change between calls.
   * @param count Length of the slice.
   * @returns The next `count` entries; the whole list if it has no more.
   */
  next<T>(all: readonly T[], count: number): T[] {
    if (all.length <= count) {
      return [...all];
    }
    const begin = this.#begin % all.length;
    this.#begin = begin + count;
    return [...all, ...all].slice(begin, begin + count);
  }
}
