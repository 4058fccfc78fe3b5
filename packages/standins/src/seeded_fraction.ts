/** Pseudorandom fractions that are a function of a seed and a text. */

import { seededRandomSource } from "@chestnuthatch/core/random_source";
import { hash32 } from "@chestnuthatch/core/text_hash";

/**
 * Computes a pseudorandom fraction that depends only on a seed and a text.
 *
 * @param seed Any integer.
 * @param text Identifies the thing that the fraction is drawn for.
 * @returns A number from 0 (inclusive) to 1 (exclusive).
 */
export function seededFraction(seed: number, text: string): number {
  return seededRandomSource((seed ^ hash32(text)) | 0).next();
}
