/**
 * Changes of the settings as conditional transactions on the platform's table.
 * Everything here is pure: the caller sends the requests and reads the rows.
 */

import { err, ok, type Result } from "neverthrow";
import {
  ABSENT_ROW_VERSION,
  type Row,
  type TransactAnswer,
  type TransactRequest,
} from "@chestnuthatch/wire/platform_protocol";
import { readSettings } from "./read_tree.ts";
import type { SettingsFault } from "./settings_fault.ts";
import {
  hashContent,
  HEAD_KEY,
  readHead,
  readVersionRow,
  type RowFault,
  RowFaultKind,
  type SettingsHead,
  settingsVersionSchema,
  versionKey,
} from "./settings_rows.ts";

/** Base version of the first change of a fleet. */
export const NO_VERSION = 0;

/** Who changes the settings, and why. */
export interface ChangeNote {
  /** Unique for this change; settles lost answers. */
  readonly changeId: string;
  readonly author: string;
  readonly note: string;
}

/** What an operator wants to put in force. */
export interface ChangeDraft extends ChangeNote {
  /** The version that the content was edited from; 0 where there is none. */
  readonly baseVersion: number;
  /** The head row as last read; absent where the table has none. */
  readonly headRow: Row | undefined;
  /** YAML of the new settings. */
  readonly content: string;
}

/** A change that is ready to be sent, and sent again unaltered. */
export interface ProposedChange {
  readonly version: number;
  readonly changeId: string;
  readonly request: TransactRequest;
}

/** Why a change cannot be proposed. */
export enum ChangeFaultKind {
  BadContent = "bad_content",
  BadRow = "bad_row",
  BadNote = "bad_note",
  StaleBase = "stale_base",
}

/** A change that cannot be proposed. */
export type ChangeFault =
  | {
    readonly kind: ChangeFaultKind.BadContent;
    readonly faults: readonly SettingsFault[];
  }
  | { readonly kind: ChangeFaultKind.BadRow; readonly fault: RowFault }
  | { readonly kind: ChangeFaultKind.BadNote; readonly message: string }
  | {
    readonly kind: ChangeFaultKind.StaleBase;
    readonly baseVersion: number;
    readonly currentVersion: number;
  };

/** How a change ended. */
export enum ChangeOutcomeKind {
  Committed = "committed",
  /** Another change took this version: nothing of this one was written. */
  LostRace = "lost_race",
  /**
   * Nothing is written so far. A request still on its way may yet be; sending
   * the same request again is safe and settles it.
   */
  NotCommitted = "not_committed",
}

/** How a change ended, with what the operator needs to go on. */
export type ChangeOutcome =
  | { readonly kind: ChangeOutcomeKind.Committed; readonly version: number }
  | {
    readonly kind: ChangeOutcomeKind.LostRace;
    /** The change that took the version. */
    readonly winner: SettingsHead;
    /** The newest version known, from which to edit anew. */
    readonly currentVersion: number;
  }
  | { readonly kind: ChangeOutcomeKind.NotCommitted };

/**
 * Checks a change and builds its transaction: on condition that the head row
 * is the one that was read and that the new version has no row.
 *
 * @param draft The change.
 * @returns The transaction, or why there is none.
 */
export function proposeChange(
  draft: ChangeDraft,
): Result<ProposedChange, ChangeFault> {
  return currentVersion(draft.headRow)
    .andThen((version) => checkBase(draft.baseVersion, version))
    .andThen(() => checkContent(draft.content))
    .andThen(() => buildChange(draft));
}

/**
 * Puts an earlier content in force again, as a new version.
 *
 * @param versionRow The row of the earlier version.
 * @param options The head row as last read, the change's id and its author.
 * @returns The transaction, or why there is none.
 */
export function revertTo(
  versionRow: Row,
  { headRow, changeId, author }: {
    readonly headRow: Row;
    readonly changeId: string;
    readonly author: string;
  },
): Result<ProposedChange, ChangeFault> {
  return readVersionRow(versionRow)
    .mapErr(badRow)
    .andThen(({ version, content }) =>
      currentVersion(headRow).andThen((baseVersion) =>
        proposeChange({
          baseVersion,
          headRow,
          content,
          changeId,
          author,
          note: `Reverts to version ${version}`,
        })
      )
    );
}

/**
 * Judges the table's answer. A request that was sent twice meets its own first
 * copy as a conflict, which counts as committed.
 *
 * @param change The change that was sent.
 * @param answer The answer.
 * @returns How the change ended.
 */
