/** Reads and changes the settings in the platform's table. */

import {
  PlatformFault,
  type PlatformHttp,
} from "@chestnuthatch/daemon/platform_http";
import type { Sleep } from "@chestnuthatch/daemon/sleep";
import {
  type ChangeOutcome,
  ChangeOutcomeKind,
  keysToReadBack,
  NO_VERSION,
  outcomeFromAnswer,
  outcomeFromRows,
  type ProposedChange,
} from "@chestnuthatch/settings/settings_change";
import {
  HEAD_KEY,
  readHead,
  readVersionRow,
  type RowFault,
  type SettingsVersion,
  versionKey,
} from "@chestnuthatch/settings/settings_rows";
import type { Row } from "@chestnuthatch/wire/platform_protocol";
import { err, ok, type Result } from "neverthrow";
import {
  badInput,
  type CommandFailure,
  failed,
  outcomeUnknown,
} from "./command_result.ts";
import { tableReadFailure } from "./platform_connection.ts";

/** The head row, which names the version in force. */
export interface StoredHead {
  /** Undefined if the table holds no settings. */
  readonly row: Row | undefined;
  /** Version in force; 0 if the table holds no settings. */
  readonly version: number;
}

/** A version of the settings with its row of the table. */
export interface StoredVersion {
  readonly row: Row;
  readonly value: SettingsVersion;
}

/** The version in force with the head row that names it. */
export interface CurrentSettings extends StoredVersion {
  readonly headRow: Row;
}

/** A final outcome: committed, or lost to a concurrent change. */
export type SettledOutcome = Exclude<
  ChangeOutcome,
  { readonly kind: ChangeOutcomeKind.NotCommitted }
>;

/** A version, or its number and why its row is invalid. */
export type HistoryEntry = Result<
  SettingsVersion,
  { readonly version: number; readonly message: string }
>;

/** A value from the table, or why it cannot be read. */
type ReadResult<T> = Promise<Result<T, CommandFailure>>;

const MAX_ATTEMPTS = 5;
const RETRY_DELAY_MS = 300;

/** Store of the settings, in rows of the platform's table. */
export class SettingsStore {
  readonly #platform: PlatformHttp;
  readonly #sleep: Sleep;

  /**
   * @param platform Client of the platform.
   * @param sleep Waits between attempts.
   */
  constructor(platform: PlatformHttp, sleep: Sleep) {
    this.#platform = platform;
    this.#sleep = sleep;
  }

  /** @returns The head row, or why it cannot be read. */
  async readHead(): ReadResult<StoredHead> {
    const answer = await this.#platform.read([HEAD_KEY]);
    return answer.mapErr(tableReadFailure).andThen(({ rows }) => {
      const row = rows.find(({ key }) => key === HEAD_KEY);
      return row === undefined
        ? ok({ row, version: NO_VERSION })
        : readHead(row).mapErr(unreadableRow).map(({ version }) => ({
          row,
          version,
        }));
    });
  }

  /**
   * Reads one version.
   *
   * @param version Number of the version.
   * @returns The version, or why it cannot be read.
   */
  async readVersion(version: number): ReadResult<StoredVersion> {
    const key = versionKey(version);
    const answer = await this.#platform.read([key]);
    return answer.mapErr(tableReadFailure).andThen(({ rows }) => {
      const row = rows.find((each) => each.key === key);
      return row === undefined
        ? unknownVersion(version)
        : readVersionRow(row).mapErr(unreadableRow).map((value) => ({
          row,
          value,
        }));
    });
  }

  /** @returns The version in force, or why it cannot be read. */
  async readCurrent(): ReadResult<CurrentSettings> {
    const head = await this.readHead();
    if (head.isErr()) {
      return err(head.error);
    }
    const { row: headRow, version } = head.value;
    if (headRow === undefined) {
      return noSettings();
    }
    return (await this.readVersion(version)).map((read) => ({
      ...read,
      headRow,
    }));
  }

