/** Seeded randomness, handed in. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { hash32 } from "./text_hash.ts";

/** A source of random numbers that repeats itself for the same seed. */
export interface Randomness {
  /** @returns A number from 0 up to, not including, 1. */
  next(): number;
}

/**
 * Makes a source of randomness.
 *
 * @param seed Any whole number.
 * @returns The source.
 */
export function seededRandomness(seed: number): Randomness {
  // Small seeds hardly differ in their bits, so the first numbers would not.
  const generator = xoroshiro128plus(hash32(`seed ${seed}`));
  return { next: () => uniformFloat64(generator) };
}
