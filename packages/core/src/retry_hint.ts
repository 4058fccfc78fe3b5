/** Retry hints that spread the returning load. */

import type { Turn } from "./controller.ts";

/**
 * Spreads a retry hint over one to two times its base.
 *
 * @param turn The turn, for its randomness.
 * @param baseMs Smallest hint, in milliseconds.
 * @returns The hint, in whole milliseconds.
 */
export function spreadRetryHint(turn: Turn, baseMs: number): number {
  return Math.round(baseMs * (1 + turn.random.next()));
}
