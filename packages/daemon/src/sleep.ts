/** Waiting, handed in so that tests need not wait. */

import { NODE_TIMERS } from "./timers.ts";

/** Waits for some milliseconds. */
export type Sleep = (delayMs: number) => Promise<void>;

/**
 * Waits by the runtime's timer, without keeping the process alive.
 *
 * @param delayMs How long.
 * @returns Nothing, once the time is over.
 */
export function sleepByTimer(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    NODE_TIMERS.after(delayMs, resolve);
  });
}
