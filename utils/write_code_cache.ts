/**
 * Writes the code cache of a bundled program: runs it for a moment, so that what
 * a start needs is compiled. Arguments are the program's path, then its own.
 */

import { writeFileSync } from "node:fs";
import { resolve } from "node:path";
import process from "node:process";
import { codeCachePath, ProgramFile } from "./program_file.ts";

/** Time by which an instance has started. */
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
