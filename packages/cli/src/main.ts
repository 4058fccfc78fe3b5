/** Entry point of the binary `chestnuthatch`. */

import process from "node:process";
import { runCommandLine } from "./command_line.ts";
import { processServices } from "./command_runner.ts";

process.exitCode = await runCommandLine(
  process.argv.slice(2),
  processServices(),
);
