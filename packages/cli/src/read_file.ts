/** Reads the files that operators name. */

import { readFileSync } from "node:fs";
import { ok, type Result } from "neverthrow";
import { badInput, type CommandFailure } from "./command_result.ts";

/**
 * Reads a text file.
 *
 * @param path Its path.
 * @returns Its text, or why it cannot be read.
 */
export function readTextFile(path: string): Result<string, CommandFailure> {
  try {
    return ok(readFileSync(path, "utf8"));
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    return badInput({
      message: `Cannot read ${path}: ${code ?? String(error)}.`,
      next: "Name a file that exists and that you may read.",
    });
  }
}
