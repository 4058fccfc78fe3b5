/** Makes one change of the settings, and tells a lost race readably. */

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
import { faultyText, treeOf } from "./settings_text.ts";

/** How a change ended for certain. */
export type ChangeEnd =
  | {
    readonly kind: ChangeOutcomeKind.Committed;
    readonly version: number;
    readonly changeId: string;
  }
  | {
    readonly kind: ChangeOutcomeKind.LostRace;
    readonly baseVersion: number;
    /** The newest version known. */
    readonly currentVersion: number;
  };

type FaultOf<K extends ChangeFaultKind> = Extract<
  ChangeFault,
  { readonly kind: K }
>;
type FaultHandlers = {
  readonly [K in ChangeFaultKind]: (
    fault: FaultOf<K>,
  ) => Result<ChangeEnd, CommandFailure>;
};

const FAULT_HANDLERS: FaultHandlers = {
  [ChangeFaultKind.BadContent]: ({ faults }) =>
    err(faultyText("The new text", faults)),
  [ChangeFaultKind.BadRow]: ({ fault }) =>
    failed({
      message: `Row ${fault.key} is not taken: ${fault.message}.`,
      next: "Have the platform's keepers restore the row.",
      detail: { fault },
    }),
  [ChangeFaultKind.BadNote]: ({ message }) =>
    badInput({ message, next: "Correct --author or --note." }),
  [ChangeFaultKind.StaleBase]: ({ baseVersion, currentVersion }) =>
    ok({ kind: ChangeOutcomeKind.LostRace, baseVersion, currentVersion }),
};

/**
 * Proposes a change and sends it.
 *
 * @param store The settings' rows.
 * @param draft The change.
 * @returns How it ended, or why that is not known or was never tried.
 */
export async function makeChange(
  store: SettingsStore,
  draft: ChangeDraft,
): Promise<Result<ChangeEnd, CommandFailure>> {
  const change = proposeChange(draft);
  return change.isErr()
    ? endOfFault(change.error)
    : await commitChange(store, change.value);
}

/**
 * Sends a change that is ready.
 *
 * @param store The settings' rows.
 * @param change The change.
 * @returns How it ended, or why that is not known.
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
 * Turns a fault of a proposal into how the change ended.
 *
 * @param fault The fault.
 * @returns A stale base is a lost race; all else is a failure.
 */
export function endOfFault(
  fault: ChangeFault,
): Result<ChangeEnd, CommandFailure> {
  const handler = FAULT_HANDLERS[fault.kind] as (
    fault: ChangeFault,
  ) => Result<ChangeEnd, CommandFailure>;
  return handler(fault);
}

/**
 * Tells an operator how a change ended.
 *
 * @param store The settings' rows.
 * @param end How it ended.
 * @param about What is said when it was committed.
 * @returns The report, or what changed under the operator.
 */
export async function tellChange(
  store: SettingsStore,
  end: ChangeEnd,
  about: { readonly lines?: readonly string[]; readonly json?: object } = {},
): Promise<CommandResult> {
  if (end.kind === ChangeOutcomeKind.LostRace) {
    return err(await lostRaceFailure(store, end));
  }
  const { version, changeId } = end;
  const text = [
    `Accepted as version ${version} (change ${changeId}).`,
    ...about.lines ?? [],
    "See where it is in force: chestnuthatch settings status",
  ].join("\n");
  return ok({ text, json: { version, changeId, ...about.json } });
}

/**
 * Lists what differs between two settings texts.
 *
 * @param before The earlier text; absent for none.
 * @param after The later text.
 * @returns The differences; none where either cannot be read.
 */
export function differencesOf(
  before: string | undefined,
  after: string,
): SettingsDifference[] {
  if (before === undefined) {
    return [];
  }
  return treeOf(before, "before")
    .andThen((tree) =>
      treeOf(after, "after").map((newTree) => diffTrees(tree, newTree))
    )
    .unwrapOr([]);
}

/**
 * Words differences for people.
 *
 * @param differences The differences.
 * @returns One indented line for each.
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
    : (await store.version(baseVersion)).unwrapOr(undefined);
  const newest = (await store.version(currentVersion)).unwrapOr(undefined);
  const differences = newest === undefined
    ? []
    : differencesOf(base?.value.content, newest.value.content);
  return failed({
    message: [
      `Not accepted: version ${currentVersion} is newer than your base, ` +
      `version ${baseVersion}.`,
      ...newest === undefined ? [] : [`  ${describeVersion(newest.value)}`],
      `What changed since version ${baseVersion}:`,
      ...differenceLines(differences),
    ].join("\n"),
    next: "Take the newest text (chestnuthatch settings show " +
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
 * Words who made a version and why.
 *
 * @param version The version.
 * @returns One line.
 */
export function describeVersion(version: SettingsVersion): string {
  const { author, note, changeId } = version;
  const why = note === "" ? "" : `: ${note}`;
  return `version ${version.version} by ${author}${why} (change ${changeId})`;
}
