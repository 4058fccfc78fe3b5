/** Commits a change of the settings and reports its outcome. */

import {
  type ChangeDraft,
  type ChangeFault,
  ChangeFaultKind,
  ChangeOutcomeKind,
  NO_VERSION,
  proposeChange,
  type ProposedChange,
} from "@chestnuthatch/settings/settings_change";
import {
  describeDifference,
  diffTrees,
  type SettingsDifference,
} from "@chestnuthatch/settings/tree_diff";
import type { SettingsVersion } from "@chestnuthatch/settings/settings_rows";
import { err, ok, type Result } from "neverthrow";
import {
  badInput,
  type CommandFailure,
  type CommandResult,
  failed,
} from "./command_result.ts";
import type { SettingsStore } from "./settings_store.ts";
import { parseTree, settingsFaultFailure } from "./settings_text.ts";

/** Known outcome of a change: committed, or lost to a concurrent change. */
export type ChangeEnd =
  | {
    readonly kind: ChangeOutcomeKind.Committed;
    readonly version: number;
    readonly changeId: string;
  }
  | {
    readonly kind: ChangeOutcomeKind.LostRace;
    readonly baseVersion: number;
    /** The newest version that is known. */
    readonly currentVersion: number;
  };

type FaultWithKind<K extends ChangeFaultKind> = Extract<
  ChangeFault,
  { readonly kind: K }
>;
type FaultHandlers = {
  readonly [K in ChangeFaultKind]: (
    fault: FaultWithKind<K>,
  ) => Result<ChangeEnd, CommandFailure>;
};

const FAULT_HANDLERS: FaultHandlers = {
  [ChangeFaultKind.BadContent]: ({ faults }) =>
    err(settingsFaultFailure("The new text", faults)),
  [ChangeFaultKind.BadRow]: ({ fault }) =>
    failed({
      message: `Row ${fault.key} is invalid: ${fault.message}.`,
      next: "Have the platform's operators restore the row.",
      detail: { fault },
    }),
  [ChangeFaultKind.BadNote]: ({ message }) =>
    badInput({ message, next: "Correct --author or --note." }),
  [ChangeFaultKind.StaleBase]: ({ baseVersion, currentVersion }) =>
    ok({ kind: ChangeOutcomeKind.LostRace, baseVersion, currentVersion }),
};

/**
 * Proposes a change and commits it.
 *
 * @param store Store of the settings.
 * @param draft Content, author and base version of the change.
 * @returns Its outcome, or why it is unknown or was not attempted.
 */
export async function proposeAndCommit(
  store: SettingsStore,
  draft: ChangeDraft,
): Promise<Result<ChangeEnd, CommandFailure>> {
  const change = proposeChange(draft);
  return change.isErr()
    ? changeEndFromFault(change.error)
    : await commitChange(store, change.value);
}

/**
 * Commits a proposed change.
 *
 * @param store Store of the settings.
 * @param change The proposed change.
 * @returns Its outcome, or why it is unknown.
 */
export async function commitChange(
  store: SettingsStore,
  change: ProposedChange,
): Promise<Result<ChangeEnd, CommandFailure>> {
  const outcome = await store.commit(change);
  return outcome.map((settled): ChangeEnd => {
    const { kind } = settled;
    return kind === ChangeOutcomeKind.Committed
      ? { kind, version: settled.version, changeId: change.changeId }
      : {
        kind,
        baseVersion: change.version - 1,
        currentVersion: settled.currentVersion,
      };
  });
}

/**
 * Converts a fault of a proposal into the outcome of the change.
 *
 * @param fault Why no change could be proposed.
 * @returns A lost race for a stale base, a failure for any other fault.
 */
export function changeEndFromFault(
  fault: ChangeFault,
): Result<ChangeEnd, CommandFailure> {
  const handler = FAULT_HANDLERS[fault.kind] as (
    fault: ChangeFault,
  ) => Result<ChangeEnd, CommandFailure>;
  return handler(fault);
}

/**
 * Reports the outcome of a change to the operator.
 *
 * @param store Store of the settings.
 * @param end Outcome of the change.
 * @param details Lines and JSON fields to add to the report of a commit.
 * @returns The report, or a failure that lists the concurrent changes.
 */
export async function reportChange(
  store: SettingsStore,
  end: ChangeEnd,
  details: { readonly lines?: readonly string[]; readonly json?: object } = {},
): Promise<CommandResult> {
  if (end.kind === ChangeOutcomeKind.LostRace) {
    return err(await lostRaceFailure(store, end));
  }
  const { version, changeId } = end;
  const text = [
    `Accepted as version ${version} (change ${changeId}).`,
    ...details.lines ?? [],
    "See where it is in force: chestnuthatch settings status",
  ].join("\n");
  return ok({ text, json: { version, changeId, ...details.json } });
}

/**
 * Lists the differences between two contents of the settings.
 *
 * @param before Earlier content as YAML; undefined if there is none.
 * @param after Later content as YAML.
 * @returns The differences; none if there is no earlier content or either has
 * faults.
 */
export function diffContents(
  before: string | undefined,
  after: string,
): SettingsDifference[] {
  if (before === undefined) {
    return [];
  }
  return parseTree(before, "before")
    .andThen((tree) =>
      parseTree(after, "after").map((newTree) => diffTrees(tree, newTree))
    )
    .unwrapOr([]);
}

/**
 * Formats differences for people.
 *
 * @param differences Differences between two settings trees.
 * @returns One indented line for each difference.
 */
export function differenceLines(
  differences: readonly SettingsDifference[],
): string[] {
  return differences.map((difference) => `  ${describeDifference(difference)}`);
}

async function lostRaceFailure(
  store: SettingsStore,
  end: ChangeEnd & { readonly kind: ChangeOutcomeKind.LostRace },
): Promise<CommandFailure> {
  const { baseVersion, currentVersion } = end;
  if (baseVersion > currentVersion) {
    return unknownBase(baseVersion, currentVersion);
  }
  const base = baseVersion === NO_VERSION
    ? undefined
    : (await store.readVersion(baseVersion)).unwrapOr(undefined);
  const newest = (await store.readVersion(currentVersion)).unwrapOr(undefined);
  const differences = newest === undefined
    ? []
    : diffContents(base?.value.content, newest.value.content);
  return failed({
    message: [
      `Not accepted: version ${currentVersion} is newer than your base, ` +
      `version ${baseVersion}.`,
      ...newest === undefined ? [] : [`  ${describeVersion(newest.value)}`],
      `What changed since version ${baseVersion}:`,
      ...differenceLines(differences),
    ].join("\n"),
    next: "Save the newest version (chestnuthatch settings show " +
      `--version ${currentVersion} > FILE), make your edit again, and ` +
      `propose it with --base ${currentVersion}.`,
    detail: { baseVersion, currentVersion, differences },
  }).error;
}

function unknownBase(
  baseVersion: number,
  currentVersion: number,
): CommandFailure {
  return badInput({
    message: `There is no version ${baseVersion}; the newest is ` +
      `${currentVersion}.`,
    next: `Give the version that you edited; where that is the newest, ` +
      `--base ${currentVersion}.`,
    detail: { baseVersion, currentVersion },
  }).error;
}

/**
 * Formats the author, note and change id of a version.
 *
 * @param version Version of the settings.
 * @returns One line.
 */
export function describeVersion(version: SettingsVersion): string {
  const { author, note, changeId } = version;
  const why = note === "" ? "" : `: ${note}`;
  return `version ${version.version} by ${author}${why} (change ${changeId})`;
}
