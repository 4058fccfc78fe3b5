/** Waits for conditions, in place of fixed times. */

const MAX_ATTEMPTS = 1500;
const POLL_MS = 20;

/**
 * Calls a probe until it returns a result, at most 1500 times at intervals of
 * 20 ms. A probe that throws has no result.
 *
 * @param what Description of the condition, for the error message.
 * @param probe Returns the result, or `undefined` or `false` while there is
 * none.
 * @returns The result.
 * @throws {Error} If there was no result in time.
 */
export async function waitFor<T>(
  what: string,
  probe: () => Promise<T | undefined | false> | T | undefined | false,
): Promise<T> {
  let last: unknown;
  for (let tries = 0; tries < MAX_ATTEMPTS; tries++) {
    try {
      const result = await probe();
      if (result !== undefined && result !== false) {
        return result;
      }
      last = result;
    } catch (error) {
      last = error;
    }
    await pause(POLL_MS);
  }
  throw new Error(
    `timed out waiting for ${what}; last result: ${String(last)}`,
  );
}

/**
 * Waits until a time has passed, where the expiry of a deadline is the
 * condition.
 *
 * @param atMs The time, by `performance.now()`.
 */
export async function waitUntilPast(atMs: number): Promise<void> {
  while (performance.now() <= atMs) {
    await pause(POLL_MS);
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