  /**
   * Lists the latest versions.
   *
   * @param limit Maximum number of versions.
   * @returns The versions, newest first.
   */
  async readHistory(limit: number): ReadResult<HistoryEntry[]> {
    const head = await this.readHead();
    if (head.isErr()) {
      return err(head.error);
    }
    const newest = head.value.version;
    const count = Math.min(limit, newest);
    const versions = Array.from({ length: count }, (_, i) => newest - i);
    const answer = await this.#platform.read(versions.map(versionKey));
    return answer.mapErr(tableReadFailure)
      .map(({ rows }) =>
        versions.map((version) => historyEntry(version, rows))
      );
  }

  /**
   * Sends a change until its outcome is known, at most {@link MAX_ATTEMPTS}
   * times. If an answer is lost, the rows are read back and searched for the id
   * of the change. Sending again is safe, since the conditions of the change
   * let it take effect at most once.
   *
   * @param change The proposed change.
   * @returns Committed or lost to a concurrent change, or why it is unknown.
   */
  async commit(change: ProposedChange): ReadResult<SettledOutcome> {
    let inDoubt = false;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (attempt > 0) {
        await this.#sleep(RETRY_DELAY_MS);
      }
      const sent = await this.#platform.transact(change.request);
      inDoubt ||= sent.isErr() && sent.error !== PlatformFault.RateLimited;
      const outcome = sent.isOk()
        ? outcomeFromAnswer(change, sent.value)
        : await this.#readBack(change);
      if (outcome.isErr()) {
        return unreadableOutcome(change, outcome.error);
      }
      if (outcome.value.kind !== ChangeOutcomeKind.NotCommitted) {
        return ok(outcome.value);
      }
    }
    return inDoubt ? outcomeInDoubt(change) : writesRefused();
  }

  async #readBack(
    change: ProposedChange,
  ): Promise<Result<ChangeOutcome, RowFault>> {
    const answer = await this.#platform.read(keysToReadBack(change));
    return answer.isOk()
      ? outcomeFromRows(change, answer.value.rows)
      : ok({ kind: ChangeOutcomeKind.NotCommitted });
  }
}

function historyEntry(version: number, rows: readonly Row[]): HistoryEntry {
  const row = rows.find(({ key }) => key === versionKey(version));
  return row === undefined
    ? err({ version, message: "its row is missing" })
    : readVersionRow(row).mapErr(({ message }) => ({ version, message }));
}

function unreadableRow(fault: RowFault): CommandFailure {
  return failed({
    message: `Row ${fault.key} of the table is invalid: ${fault.message}.`,
    next: "Find the last valid version (chestnuthatch settings history) " +
      "and have the platform's operators restore the row.",
    detail: { fault },
  }).error;
}

function unknownVersion(version: number) {
  return badInput({
    message: `The table holds no version ${version}.`,
    next: "List the versions: chestnuthatch settings history",
    detail: { version },
  });
}

function noSettings() {
  return failed({
    message: "The table holds no settings yet.",
    next: "Propose the first: chestnuthatch settings propose FILE --base 0",
  });
}

function unreadableOutcome(change: ProposedChange, fault: RowFault) {
  const { changeId, version } = change;
  return outcomeUnknown({
    message: `Whether change ${changeId} became version ${version} is not ` +
      `known: row ${fault.key} is invalid (${fault.message}).`,
    next: "Have the platform's operators check the row before any new change.",
    detail: { changeId, version, fault },
  });
}

function outcomeInDoubt({ changeId, version }: ProposedChange) {
  return outcomeUnknown({
    message: `The platform did not confirm whether change ${changeId} became ` +
      `version ${version}; it may have, or may still.`,
    next: "Once the platform answers, check the change id of that version: " +
      "chestnuthatch settings history",
    detail: { changeId, version },
  });
}

function writesRefused() {
  return failed({
    message: "The platform accepted no writes; nothing was changed.",
    next: "Wait a little and try again.",
  });
}
