/** Collects errors that are reported as unhandled, for tests that cause some. */

import process from "node:process";

/**
 * Collects the unhandled errors of this process while a test runs.
 *
 * @param run The test; its argument fills with the errors' messages.
 */
export async function collectUnhandled(
  run: (messages: readonly string[]) => Promise<void>,
): Promise<void> {
  const messages: string[] = [];
  const collect = (error: Error) => messages.push(error.message);
  process.on("uncaughtException", collect);
  process.on("unhandledRejection", collect);
  try {
    await run(messages);
  } finally {
    process.removeListener("uncaughtException", collect);
    process.removeListener("unhandledRejection", collect);
  }
}
