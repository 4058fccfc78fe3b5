/** `chestnuthatch drain`: drains a target or an instance, or ends a drain. */

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
import {
  type ChangeEnd,
  proposeAndCommit,
  reportChange,
} from "./settings_change.ts";
import { type CurrentSettings, SettingsStore } from "./settings_store.ts";
import { parseTree, settingsFaultFailure } from "./settings_text.ts";
import {
  authorOption,
  type AuthorOptions,
  examples,
  jsonOption,
  platformOption,
  type PlatformOptions,
} from "./shared_options.ts";

/** Kinds of components that can be drained. */
enum DrainKind {
  Target = "target",
  Instance = "instance",
}

interface DrainOptions extends PlatformOptions, AuthorOptions, OutputOptions {
  readonly undo: boolean;
}

/** The requested change of a draining mark. */
interface DrainRequest {
  readonly kind: DrainKind;
  readonly name: string;
  readonly draining: boolean;
  readonly author: string;
}

/** Reads and edits the draining mark of one kind of component. */
interface DrainHandler {
  readonly isDraining: (tree: SettingsTree, name: string) => boolean;
  readonly edit: (
    content: string,
    drain: DrainRequest,
  ) => Result<string, SettingsFault[]>;
  /** What a drain does once the settings are in force, for the operator. */
  readonly effect: string;
}

const HANDLERS: Readonly<Record<DrainKind, DrainHandler>> = {
  [DrainKind.Target]: {
    isDraining: (tree, name) => tree.targets[name]?.draining === true,
    edit: (content, { name, draining }) =>
      withTargetDraining(content, { targetId: name, draining }),
    effect: "Instances with this version in force send the target no new " +
      "work; work in progress there continues to its end.",
  },
  [DrainKind.Instance]: {
    isDraining: (tree, name) => tree.drainingInstances.includes(name),
    edit: (content, { name, draining }) =>
      withInstanceDraining(content, { instanceId: name, draining }),
    effect: "With this version in force, the instance reports that it is not " +
      "ready and coordinates nothing; requests that it holds continue.",
  },
};

const MAX_ATTEMPTS = 5;
const RETRY_DELAY_MS = 200;

/**
 * Adds the command `drain`.
 *
 * @param parent The program, to which the command is added.
 * @param runner Runs the action and prints its result.
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
        return drainWithRetries(runner.services, drain, options);
      })
    );
}

function drainWithRetries(
  services: CommandServices,
  drain: DrainRequest,
  options: PlatformOptions,
): Promise<CommandResult> {
  return withPlatform(options, async (platform) => {
    const store = new SettingsStore(platform, services.sleep);
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (attempt > 0) {
        await services.sleep(RETRY_DELAY_MS);
      }
      const current = await store.readCurrent();
      if (current.isErr()) {
        return err(current.error);
      }
      const end = await proposeDrain(store, drain, {
        current: current.value,
        changeId: services.newId(),
      });
      if (end.isErr()) {
        return err(end.error);
      }
      if (end.value === undefined) {
        return ok(unchangedReport(drain));
      }
      if (end.value.kind === ChangeOutcomeKind.Committed) {
        return await reportDrain(store, end.value, drain);
      }
    }
    return attemptsExhausted(drain);
  });
}

/**
 * Proposes the drain on top of the current settings. Returns undefined if the
 * settings already have the requested mark.
 */
async function proposeDrain(
  store: SettingsStore,
  drain: DrainRequest,
  of: { readonly current: CurrentSettings; readonly changeId: string },
): Promise<Result<ChangeEnd | undefined, CommandFailure>> {
  const { kind, name, draining, author } = drain;
  const { headRow, value } = of.current;
  const { isDraining, edit } = HANDLERS[kind];
  const source = `Version ${value.version}`;
  const content = parseTree(value.content, source).andThen((tree) =>
    edit(value.content, drain)
      .mapErr((faults) => settingsFaultFailure(source, faults))
      .map((text) => isDraining(tree, name) === draining ? undefined : text)
  );
  if (content.isErr()) {
    return err(content.error);
  }
  if (content.value === undefined) {
    return ok(undefined);
  }
  return await proposeAndCommit(store, {
    baseVersion: value.version,
    headRow,
    changeId: of.changeId,
    author,
    note: `${draining ? "Drains" : "Ends the drain of"} ${kind} ${name}`,
    content: content.value,
  });
}

function reportDrain(
  store: SettingsStore,
  end: ChangeEnd,
  { kind, name, draining }: DrainRequest,
): Promise<CommandResult> {
  const line = draining
    ? `${kind} ${name} drains. ${HANDLERS[kind].effect}`
    : `${kind} ${name} takes new work again.`;
  return reportChange(store, end, { lines: [line], json: { name, draining } });
}

function unchangedReport({ kind, name, draining }: DrainRequest) {
  return {
    text: draining
      ? `${kind} ${name} is draining already; nothing was changed.`
      : `${kind} ${name} is not draining; nothing was changed.`,
    json: { name, draining, changed: false },
  };
}

function attemptsExhausted({ kind, name }: DrainRequest): CommandResult {
  return failed({
    message: `Other changes came first in all ${MAX_ATTEMPTS} attempts; ` +
      `${kind} ${name} is unchanged.`,
    next: "See who changes the settings (chestnuthatch settings history), " +
      "then try again.",
  });
}