export function judgeAnswer(
  change: ProposedChange,
  answer: TransactAnswer,
): Result<ChangeOutcome, RowFault> {
  if (answer.committed) return ok(committed(change));
  return settleUnknown(change, answer.conflicts);
}

/**
 * Names the rows to read back after a lost answer.
 *
 * @param change The change that was sent.
 * @returns The keys.
 */
export function keysToSettle(change: ProposedChange): string[] {
  return [HEAD_KEY, versionKey(change.version)];
}

/**
 * Settles a lost answer by the rows read back afterwards.
 *
 * @param change The change that was sent.
 * @param rows The rows under {@link keysToSettle} that exist.
 * @returns How the change ended, or the row that cannot be read.
 */
export function settleUnknown(
  change: Omit<ProposedChange, "request">,
  rows: readonly Row[],
): Result<ChangeOutcome, RowFault> {
  const headRow = rows.find((row) => row.key === HEAD_KEY);
  const versionRow = rows.find((row) => row.key === versionKey(change.version));
  if (versionRow === undefined) return settleByHead(change, headRow);
  return readVersionRow(versionRow).map((holder) => {
    if (holder.changeId === change.changeId) return committed(change);
    const newest = currentVersion(headRow).unwrapOr(holder.version);
    return lostRace(holder, Math.max(newest, holder.version));
  });
}

function settleByHead(
  change: Omit<ProposedChange, "request">,
  headRow: Row | undefined,
): Result<ChangeOutcome, RowFault> {
  if (headRow === undefined) return ok(notCommitted());
  return readHead(headRow).andThen((head) => {
    if (head.version < change.version) return ok(notCommitted());
    const key = versionKey(change.version);
    const message = `the head is at version ${head.version}`;
    return err({ kind: RowFaultKind.Missing, key, message });
  });
}

function currentVersion(
  headRow: Row | undefined,
): Result<number, ChangeFault> {
  if (headRow === undefined) return ok(NO_VERSION);
  return readHead(headRow).map(({ version }) => version).mapErr(badRow);
}

function checkBase(
  baseVersion: number,
  currentVersion: number,
): Result<number, ChangeFault> {
  if (baseVersion === currentVersion) return ok(baseVersion);
  const kind = ChangeFaultKind.StaleBase as const;
  return err({ kind, baseVersion, currentVersion });
}

function checkContent(content: string): Result<unknown, ChangeFault> {
  return readSettings(content).mapErr((faults): ChangeFault => ({
    kind: ChangeFaultKind.BadContent,
    faults,
  }));
}

function buildChange(draft: ChangeDraft): Result<ProposedChange, ChangeFault> {
  const { baseVersion, headRow, content, changeId, author, note } = draft;
  const version = baseVersion + 1;
  const parsed = settingsVersionSchema.safeParse({
    version,
    changeId,
    author,
    note,
    contentHash: hashContent(content),
    content,
  });
  if (!parsed.success) return err(badNote(parsed.error.issues));
  const head: SettingsHead = { version, changeId };
  const key = versionKey(version);
  const request = {
    conditions: [
      { key: HEAD_KEY, version: headRow?.version ?? ABSENT_ROW_VERSION },
      { key, version: ABSENT_ROW_VERSION },
    ],
    puts: [
      { key: HEAD_KEY, value: JSON.stringify(head) },
      { key, value: JSON.stringify(parsed.data) },
    ],
    deletes: [],
  };
  return ok({ version, changeId, request });
}

function committed({ version }: Pick<ProposedChange, "version">) {
  return { kind: ChangeOutcomeKind.Committed, version } as const;
}

function notCommitted() {
  return { kind: ChangeOutcomeKind.NotCommitted } as const;
}

function lostRace(winner: SettingsHead, currentVersion: number) {
  const { version, changeId } = winner;
  return {
    kind: ChangeOutcomeKind.LostRace,
    winner: { version, changeId },
    currentVersion,
  } as const;
}

function badRow(fault: RowFault): ChangeFault {
  return { kind: ChangeFaultKind.BadRow, fault };
}

function badNote(
  issues: readonly { path: PropertyKey[]; message: string }[],
): ChangeFault {
  const message = issues
    .map((issue) => `${issue.path.join(".")}: ${issue.message}`)
    .join("; ");
  return { kind: ChangeFaultKind.BadNote, message };
}
