/** `chestnuthatch settings diff`: compares versions or files. */

import { diffTrees } from "@chestnuthatch/settings/tree_diff";
import type { SettingsTree } from "@chestnuthatch/settings/tree_schema";
import type { Command } from "commander";
import { err, ok, type Result } from "neverthrow";
import type { CommandFailure, CommandResult } from "./command_result.ts";
import type {
  CommandRunner,
  CommandServices,
  OutputOptions,
} from "./command_runner.ts";
import { withPlatform } from "./platform_connection.ts";
import { readTextFile } from "./read_file.ts";
import { differenceLines } from "./settings_change.ts";
import { SettingsStore } from "./settings_store.ts";
import { parseTree } from "./settings_text.ts";
import {
  examples,
  jsonOption,
  platformOption,
  type PlatformOptions,
} from "./shared_options.ts";

type DiffOptions = PlatformOptions & OutputOptions;

/** A version number or file path on each side of a comparison. */
interface Sides {
  readonly before: string;
  readonly after: string;
}

type ReadSide = (
  side: string,
) => Promise<Result<SettingsTree, CommandFailure>>;

const VERSION_PATTERN = /^[1-9]\d*$/;

/**
 * Adds the command `settings diff`.
 *
 * @param parent The command group `settings`.
 * @param runner Runs the action and prints its result.
 */
export function addSettingsDiffCommand(
  parent: Command,
  runner: CommandRunner,
): void {
  parent.command("diff")
    .description("Lists what differs between two versions or files.")
    .argument("<before>", "a version's number, or a file")
    .argument("<after>", "a version's number, or a file")
    .addOption(platformOption())
    .addOption(jsonOption())
    .addHelpText(
      "after",
      examples("settings diff 3 4", "settings diff 4 settings.yaml"),
    )
    .action((before: string, after: string, options: DiffOptions) =>
      runner.perform(
        options,
        () => diff(runner.services, { before, after }, options),
      )
    );
}

function diff(
  services: CommandServices,
  sides: Sides,
  options: DiffOptions,
): Promise<CommandResult> {
  const isVersion = (side: string) => VERSION_PATTERN.test(side);
  if (!isVersion(sides.before) && !isVersion(sides.after)) {
    return compare(sides, readFileTree);
  }
  return withPlatform(options, (platform) => {
    const store = new SettingsStore(platform, services.sleep);
    return compare(
      sides,
      (side) =>
        isVersion(side) ? readVersionTree(store, side) : readFileTree(side),
    );
  });
}

async function compare(
  sides: Sides,
  readSide: ReadSide,
): Promise<CommandResult> {
  const before = await readSide(sides.before);
  if (before.isErr()) {
    return err(before.error);
  }
  const after = await readSide(sides.after);
  if (after.isErr()) {
    return err(after.error);
  }
  const differences = diffTrees(before.value, after.value);
  const lines = differenceLines(differences);
  const count = lines.length === 1
    ? "1 difference"
    : `${lines.length} differences`;
  const title = `${count} from ${sides.before} to ${sides.after}` +
    (lines.length === 0 ? "." : ":");
  return ok({
    text: [title, ...lines].join("\n"),
    json: { ...sides, differences },
  });
}

function readFileTree(
  path: string,
): Promise<Result<SettingsTree, CommandFailure>> {
  const tree = readTextFile(path).andThen((content) =>
    parseTree(content, path)
  );
  return Promise.resolve(tree);
}

async function readVersionTree(
  store: SettingsStore,
  side: string,
): Promise<Result<SettingsTree, CommandFailure>> {
  const read = await store.readVersion(Number(side));
  return read.andThen(({ value }) =>
    parseTree(value.content, `Version ${value.version}`)
  );
}
