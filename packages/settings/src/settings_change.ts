/**
 * Builds the conditional transactions that change the settings in the
 * platform's table, and derives the outcome of a change from the table's
 * answers. All functions are pure: their caller sends the requests and reads
 * the rows.
 */

import { err, ok, type Result } from "neverthrow";
import {
  ABSENT_ROW_VERSION,
  type Row,
  type TransactAnswer,
  type TransactRequest,
} from "@chestnuthatch/wire/platform_protocol";
import { readSettings } from "./read_settings.ts";
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

/** Base version of the first change to a fleet's settings. */
export const NO_VERSION = 0;

/** Identity, author and reason of a settings change. */
export interface ChangeMetadata {
  /**
   * Unique for this change: tells its rows from those of another change when
   * the answer to the transaction is lost.
   */
  readonly changeId: string;
  readonly author: string;
  /** Reason for the change, in the author's words. */
  readonly note: string;
}

/** A change as an operator submits it, not yet checked. */
export interface ChangeDraft extends ChangeMetadata {
  /**
   * Version that the content was edited from; {@link NO_VERSION} where there
   * is none.
   */
  readonly baseVersion: number;
  /** Head row as last read; absent where the table has none. */
  readonly headRow: Row | undefined;
  /** New settings tree, as YAML. */
  readonly content: string;
}

/**
 * A checked change with its transaction. Sending the same transaction more than
 * once is safe.
 */
export interface ProposedChange {
  /** Version that the change creates. */
  readonly version: number;
  readonly changeId: string;
  readonly request: TransactRequest;
}

/** Reasons why no transaction can be built for a change. */
export enum ChangeFaultKind {
  BadContent = "bad_content",
  BadRow = "bad_row",
  BadNote = "bad_note",
  StaleBase = "stale_base",
}

/** Why no transaction was built for a change, with the faults found. */
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

/** Outcomes of a change whose transaction was sent. */
export enum ChangeOutcomeKind {
  Committed = "committed",
  /** Another change created this version; nothing of this one was written. */
  LostRace = "lost_race",
  /**
   * Nothing has been written so far. A request still in flight may yet be
   * committed; sending the same request again is safe and decides the outcome.
   */
  NotCommitted = "not_committed",
}

/** Outcome of a change, with the versions an operator needs to continue. */
export type ChangeOutcome =
  | { readonly kind: ChangeOutcomeKind.Committed; readonly version: number }
  | {
    readonly kind: ChangeOutcomeKind.LostRace;
    /** Version and change id of the change that was committed instead. */
    readonly winner: SettingsHead;
    /** Newest known version, the base for a new edit. */
    readonly currentVersion: number;
  }
  | { readonly kind: ChangeOutcomeKind.NotCommitted };

/**
 * Checks a change and builds its transaction. The transaction commits only if
 * the head row is unchanged since it was read and the new version has no row.
 *
 * @param draft The change.
 * @returns The change with its transaction, or why none was built.
 */
export function proposeChange(
  draft: ChangeDraft,
): Result<ProposedChange, ChangeFault> {
  return currentVersion(draft.headRow)
    .andThen((version) => checkBaseVersion(draft.baseVersion, version))
    .andThen(() => checkContent(draft.content))
    .andThen(() => buildChange(draft));
}

/**
 * Builds a change that restores the content of an earlier version, as a new
 * version.
 *
 * @param versionRow Row of the earlier version.
 * @param options Head row as last read, id of the new change and its author.
 * @returns The change with its transaction, or why none was built.
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
    .mapErr(badRowFault)
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
 * Derives the outcome of a change from the table's answer. A request that was
 * sent twice conflicts with the rows of its first copy; that counts as
 * committed.
 *
 * @param change The change that was sent.
 * @param answer The table's answer to the transaction.
 * @returns The outcome, or the conflicting row that cannot be read.
 */
export function outcomeFromAnswer(
  change: ProposedChange,
  answer: TransactAnswer,
): Result<ChangeOutcome, RowFault> {
  if (answer.committed) return ok(committed(change));
  return outcomeFromRows(change, answer.conflicts);
}

/**
 * Lists the rows to read back when the answer to a transaction is lost.
 *
 * @param change The change that was sent.
 * @returns Keys of the head row and of the row of the new version.
 */
export function keysToReadBack(change: ProposedChange): string[] {
  return [HEAD_KEY, versionKey(change.version)];
}

/**
 * Derives the outcome of a change from the rows of its keys, read back after
 * its answer was lost or returned as conflicts.
 *
 * @param change The change that was sent.
 * @param rows Existing rows among the keys of {@link keysToReadBack}.
 * @returns The outcome, or the row that cannot be read or is missing.
 */
export function outcomeFromRows(
  change: Omit<ProposedChange, "request">,
  rows: readonly Row[],
): Result<ChangeOutcome, RowFault> {
  const headRow = rows.find((row) => row.key === HEAD_KEY);
  const versionRow = rows.find((row) => row.key === versionKey(change.version));
  if (versionRow === undefined) return outcomeFromHead(change, headRow);
  return readVersionRow(versionRow).map((stored) => {
    if (stored.changeId === change.changeId) return committed(change);
    const headVersion = currentVersion(headRow).unwrapOr(stored.version);
    return lostRace(stored, Math.max(headVersion, stored.version));
  });
}

function outcomeFromHead(
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
  return readHead(headRow).map(({ version }) => version).mapErr(badRowFault);
}

function checkBaseVersion(
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
  if (!parsed.success) return err(badNoteFault(parsed.error.issues));
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

function badRowFault(fault: RowFault): ChangeFault {
  return { kind: ChangeFaultKind.BadRow, fault };
}

function badNoteFault(
  issues: readonly { path: PropertyKey[]; message: string }[],
): ChangeFault {
  const message = issues
    .map((issue) => `${issue.path.join(".")}: ${issue.message}`)
    .join("; ");
  return { kind: ChangeFaultKind.BadNote, message };
}
