/** Waiting, handed in so that tests need not wait. */

import { setTimeout as wait } from "node:timers/promises";

/** Waits for some milliseconds. */
export type Sleep = (delayMs: number) => Promise<void>;

/**
 * Waits by the runtime's timer, without keeping the process alive.
 *
 * @param delayMs How long.
 */
export async function sleepByTimer(delayMs: number): Promise<void> {
  await wait(delayMs, undefined, { ref: false });
}
