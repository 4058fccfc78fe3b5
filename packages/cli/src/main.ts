/** The binary `chestnuthatch`: the command line of operators and users. */

import { Command } from "commander";
import { addTryCommand } from "./try_command.ts";

const program = new Command("chestnuthatch")
  .description("Runs, asks and steers a chestnuthatch fleet.");
addTryCommand(program);
await program.parseAsync();
