/** Random draws for plans of the soak. */

import {
  type RandomSource,
  seededRandomSource,
} from "@chestnuthatch/core/random_source";

/** Sequence of random draws, which is the same for the same seed. */
export class Draw {
  readonly #random: RandomSource;

  /** @param seed Seed of the sequence. */
  constructor(seed: number) {
    this.#random = seededRandomSource(seed);
  }

  /**
   * Draws a whole number.
   *
   * @param min Lower bound, included.
   * @param below Upper bound, excluded.
   * @returns The number.
   */
  between(min: number, below: number): number {
    return Math.floor(min + (below - min) * this.#random.next());
  }

  /**
   * Draws a share.
   *
   * @returns A number from 0 to below 1.
   */
  share(): number {
    return this.#random.next();
  }

  /**
   * Draws a condition.
   *
   * @param share Probability that it holds, from 0 to 1.
   * @returns Whether it holds.
   */
  withProbability(share: number): boolean {
    return this.#random.next() < share;
  }

  /**
   * Draws an element of a list.
   *
   * @param all The list; not empty.
   * @returns One of its elements.
   */
  oneOf<T>(all: readonly T[]): T {
    return all[this.between(0, all.length)]!;
  }
}
