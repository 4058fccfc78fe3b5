/**
 * Writes the code cache of a bundled program. Runs the program briefly first,
 * so that the functions that a start needs are compiled. The arguments are the
 * path of the program, then the program's own arguments.
 */

import { writeFileSync } from "node:fs";
import { resolve } from "node:path";
import process from "node:process";
import { codeCachePath, ProgramFile } from "./program_file.ts";

/** Time within which an instance has started. */
const STARTUP_WAIT_MS = 500;

const [node, , program, ...args] = process.argv;
const path = resolve(program!);
process.argv = [node!, path, ...args];
const file = new ProgramFile(path);
file.run();
setTimeout(() => {
  writeFileSync(codeCachePath(path), file.codeCache());
  process.exit(0);
}, STARTUP_WAIT_MS);
