/** Runs the bundled program in the folder of this file, from its code cache. */

// First, so that signals are handled while the program is read and compiled.
import "@chestnuthatch/platform/early_signals";
import { dirname, join } from "node:path";
import process from "node:process";
import { ProgramFile } from "./program_file.ts";

const PROGRAM_FILE_NAME = "chestnuthatch-platform.cjs";

new ProgramFile(join(dirname(process.argv[1]!), PROGRAM_FILE_NAME)).run();
