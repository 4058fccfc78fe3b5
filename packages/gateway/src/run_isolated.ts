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
