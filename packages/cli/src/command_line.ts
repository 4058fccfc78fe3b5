/** Builds the command line from all commands and runs it. */

import { Command, CommanderError } from "commander";
import { CommandRunner, type CommandServices } from "./command_runner.ts";
import { addDrainCommand } from "./drain_command.ts";
import { ExitCode } from "./exit_code.ts";
import { addLoadCommand } from "./load_command.ts";
import { addOrderCommand } from "./order_command.ts";
import { addSendCommand } from "./send_command.ts";
import { addSettingsCheckCommand } from "./settings_check_command.ts";
import { addSettingsDiffCommand } from "./settings_diff_command.ts";
import { addSettingsExplainCommand } from "./settings_explain_command.ts";
import { addSettingsHistoryCommand } from "./settings_history_command.ts";
import { addSettingsProposeCommand } from "./settings_propose_command.ts";
import { addSettingsRevertCommand } from "./settings_revert_command.ts";
import { addSettingsShowCommand } from "./settings_show_command.ts";
import { addSettingsStatusCommand } from "./settings_status_command.ts";
import { addStatusCommand } from "./status_command.ts";
import { addTryCommand } from "./try_command.ts";
import { addTryRoutedCommand } from "./try_routed_command.ts";
import { addWhyCommand } from "./why_command.ts";

const EXIT_CODE_HELP = `
Exit codes: 0 done, 1 refused or failed, 2 bad input, 3 outcome unknown.`;

/**
 * Parses and runs one command line.
 *
 * @param args Arguments after the program's name.
 * @param services Output, timer and id source of the commands.
 * @returns Exit code for the process.
 */
export async function runCommandLine(
  args: readonly string[],
  services: CommandServices,
): Promise<ExitCode> {
  const runner = new CommandRunner(services);
  try {
    await buildProgram(runner).parseAsync([...args], { from: "user" });
  } catch (error) {
    if (!(error instanceof CommanderError)) {
      throw error;
    }
    return error.exitCode === 0 ? ExitCode.Done : ExitCode.BadInput;
  }
  return runner.exitCode;
}

function buildProgram(runner: CommandRunner): Command {
  const { output } = runner.services;
  const program = new Command("chestnuthatch")
    .description("Runs, asks and steers a chestnuthatch fleet.")
    .addHelpText("after", EXIT_CODE_HELP)
    .exitOverride()
    .configureOutput({
      writeOut: (text) => output.out(text),
      writeErr: (text) => output.err(text),
    })
    .showHelpAfterError("Next: add --help to see what is allowed.");
  addSettingsCommands(program, runner);
  addStatusCommand(program, runner);
  addWhyCommand(program, runner);
  addSendCommand(program, runner);
  addLoadCommand(program, runner);
  addDrainCommand(program, runner);
  addOrderCommand(program, runner);
  addTryCommand(program, runner);
  addTryRoutedCommand(program, runner);
  return program;
}

function addSettingsCommands(program: Command, runner: CommandRunner): void {
  const group = program.command("settings")
    .description("Checks, shows, explains and changes the settings.");
  addSettingsCheckCommand(group, runner);
  addSettingsShowCommand(group, runner);
  addSettingsExplainCommand(group, runner);
  addSettingsProposeCommand(group, runner);
  addSettingsDiffCommand(group, runner);
  addSettingsHistoryCommand(group, runner);
  addSettingsRevertCommand(group, runner);
  addSettingsStatusCommand(group, runner);
}
