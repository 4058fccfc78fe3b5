/** Isolation of independent steps: an error in one does not skip the others. */

/**
 * Runs a step. If it throws, its error is reported as unhandled and the caller
 * continues.
 *
 * @param step The step.
 */
export function runIsolated(step: () => void): void {
  try {
    step();
  } catch (error) {
    reportUnhandled(error);
  }
}

/**
 * Waits for a step. If it throws or is rejected, its error is reported as
 * unhandled and the caller continues.
 *
 * @param step The step.
 * @returns Result of the step; undefined if it failed.
 */
export async function awaitIsolated<T>(
  step: () => Promise<T>,
): Promise<T | undefined> {
  try {
    return await step();
  } catch (error) {
    reportUnhandled(error);
    return undefined;
  }
}

/**
 * Reports an error to the process's handler of uncaught exceptions, without
 * ending what the caller does. A process without a handler ends, as it does
 * with any other uncaught exception.
 *
 * @param error The error.
 */
export function reportUnhandled(error: unknown): void {
  queueMicrotask(() => {
    throw error;
  });
}
