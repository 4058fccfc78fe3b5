/** `chestnuthatch settings history`: lists the versions, newest first. */

import type { Command } from "commander";
import type { CommandReport, CommandResult } from "./command_result.ts";
import type {
  CommandRunner,
  CommandServices,
  OutputOptions,
} from "./command_runner.ts";
import { withPlatform } from "./platform_connection.ts";
import { type HistoryEntry, SettingsStore } from "./settings_store.ts";
import {
  examples,
  jsonOption,
  platformOption,
  type PlatformOptions,
  wholeNumber,
} from "./shared_options.ts";
import { alignColumns } from "./text_table.ts";

interface HistoryOptions extends PlatformOptions, OutputOptions {
  readonly limit: number;
}

const DEFAULT_VERSIONS = 20;
const MAX_VERSIONS = 100;

/**
 * Adds the command `settings history`.
 *
 * @param parent The command group `settings`.
 * @param runner Runs the action and prints its result.
 */
export function addSettingsHistoryCommand(
  parent: Command,
  runner: CommandRunner,
): void {
  parent.command("history")
    .description("Lists the versions, newest first, with author and note.")
    .option(
      "--limit <n>",
      "how many at most",
      wholeNumber(1, MAX_VERSIONS),
      DEFAULT_VERSIONS,
    )
    .addOption(platformOption())
    .addOption(jsonOption())
    .addHelpText("after", examples("settings history --limit 5"))
    .action((options: HistoryOptions) =>
      runner.perform(options, () => listHistory(runner.services, options))
    );
}

function listHistory(
  services: CommandServices,
  options: HistoryOptions,
): Promise<CommandResult> {
  return withPlatform(options, async (platform) => {
    const store = new SettingsStore(platform, services.sleep);
    return (await store.readHistory(options.limit)).map(historyReport);
  });
}

function historyReport(entries: readonly HistoryEntry[]): CommandReport {
  const header = ["version", "author", "change", "note"];
  const rows = entries.map((entry) =>
    entry.match(
      ({ version, author, changeId, note }) => [
        String(version),
        author,
        changeId,
        note,
      ],
      ({ version, message }) => [String(version), "-", "-", message],
    )
  );
  const json = entries.map((entry) =>
    entry.match(
      ({ content: _, ...rest }) => rest,
      ({ version, message }) => ({ version, fault: message }),
    )
  );
  const text = entries.length === 0
    ? "The table holds no settings yet."
    : alignColumns([header, ...rows]).join("\n");
  return { text, json };
}
