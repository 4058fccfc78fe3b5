/** Numbers that depend on nothing but a seed and a text. */

import { seededRandomSource } from "@chestnuthatch/core/random_source";
import { hash32 } from "@chestnuthatch/core/text_hash";

/**
 * Draws a number that depends on nothing but a seed and a text.
 *
 * @param seed Any whole number.
 * @param text What the number belongs to.
 * @returns A number from 0 up to, not including, 1.
 */
export function fractionOf(seed: number, text: string): number {
  return seededRandomSource((seed ^ hash32(text)) | 0).next();
}
