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
import { readFailure } from "./platform_connection.ts";

/** The head as last read. */
export interface SettingsHeadRead {
  /** Absent where the table holds no settings. */
  readonly row: Row | undefined;
  /** 0 where the table holds no settings. */
  readonly version: number;
}

/** One version with its row. */
export interface VersionRead {
  readonly row: Row;
  readonly value: SettingsVersion;
}

/** The version in force with the head that names it. */
export interface CurrentSettings extends VersionRead {
  readonly headRow: Row;
}

/** An outcome that no later answer can alter. */
export type SettledOutcome = Exclude<
  ChangeOutcome,
  { readonly kind: ChangeOutcomeKind.NotCommitted }
>;

/** A version, or why its row is not taken. */
export type HistoryEntry = Result<
  SettingsVersion,
  { readonly version: number; readonly message: string }
>;

type Read<T> = Promise<Result<T, CommandFailure>>;

const MAX_TRIES = 5;
const PAUSE_MS = 300;

/** The settings' rows of the platform's table. */
export class SettingsStore {
  readonly #platform: PlatformHttp;
  readonly #sleep: Sleep;

  /**
   * @param platform The platform.
   * @param sleep How to wait between tries.
   */
  constructor(platform: PlatformHttp, sleep: Sleep) {
    this.#platform = platform;
    this.#sleep = sleep;
  }

  /** @returns The head, or why it cannot be read. */
  async head(): Read<SettingsHeadRead> {
    const answer = await this.#platform.read([HEAD_KEY]);
    return answer.mapErr(readFailure).andThen(({ rows }) => {
      const row = rows.find(({ key }) => key === HEAD_KEY);
      return row === undefined
        ? ok({ row, version: NO_VERSION })
        : readHead(row).mapErr(badRow).map(({ version }) => ({ row, version }));
    });
  }

  /**
   * Reads one version.
   *
   * @param version Its number.
   * @returns The version, or why it cannot be read.
   */
  async version(version: number): Read<VersionRead> {
    const key = versionKey(version);
    const answer = await this.#platform.read([key]);
    return answer.mapErr(readFailure).andThen(({ rows }) => {
      const row = rows.find((each) => each.key === key);
      return row === undefined
        ? unknownVersion(version)
        : readVersionRow(row).mapErr(badRow).map((value) => ({ row, value }));
    });
  }

  /** @returns The version in force, or why there is none to read. */
  async current(): Read<CurrentSettings> {
    const head = await this.head();
    if (head.isErr()) {
      return err(head.error);
    }
    const { row: headRow, version } = head.value;
    if (headRow === undefined) {
      return noSettings();
    }
    return (await this.version(version)).map((read) => ({ ...read, headRow }));
  }

  /**
   * Lists the latest versions.
   *
   * @param limit How many at most.
   * @returns The versions, newest first.
   */
  async history(limit: number): Read<HistoryEntry[]> {
    const head = await this.head();
    if (head.isErr()) {
      return err(head.error);
    }
    const newest = head.value.version;
    const count = Math.min(limit, newest);
    const versions = Array.from({ length: count }, (_, i) => newest - i);
    const answer = await this.#platform.read(versions.map(versionKey));
    return answer.mapErr(readFailure)
      .map(({ rows }) => versions.map((version) => entryOf(version, rows)));
  }

  /**
   * Sends a change until its outcome is certain, a bounded number of times. A
   * lost answer is settled by the change's id; sending again is safe, since
   * its conditions let it take effect once at most.
   *
   * @param change The change.
   * @returns Committed or lost to another; or why that is not known.
   */
  async commit(change: ProposedChange): Read<SettledOutcome> {
    let inDoubt = false;
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      if (tries > 0) {
        await this.#sleep(PAUSE_MS);
      }
      const sent = await this.#platform.transact(change.request);
      inDoubt ||= sent.isErr() && sent.error !== PlatformFault.RateLimited;
      const judged = sent.isOk()
        ? outcomeFromAnswer(change, sent.value)
        : await this.#readBack(change);
      if (judged.isErr()) {
        return unreadableOutcome(change, judged.error);
      }
      if (judged.value.kind !== ChangeOutcomeKind.NotCommitted) {
        return ok(judged.value);
      }
    }
    return inDoubt ? unsettled(change) : notWritten();
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

function entryOf(version: number, rows: readonly Row[]): HistoryEntry {
  const row = rows.find(({ key }) => key === versionKey(version));
  return row === undefined
    ? err({ version, message: "its row is missing" })
    : readVersionRow(row).mapErr(({ message }) => ({ version, message }));
}

function badRow(fault: RowFault): CommandFailure {
  return failed({
    message: `Row ${fault.key} of the table is not taken: ${fault.message}.`,
    next: "Look for the last sound version (chestnuthatch settings history) " +
      "and have the platform's keepers restore the row.",
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
      `known: row ${fault.key} is not taken (${fault.message}).`,
    next: "Have the platform's keepers look at the row before any new change.",
    detail: { changeId, version, fault },
  });
}

function unsettled({ changeId, version }: ProposedChange) {
  return outcomeUnknown({
    message: `The platform did not tell whether change ${changeId} became ` +
      `version ${version}; it may have, or may still.`,
    next: "Once the platform answers, look at the id beside that version: " +
      "chestnuthatch settings history",
    detail: { changeId, version },
  });
}

function notWritten() {
  return failed({
    message: "The platform took no writes from here; nothing was changed.",
    next: "Wait a little and try again.",
  });
}
