/** `chestnuthatch settings explain`: shows which level sets each value. */

import {
  describeExplained,
  explainPolicy,
} from "@chestnuthatch/settings/explain";
import { nearestName } from "@chestnuthatch/settings/nearest_name";
import type { PolicyScope } from "@chestnuthatch/settings/settings_types";
import type { SettingsTree } from "@chestnuthatch/settings/tree_schema";
import type { Command } from "commander";
import { err, ok, type Result } from "neverthrow";
import {
  badInput,
  type CommandFailure,
  type CommandResult,
} from "./command_result.ts";
import type {
  CommandRunner,
  CommandServices,
  OutputOptions,
} from "./command_runner.ts";
import { withPlatform } from "./platform_connection.ts";
import { readTextFile } from "./read_file.ts";
import { SettingsStore } from "./settings_store.ts";
import { parseTree } from "./settings_text.ts";
import {
  examples,
  jsonOption,
  platformOption,
  type PlatformOptions,
} from "./shared_options.ts";

interface ExplainOptions extends PolicyScope, PlatformOptions, OutputOptions {
  readonly file?: string;
}

const NAMES_BY_SCOPE_FIELD: Readonly<
  Record<keyof PolicyScope, (tree: SettingsTree) => string[]>
> = {
  region: (tree) => Object.keys(tree.regions),
  workspace: (tree) => Object.keys(tree.workspaces),
  tier: (tree) => Object.keys(tree.tiers),
};

/**
 * Adds the command `settings explain`.
 *
 * @param parent The command group `settings`.
 * @param runner Runs the action and prints its result.
 */
export function addSettingsExplainCommand(
  parent: Command,
  runner: CommandRunner,
): void {
  parent.command("explain")
    .description("Tells what holds for one combination, and where it is set.")
    .requiredOption("--region <name>", "region of the entry instance")
    .requiredOption("--workspace <name>", "workspace of the request")
    .requiredOption("--tier <name>", "tier of the request")
    .option("--file <file>", "explain this file, not the settings in force")
    .addOption(platformOption())
    .addOption(jsonOption())
    .addHelpText(
      "after",
      examples(
        "settings explain --region arusha --workspace arusha-clinics --tier urgent",
        "settings explain --region riga --workspace ogre --tier office --file settings.yaml",
      ),
    )
    .action((options: ExplainOptions) =>
      runner.perform(options, () => explain(runner.services, options))
    );
}

async function explain(
  services: CommandServices,
  options: ExplainOptions,
): Promise<CommandResult> {
  const { file } = options;
  if (file !== undefined) {
    return readTextFile(file)
      .andThen((content) => parseTree(content, file))
      .andThen((tree) => explainTree(tree, options));
  }
  return await withPlatform(options, async (platform) => {
    const store = new SettingsStore(platform, services.sleep);
    return (await store.readCurrent()).andThen(({ value }) =>
      parseTree(value.content, `Version ${value.version}`)
        .andThen((tree) => explainTree(tree, options))
    );
  });
}

function explainTree(tree: SettingsTree, options: PolicyScope): CommandResult {
  const { region, workspace, tier } = options;
  const scope = { region, workspace, tier };
  return checkNames(tree, scope).map(() => {
    const values = explainPolicy(tree, scope);
    return {
      text: values.map(describeExplained).join("\n"),
      json: { ...scope, values },
    };
  });
}

function checkNames(
  tree: SettingsTree,
  scope: PolicyScope,
): Result<void, CommandFailure> {
  const fields = Object.keys(NAMES_BY_SCOPE_FIELD) as (keyof PolicyScope)[];
  for (const field of fields) {
    const checked = checkName(
      NAMES_BY_SCOPE_FIELD[field](tree),
      field,
      scope[field],
    );
    if (checked.isErr()) {
      return err(checked.error);
    }
  }
  return ok();
}

function checkName(
  known: readonly string[],
  field: string,
  name: string,
): Result<void, CommandFailure> {
  if (known.includes(name)) {
    return ok();
  }
  const nearest = nearestName(name, known);
  const hint = nearest === undefined ? "" : ` Did you mean "${nearest}"?`;
  return badInput({
    message: `The settings name no ${field} "${name}".${hint}`,
    next: `Give --${field} one of: ${known.join(", ")}.`,
    detail: { field, name, known },
  });
}
