/** `chestnuthatch settings show`: prints the content of a version. */

import type { Command } from "commander";
import type { CommandResult } from "./command_result.ts";
import type {
  CommandRunner,
  CommandServices,
  OutputOptions,
} from "./command_runner.ts";
import { withPlatform } from "./platform_connection.ts";
import { describeVersion } from "./settings_change.ts";
import { SettingsStore } from "./settings_store.ts";
import {
  examples,
  jsonOption,
  platformOption,
  type PlatformOptions,
  wholeNumber,
} from "./shared_options.ts";

interface ShowOptions extends PlatformOptions, OutputOptions {
  readonly version?: number;
}

/**
 * Adds the command `settings show`.
 *
 * @param parent The command group `settings`.
 * @param runner Runs the action and prints its result.
 */
export function addSettingsShowCommand(
  parent: Command,
  runner: CommandRunner,
): void {
  parent.command("show")
    .description(
      "Prints the settings in force, or those of an earlier version.",
    )
    .option("--version <n>", "the version to print", wholeNumber(1))
    .addOption(platformOption())
    .addOption(jsonOption())
    .addHelpText(
      "after",
      examples(
        "settings show > settings.yaml",
        "settings show --version 3 --json",
      ),
    )
    .action((options: ShowOptions) =>
      runner.perform(options, () => showSettings(runner.services, options))
    );
}

function showSettings(
  services: CommandServices,
  options: ShowOptions,
): Promise<CommandResult> {
  return withPlatform(options, async (platform) => {
    const store = new SettingsStore(platform, services.sleep);
    const read = options.version === undefined
      ? await store.readCurrent()
      : await store.readVersion(options.version);
    return read.map(({ value }) => {
      if (!options.json) {
        services.output.err(`${describeVersion(value)}\n`);
      }
      return { text: value.content, json: value };
    });
  });
}
