/** Reads files that operators pass as arguments. */

import { readFileSync } from "node:fs";
import { ok, type Result } from "neverthrow";
import { badInput, type CommandFailure } from "./command_result.ts";

/**
 * Reads a text file.
 *
 * @param path Path of the file.
 * @returns Content of the file, or why it cannot be read.
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
