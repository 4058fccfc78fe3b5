/** `chestnuthatch settings revert`: commits an earlier content again. */

import { revertTo } from "@chestnuthatch/settings/settings_change";
import type { Command } from "commander";
import { err, ok } from "neverthrow";
import type { CommandResult } from "./command_result.ts";
import type {
  CommandRunner,
  CommandServices,
  OutputOptions,
} from "./command_runner.ts";
import { withPlatform } from "./platform_connection.ts";
import {
  changeEndFromFault,
  commitChange,
  diffContents,
  differenceLines,
  reportChange,
} from "./settings_change.ts";
import { SettingsStore } from "./settings_store.ts";
import {
  authorOption,
  type AuthorOptions,
  examples,
  jsonOption,
  platformOption,
  type PlatformOptions,
  wholeNumber,
} from "./shared_options.ts";

type RevertOptions = PlatformOptions & AuthorOptions & OutputOptions;

/**
 * Adds the command `settings revert`.
 *
 * @param parent The command group `settings`.
 * @param runner Runs the action and prints its result.
 */
export function addSettingsRevertCommand(
  parent: Command,
  runner: CommandRunner,
): void {
  parent.command("revert")
    .description("Puts an earlier content in force again, as a new version.")
    .argument("<version>", "the version to go back to", wholeNumber(1))
    .addOption(authorOption())
    .addOption(platformOption())
    .addOption(jsonOption())
    .addHelpText("after", examples("settings revert 3 --author neema"))
    .action((version: number, options: RevertOptions) =>
      runner.perform(options, () => revert(version, runner.services, options))
    );
}

function revert(
  version: number,
  services: CommandServices,
  options: RevertOptions,
): Promise<CommandResult> {
  return withPlatform(options, async (platform) => {
    const store = new SettingsStore(platform, services.sleep);
    const current = await store.readCurrent();
    if (current.isErr()) {
      return err(current.error);
    }
    const earlier = await store.readVersion(version);
    if (earlier.isErr()) {
      return err(earlier.error);
    }
    const { headRow, value } = current.value;
    if (earlier.value.value.contentHash === value.contentHash) {
      return ok(nothingToRevert(version, value.version));
    }
    const change = revertTo(earlier.value.row, {
      headRow,
      changeId: services.newId(),
      author: options.author,
    });
    const end = change.isErr()
      ? changeEndFromFault(change.error)
      : await commitChange(store, change.value);
    if (end.isErr()) {
      return err(end.error);
    }
    const { content } = earlier.value.value;
    const differences = diffContents(value.content, content);
    const lines = differenceLines(differences);
    return await reportChange(store, end.value, {
      lines,
      json: { differences },
    });
  });
}

function nothingToRevert(version: number, currentVersion: number) {
  return {
    text: `Version ${currentVersion}, in force now, already has the content ` +
      `of version ${version}; nothing was changed.`,
    json: { version: currentVersion, changed: false },
  };
}
