/** Retry hints with jitter, so that callers do not all retry at once. */

import type { Turn } from "./controller.ts";

/**
 * Draws a retry delay between one and two times its base.
 *
 * @param turn The turn, for its source of random numbers.
 * @param baseMs Shortest delay, in milliseconds.
 * @returns The delay, in whole milliseconds.
 */
export function jitteredRetryAfterMs(turn: Turn, baseMs: number): number {
  return Math.round(baseMs * (1 + turn.random.next()));
}
