/** `chestnuthatch settings propose`: commits an edited settings file. */

import {
  ChangeOutcomeKind,
  NO_VERSION,
} from "@chestnuthatch/settings/settings_change";
import type { Command } from "commander";
import { err, ok } from "neverthrow";
import type { CommandResult } from "./command_result.ts";
import type {
  CommandRunner,
  CommandServices,
  OutputOptions,
} from "./command_runner.ts";
import { withPlatform } from "./platform_connection.ts";
import { readTextFile } from "./read_file.ts";
import {
  diffContents,
  differenceLines,
  proposeAndCommit,
  reportChange,
} from "./settings_change.ts";
import { SettingsStore } from "./settings_store.ts";
import { parseTree } from "./settings_text.ts";
import {
  authorOption,
  type AuthorOptions,
  examples,
  jsonOption,
  platformOption,
  type PlatformOptions,
  wholeNumber,
} from "./shared_options.ts";

interface ProposeOptions extends PlatformOptions, AuthorOptions, OutputOptions {
  readonly base: number;
  readonly note: string;
  readonly dryRun: boolean;
}

/** Validated content of a proposal, with the options of the command. */
interface Proposal {
  readonly content: string;
  readonly services: CommandServices;
  readonly options: ProposeOptions;
}

/**
 * Adds the command `settings propose`.
 *
 * @param parent The command group `settings`.
 * @param runner Runs the action and prints its result.
 */
export function addSettingsProposeCommand(
  parent: Command,
  runner: CommandRunner,
): void {
  parent.command("propose")
    .description("Puts an edited file in force, unless another was faster.")
    .argument("<file>", "YAML file of the whole settings")
    .requiredOption(
      "--base <n>",
      "the version that you edited; 0 for the first",
      wholeNumber(NO_VERSION),
    )
    .requiredOption("--note <text>", "why, for others to read")
    .addOption(authorOption())
    .option("--dry-run", "show what would change, and change nothing", false)
    .addOption(platformOption())
    .addOption(jsonOption())
    .addHelpText(
      "after",
      examples(
        "settings propose settings.yaml --base 3 --author neema --note 'Rainy weeks'",
        "settings propose settings.yaml --base 3 --author neema --note test --dry-run",
      ),
    )
    .action((file: string, options: ProposeOptions) =>
      runner.perform(options, () => propose(file, runner.services, options))
    );
}

async function propose(
  file: string,
  services: CommandServices,
  options: ProposeOptions,
): Promise<CommandResult> {
  const content = readTextFile(file)
    .andThen((text) => parseTree(text, file).map(() => text));
  if (content.isErr()) {
    return err(content.error);
  }
  const proposal = { content: content.value, services, options };
  return await withPlatform(
    options,
    (platform) =>
      proposeOnBase(new SettingsStore(platform, services.sleep), proposal),
  );
}

async function proposeOnBase(
  store: SettingsStore,
  { content, services, options }: Proposal,
): Promise<CommandResult> {
  const head = await store.readHead();
  if (head.isErr()) {
    return err(head.error);
  }
  const { row: headRow, version: currentVersion } = head.value;
  const { base: baseVersion, author, note } = options;
  if (currentVersion !== baseVersion) {
    const kind = ChangeOutcomeKind.LostRace;
    return await reportChange(store, { kind, baseVersion, currentVersion });
  }
  const differences = await diffFromBase(store, baseVersion, content);
  const lines = differenceLines(differences);
  if (options.dryRun) {
    return ok(dryRunReport(baseVersion, { lines, differences }));
  }
  const changeId = services.newId();
  const draft = { baseVersion, headRow, changeId, author, note, content };
  const end = await proposeAndCommit(store, draft);
  return end.isErr()
    ? err(end.error)
    : await reportChange(store, end.value, { lines, json: { differences } });
}

async function diffFromBase(
  store: SettingsStore,
  baseVersion: number,
  content: string,
) {
  const base = baseVersion === NO_VERSION
    ? undefined
    : (await store.readVersion(baseVersion)).unwrapOr(undefined);
  return diffContents(base?.value.content, content);
}

function dryRunReport(
  baseVersion: number,
  found: { readonly lines: string[]; readonly differences: unknown[] },
) {
  const text = [
    `Differences from version ${baseVersion}: ${found.lines.length}`,
    ...found.lines,
    "Nothing was changed.",
  ].join("\n");
  return {
    text,
    json: { dryRun: true, baseVersion, differences: found.differences },
  };
}
