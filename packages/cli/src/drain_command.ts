/** `chestnuthatch drain`: lets a target or an instance finish its work. */

import { ChangeOutcomeKind } from "@chestnuthatch/settings/settings_change";
import type { SettingsFault } from "@chestnuthatch/settings/settings_fault";
import type { SettingsTree } from "@chestnuthatch/settings/tree_schema";
import {
  withInstanceDraining,
  withTargetDraining,
} from "@chestnuthatch/settings/draining_edits";
import { Argument, type Command } from "commander";
import { err, ok, type Result } from "neverthrow";
import {
  type CommandFailure,
  type CommandResult,
  failed,
} from "./command_result.ts";
import type {
  CommandRunner,
  CommandServices,
  OutputOptions,
} from "./command_runner.ts";
import { withPlatform } from "./platform_connection.ts";
import { type ChangeEnd, makeChange, tellChange } from "./settings_change.ts";
import { type CurrentSettings, SettingsStore } from "./settings_store.ts";
import { faultyText, treeOf } from "./settings_text.ts";
import {
  authorOption,
  type AuthorOptions,
  examples,
  jsonOption,
  platformOption,
  type PlatformOptions,
} from "./shared_options.ts";

/** What can be drained. */
enum DrainKind {
  Target = "target",
  Instance = "instance",
}

interface DrainOptions extends PlatformOptions, AuthorOptions, OutputOptions {
  readonly undo: boolean;
}

interface Drain {
  readonly kind: DrainKind;
  readonly name: string;
  readonly draining: boolean;
  readonly author: string;
}

interface DrainHandler {
  readonly isDraining: (tree: SettingsTree, name: string) => boolean;
  readonly edit: (
    content: string,
    drain: Drain,
  ) => Result<string, SettingsFault[]>;
  /** What the operator may count on once it is in force. */
  readonly promise: string;
}

const HANDLERS: Readonly<Record<DrainKind, DrainHandler>> = {
  [DrainKind.Target]: {
    isDraining: (tree, name) => tree.targets[name]?.draining === true,
    edit: (content, { name, draining }) =>
      withTargetDraining(content, { targetId: name, draining }),
    promise: "Instances that have it send the target no new work; what runs " +
      "there goes on to its end.",
  },
  [DrainKind.Instance]: {
    isDraining: (tree, name) => tree.drainingInstances.includes(name),
    edit: (content, { name, draining }) =>
      withInstanceDraining(content, { instanceId: name, draining }),
    promise: "Once it has it, the instance says that it is not ready and " +
      "coordinates nothing; what it holds goes on to its end.",
  },
};

const MAX_TRIES = 5;
const PAUSE_MS = 200;

/**
 * Adds the command.
 *
 * @param parent The command line.
 * @param runner Runs it.
 */
export function addDrainCommand(parent: Command, runner: CommandRunner): void {
  parent.command("drain")
    .description("Keeps new work from a target or an instance.")
    .addArgument(
      new Argument("<kind>", "what to drain")
        .choices(Object.values(DrainKind)),
    )
    .argument("<name>", "its id")
    .option("--undo", "let it take new work again", false)
    .addOption(authorOption())
    .addOption(platformOption())
    .addOption(jsonOption())
    .addHelpText(
      "after",
      examples(
        "drain target msaidizi-3 --author neema",
        "drain instance njiro-hall-entry-1 --author neema",
        "drain target msaidizi-3 --undo --author neema",
      ),
    )
    .action((kind: DrainKind, name: string, options: DrainOptions) =>
      runner.perform(options, () => {
        const { undo, author } = options;
        const drain = { kind, name, draining: !undo, author };
        return drainUnder(runner.services, drain, options);
      })
    );
}

function drainUnder(
  services: CommandServices,
  drain: Drain,
  options: PlatformOptions,
): Promise<CommandResult> {
  return withPlatform(options, async (platform) => {
    const store = new SettingsStore(platform, services.sleep);
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      if (tries > 0) {
        await services.sleep(PAUSE_MS);
      }
      const current = await store.current();
      if (current.isErr()) {
        return err(current.error);
      }
      const end = await tryOnce(store, drain, {
        current: current.value,
        changeId: services.newId(),
      });
      if (end.isErr()) {
        return err(end.error);
      }
      if (end.value === undefined) {
        return ok(nothingToDo(drain));
      }
      if (end.value.kind === ChangeOutcomeKind.Committed) {
        return await tellDrained(store, end.value, drain);
      }
    }
    return lostEveryRace(drain);
  });
}

/** Nothing comes back where the settings say so already. */
async function tryOnce(
  store: SettingsStore,
  drain: Drain,
  of: { readonly current: CurrentSettings; readonly changeId: string },
): Promise<Result<ChangeEnd | undefined, CommandFailure>> {
  const { kind, name, draining, author } = drain;
  const { headRow, value } = of.current;
  const { isDraining, edit } = HANDLERS[kind];
  const source = `Version ${value.version}`;
  const content = treeOf(value.content, source).andThen((tree) =>
    edit(value.content, drain)
      .mapErr((faults) => faultyText(source, faults))
      .map((text) => isDraining(tree, name) === draining ? undefined : text)
  );
  if (content.isErr()) {
    return err(content.error);
  }
  if (content.value === undefined) {
    return ok(undefined);
  }
  return await makeChange(store, {
    baseVersion: value.version,
    headRow,
    changeId: of.changeId,
    author,
    note: `${draining ? "Drains" : "Ends the drain of"} ${kind} ${name}`,
    content: content.value,
  });
}

function tellDrained(
  store: SettingsStore,
  end: ChangeEnd,
  { kind, name, draining }: Drain,
): Promise<CommandResult> {
  const line = draining
    ? `${kind} ${name} drains. ${HANDLERS[kind].promise}`
    : `${kind} ${name} takes new work again.`;
  return tellChange(store, end, { lines: [line], json: { name, draining } });
}

function nothingToDo({ kind, name, draining }: Drain) {
  return {
    text: draining
      ? `${kind} ${name} is draining already; nothing was changed.`
      : `${kind} ${name} is not draining; nothing was changed.`,
    json: { name, draining, changed: false },
  };
}

function lostEveryRace({ kind, name }: Drain): CommandResult {
  return failed({
    message: `Other changes were faster ${MAX_TRIES} times; ` +
      `${kind} ${name} is as it was.`,
    next: "See who changes the settings (chestnuthatch settings history), " +
      "then try again.",
  });
}
