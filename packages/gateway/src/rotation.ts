/** Takes slices of a list in turn. */

/** The position of one rotation; each consumer needs its own. */
export class Rotation {
  #begin = 0;

  /**
   * @param all A list; it may change between turns.
   * @param count Length of the slice.
   * @returns The next slice; the whole list if it is no longer than that.
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
