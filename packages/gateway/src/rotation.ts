/** Takes parts of a list in turn. */

/** One turn; what takes its parts at other times needs one of its own. */
export class Rotation {
  #begin = 0;

  /**
   * @param all A list; it may change between turns.
   * @param count How many are taken.
   * @returns Those whose turn it is; all of a list that is no longer.
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
