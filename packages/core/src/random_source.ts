/** Seeded random numbers, passed to the code that uses them. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { hash32 } from "./text_hash.ts";

/** A source of random numbers; sources of the same seed give the same ones. */
export interface RandomSource {
  /** @returns A number from 0 up to, not including, 1. */
  next(): number;
}

/**
 * Creates a source of random numbers.
 *
 * @param seed Any whole number.
 * @returns The source.
 */
export function seededRandomSource(seed: number): RandomSource {
  // Seeds that differ in few bits would give similar first numbers: hash them.
  const generator = xoroshiro128plus(hash32(`seed ${seed}`));
  return { next: () => uniformFloat64(generator) };
}
