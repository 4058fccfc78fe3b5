/** `chestnuthatch settings check`: lists all faults of a settings file. */

import type { Command } from "commander";
import type { CommandResult } from "./command_result.ts";
import type { CommandRunner, OutputOptions } from "./command_runner.ts";
import { readTextFile } from "./read_file.ts";
import { parseTree } from "./settings_text.ts";
import { examples, jsonOption } from "./shared_options.ts";

/**
 * Adds the command `settings check`.
 *
 * @param parent The command group `settings`.
 * @param runner Runs the action and prints its result.
 */
export function addSettingsCheckCommand(
  parent: Command,
  runner: CommandRunner,
): void {
  parent.command("check")
    .description("Checks a settings file and tells all its faults.")
    .argument("<file>", "YAML file of the settings")
    .addOption(jsonOption())
    .addHelpText("after", examples("settings check settings.yaml"))
    .action((file: string, options: OutputOptions) =>
      runner.perform(options, () => checkFile(file))
    );
}

function checkFile(file: string): CommandResult {
  return readTextFile(file)
    .andThen((content) => parseTree(content, file))
    .map((tree) => {
      const counts = {
        workspaces: Object.keys(tree.workspaces).length,
        tiers: Object.keys(tree.tiers).length,
        pools: Object.keys(tree.pools).length,
        targets: Object.keys(tree.targets).length,
      };
      const words = Object.entries(counts)
        .map(([name, count]) => `${count} ${name}`);
      return {
        text: `${file} has no faults: ${words.join(", ")}.`,
        json: { file, faults: [], ...counts },
      };
    });
}
