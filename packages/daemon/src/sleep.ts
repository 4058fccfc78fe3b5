/** An interface for delays, so that tests need not wait. */

import { NODE_TIMERS } from "./timers.ts";

/** Returns a promise that resolves after a delay in milliseconds. */
export type Sleep = (delayMs: number) => Promise<void>;

/**
 * Waits with a Node.js timer that does not keep the process alive.
 *
 * @param delayMs Delay in milliseconds.
 * @returns A promise that resolves after the delay.
 */
export function sleepByTimer(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    NODE_TIMERS.schedule(delayMs, resolve);
  });
}
