/** Seeded randomness and text hashing, so that stand-ins repeat themselves. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

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
  const generator = xoroshiro128plus(seed);
  return { next: () => uniformFloat64(generator) };
}

/**
 * Hashes a text (FNV-1a, 32 bits).
 *
 * @param text What to hash.
 * @returns A whole number that fits 32 bits unsigned.
 */
export function hashOf(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  return hash >>> 0;
}

/**
 * Draws a number that depends on nothing but a seed and a text.
 *
 * @param seed Any whole number.
 * @param text What the number belongs to.
 * @returns A number from 0 up to, not including, 1.
 */
export function fractionOf(seed: number, text: string): number {
  return seededRandomness((seed ^ hashOf(text)) | 0).next();
}
