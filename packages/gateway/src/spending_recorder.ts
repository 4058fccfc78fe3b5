/**
 * Preserves the spending of workspaces beyond the lifetime of the coordinator
 * that counts it: a new coordinator continues from the last heartbeats of the
 * old one and from the fleet's records in the platform's store.
 */

import type {
  AnnouncedAccount,
  RecordedAccount,
} from "@chestnuthatch/routing/allotment_ledger";
import type { MemberView } from "@chestnuthatch/routing/member_view";
import type { Coordinator } from "@chestnuthatch/routing/coordinator";
import {
  RecordOutcome,
  type SpendingCoverage,
} from "@chestnuthatch/routing/recorded_spending";
import {
  mapLayers,
  SpendingByShare,
  type SpendingLayer,
} from "@chestnuthatch/routing/spending_by_share";
import {
  agedHistory,
  refilledHistory,
} from "@chestnuthatch/routing/spending_log";
import type { InheritedAccount } from "./assigning_role.ts";
import { type EventLog, LogPart } from "./event_log.ts";
import type { Heartbeat } from "./heartbeat_exchange.ts";
import type {
  Clock,
  PlatformPort,
  SpendingRecord,
  SpendingRow,
} from "./ports.ts";
import { reportUnhandled } from "./run_isolated.ts";

/** Minimum time between two records: at most five writes per second. */
const MIN_RECORD_INTERVAL_MS = 200;

/** Delay before a failed read or write of the records is retried. */
const RETRY_DELAY_MS = 500;

/** Time without an answer after which the store counts as not answering. */
const MAX_ANSWER_MS = 400;

/**
 * Largest age of a record at which its times are used: it is rewritten every
 * second, and a fleet that lost all its instances is back within about two.
 */
const MAX_FRESH_RECORD_AGE_MS = 3500;

/**
 * Time within which a coordinator renews its record, also after a failed call.
 * One whose record is older than that of another has given up the role.
 */
const MAX_RENEWAL_MS = 2500;

/**
 * Least share of the fleet that has to live on for a coordinator to rely on the
 * account of its predecessor. What that granted since its last heartbeat is then
 * mostly known from reports.
 */
const MIN_KNOWN_SHARE = 0.5;

/** Where spending that an instance takes over was read. */
enum SpendingSource {
  /** The coordinator's last heartbeat. */
  Heartbeat = "heartbeat",
  /** The record in the platform's store. */
  Store = "store",
}

/** Dependencies of {@link SpendingRecorder}. */
export interface SpendingParts {
  /** Identifies this process in the records. */
  readonly recorderId: string;
  readonly members: MemberView;
  readonly coordinator: Coordinator;
  readonly platform: PlatformPort;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Window over which the operators' bounds limit workspaces' spending. */
  readonly windowMs: number;
}

/** The account in a coordinator's last heartbeat. */
interface ReceivedAccount extends AnnouncedAccount {
  readonly receivedAtMs: number;
}

/** The row with the records as this instance read or wrote it last. */
interface KnownRow extends SpendingRow {
  readonly atMs: number;
}

/** Records the spending of workspaces in the store, and restores it. */
export class SpendingRecorder implements InheritedAccount {
  readonly #parts: SpendingParts;
  /** Accounts by the instance id of the coordinator that sent them. */
  readonly #received = new Map<string, ReceivedAccount>();
  /** The row as this instance read it when it started. */
  #startRow?: KnownRow;
  /** Absent while the row has to be read before it is replaced. */
  #row?: KnownRow;
  /** Whether records of others in the row are to be taken over. */
  #takesOver = false;
  /**
   * Whether most of the fleet was lost with the predecessor, so that its last
   * account and the holders' reports may lack much of the spending.
   */
  #mayLackSpending = true;
  /** Increases when calls on their way become irrelevant. */
  #epoch = 0;
  /** Local time at which the call on its way was sent, if there is one. */
  #calledAtMs?: number;
  #notBeforeMs = -Infinity;
  #hasFailed = false;

  /** @param parts Dependencies. */
  constructor(parts: SpendingParts) {
    this.#parts = parts;
  }

  /**
   * Keeps the account in a coordinator's heartbeat. Those of several are kept,
   * as an instance that resumes after a pause may have missed a change.
   *
   * @param coordinatorId Instance id of the coordinator.
   * @param account The account.
   */
  spendingReceived(coordinatorId: string, account: AnnouncedAccount): void {
    const receivedAtMs = this.#nowMs();
    this.#received.set(coordinatorId, { ...account, receivedAtMs });
  }

  /**
   * Takes over the records in the platform's store, which were read as this
   * instance started.
   *
   * @param row The row with the records.
   */
  rowRead(row: SpendingRow): void {
    this.#startRow = { ...row, atMs: this.#nowMs() };
    this.#importStartRow();
  }

  /**
   * This instance became the coordinator: it continues from the spending in the
   * last heartbeats of its predecessor, and from the records, which it reads
   * before it replaces them.
   *
   * @param ranUntilMs Local time until which this instance received heartbeats.
   * After a stall, silence since then does not tell who was lost.
   */
  becameCoordinator(ranUntilMs: number): void {
    this.#takeOver(ranUntilMs);
    this.#epoch++;
    this.#calledAtMs = undefined;
    this.#row = undefined;
    this.#takesOver = true;
    this.#hasFailed = false;
    this.#notBeforeMs = -Infinity;
  }

  /**
   * This instance places requests in place of a silent coordinator, which may
   * still be running on the other side of a partition and may have allocated
   * what its last heartbeat reported as spent.
   */
  becameActingCoordinator(): void {
    this.#takeOver(this.#nowMs());
    this.#parts.coordinator.setRecording(false);
  }

  /** The records may be lost from the platform's store. */
  invalidateRecord(): void {
    this.#epoch++;
    this.#calledAtMs = undefined;
    this.#row = undefined;
    this.#parts.coordinator.spendingRecordLost();
  }

  /**
   * Keeps the record of this instance up to date; to be called regularly, by
   * the coordinator only.
   */
  record(): void {
    const nowMs = this.#nowMs();
    const isAnswering = !this.#hasFailed &&
      nowMs - (this.#calledAtMs ?? nowMs) < MAX_ANSWER_MS;
    this.#parts.coordinator.setRecording(isAnswering);
    if (this.#calledAtMs !== undefined || nowMs < this.#notBeforeMs) {
      return;
    }
    if (this.#row === undefined) {
      void this.#read();
      return;
    }
    const account = this.#parts.coordinator.nextSpendingRecord(nowMs);
    if (account !== undefined) {
      void this.#write(this.#row, account);
    }
  }

  async #read(): Promise<void> {
    const { coordinator, platform } = this.#parts;
    const epoch = this.#epoch;
    this.#calledAtMs = this.#nowMs();
    const row = await platform.readSpending().catch((error) => {
      reportUnhandled(error);
      return undefined;
    });
    if (epoch !== this.#epoch) {
      return;
    }
    this.#callEnded(row !== undefined);
    if (row === undefined) {
      return;
    }
    this.#row = { ...row, atMs: this.#nowMs() };
    if (this.#takesOver) {
      this.#takesOver = false;
      this.#startRow = undefined;
      const mayLackSpending = this.#mayLackSpending;
      this.#import(row.records, { mayLackSpending });
      const coverage = this.#coverageOf(row.records);
      const hasSpending = coverage.byWorkspace.size > 0;
      coordinator.spendingRecordFound(coverage, hasSpending);
      this.#row = { ...this.#row, records: [] };
    }
  }

  async #write(row: KnownRow, account: RecordedAccount): Promise<void> {
    const { coordinator, platform, recorderId } = this.#parts;
    const epoch = this.#epoch;
    const sentAtMs = this.#nowMs();
    this.#calledAtMs = sentAtMs;
    const others = this.#recentRecordsOfOthers(row);
    const { outcome, rowVersion } = await platform.recordSpending({
      records: [{ ...account, recorderId, ageMs: 0 }, ...others],
      rowVersion: row.rowVersion,
    }).catch((error) => {
      reportUnhandled(error);
      return { outcome: RecordOutcome.Unknown, rowVersion: row.rowVersion };
    });
    if (epoch !== this.#epoch) {
      return;
    }
    coordinator.spendingRecordEnded(outcome);
    this.#callEnded(outcome !== RecordOutcome.Unknown);
    if (outcome === RecordOutcome.Written) {
      this.#notBeforeMs = sentAtMs + MIN_RECORD_INTERVAL_MS;
      this.#row = { records: others, rowVersion, atMs: this.#nowMs() };
      return;
    }
    if (outcome === RecordOutcome.Rejected) {
      this.#notBeforeMs = sentAtMs + RETRY_DELAY_MS;
    } else {
      this.#row = undefined;
    }
    this.#parts.log.warn(LogPart.Platform, "spending not recorded", {
      outcome,
      workspaces: workspacesOf([account]),
    });
  }

  #callEnded(isAnswered: boolean): void {
    this.#calledAtMs = undefined;
    this.#hasFailed = !isAnswered;
    if (!isAnswered) {
      this.#notBeforeMs = this.#nowMs() + RETRY_DELAY_MS;
    }
  }

  /**
   * Records of coordinators that wrote the row after this one had read it: they
   * are on the other side of a partition, or about to give up the role.
   */
  #recentRecordsOfOthers({ records, atMs }: KnownRow): SpendingRecord[] {
    const { recorderId, windowMs } = this.#parts;
    return aged(records, this.#nowMs() - atMs).filter((record) =>
      record.recorderId !== recorderId && record.ageMs <= windowMs
    );
  }

  /** Whether most instances did not live when an account was last received. */
  #isMostOfFleetNew(ranUntilMs: number): boolean {
    const { members } = this.#parts;
    const receivedAtMs = [...this.#received.values()]
      .reduce((last, one) => Math.max(last, one.receivedAtMs), -Infinity);
    return members.shares.aliveSince(receivedAtMs, ranUntilMs) <
      MIN_KNOWN_SHARE;
  }

  #takeOver(ranUntilMs: number): void {
    const { coordinator, windowMs } = this.#parts;
    const nowMs = this.#nowMs();
    this.#mayLackSpending = this.#isMostOfFleetNew(ranUntilMs);
    for (const [coordinatorId, { receivedAtMs }] of this.#received) {
      if (nowMs - receivedAtMs > windowMs) {
        this.#received.delete(coordinatorId);
      }
    }
    coordinator.takeOverSpending(this.#knownCoverage(), nowMs);
    for (const [coordinatorId, account] of this.#received) {
      const ageMs = nowMs - account.receivedAtMs;
      const layers = mapLayers(
        account.layers,
        (one) => agedHistory(one, ageMs),
      );
      coordinator.importSpending({ layers }, nowMs);
      const from = SpendingSource.Heartbeat;
      this.#logTakenOver(layers, { from, coordinatorId, ageMs });
    }
    this.#importStartRow();
  }

  /** Until the row was read again, the one read at the start is the latest. */
  #importStartRow(): void {
    const records = this.#startRecords();
    if (records !== undefined) {
      this.#import(records, { mayLackSpending: this.#mayLackSpending });
    }
  }

  /** Records that were read at the start, unless this is too long ago. */
  #startRecords(): SpendingRecord[] | undefined {
    const { records = [], atMs = -Infinity } = this.#startRow ?? {};
    const elapsedMs = this.#nowMs() - atMs;
    return elapsedMs <= this.#parts.windowMs
      ? aged(records, elapsedMs)
      : undefined;
  }

  /**
   * What the record holds according to the last account that was received, or to
   * the row that was read at the start. An account without any comes from an
   * instance that has just started.
   */
  #knownCoverage(): SpendingCoverage {
    const latest = [...this.#received.values()]
      .filter(({ recorded }) => recorded.length > 0)
      .sort((a, b) => a.receivedAtMs - b.receivedAtMs).at(-1);
    if (latest === undefined) {
      return this.#coverageOf(this.#startRecords() ?? []);
    }
    const { share, recorded } = latest;
    const amounts = recorded
      .map(({ workspace, spent }) => [workspace, spent] as const);
    return { share, byWorkspace: new Map(amounts) };
  }

  /** What a fleet without other knowledge will find as spent. */
  #coverageOf(records: readonly SpendingRecord[]): SpendingCoverage {
    const { windowMs } = this.#parts;
    const nowMs = this.#nowMs();
    const sums = restored(records, { mayLackSpending: true, windowMs, nowMs });
    const amounts = workspacesOf(records)
      .map((workspace) => [workspace, sums.spent(workspace, nowMs)] as const);
    return { share: 1, byWorkspace: new Map(amounts) };
  }

  /**
   * Takes over what the records state.
   *
   * @param of Whether the last coordinators, one on each side of a partition,
   * may have handed out more than is known, up to what they recorded in advance.
   */
  #import(
    records: readonly SpendingRecord[],
    { mayLackSpending }: { mayLackSpending: boolean },
  ): void {
    const { coordinator, windowMs } = this.#parts;
    const nowMs = this.#nowMs();
    const sums = restored(records, { mayLackSpending, windowMs, nowMs });
    const layers = sums.layers(workspacesOf(records), nowMs);
    coordinator.importSpending({ layers }, nowMs);
    const ageMs = latestAgeMsOf(records);
    const from = SpendingSource.Store;
    this.#logTakenOver(layers, { from, ageMs, mayLackSpending });
  }

  #logTakenOver(
    layers: readonly SpendingLayer[],
    of: {
      from: SpendingSource;
      coordinatorId?: string;
      ageMs: number;
      mayLackSpending?: boolean;
    },
  ): void {
    this.#parts.log.info(LogPart.Placement, "spending taken over", {
      ...of,
      ageMs: Math.round(of.ageMs),
      spent: layers.flatMap(({ share, spending }) =>
        spending.map(({ workspace, spent }) =>
          `${workspace}: ${Math.round(spent)} of share ${share}`
        )
      ),
    });
  }

  #nowMs(): number {
    return this.#parts.clock.nowMs();
  }
}

/**
 * Reads the account that the heartbeat of a coordinator carries.
 *
 * @param heartbeat Fields of the heartbeat.
 * @returns The account; that of an earlier version tells nothing of the record.
 */
export function announcedAccountOf(
  heartbeat: Pick<
    Heartbeat,
    "spending" | "partSpending" | "spendingShare" | "recordedSpending"
  >,
): AnnouncedAccount {
  const { spending = [], partSpending = [] } = heartbeat;
  return {
    layers: [{ share: 1, spending }, ...partSpending],
    recorded: heartbeat.recordedSpending ?? [],
    share: heartbeat.spendingShare ?? 1,
  };
}

/**
 * Converts a record to spending as of now. The last one stays valid until it is
 * replaced, so that an old one may still be what was spent just before the fleet
 * was lost. All of it then counts as spent just now.
 */
function restoredLayers(
  record: SpendingRecord,
  { isLast }: { isLast: boolean },
): SpendingLayer[] {
  const { ageMs } = record;
  if (!isLast) {
    return mapLayers(record.layers, (history) => agedHistory(history, ageMs));
  }
  return ageMs <= MAX_FRESH_RECORD_AGE_MS
    ? mapLayers(record.layers, (history) => refilledHistory(history, ageMs))
    : mapLayers(record.layers, ({ workspace, spent }) => ({
      workspace,
      spent,
      bySecond: [spent],
    }));
}

function aged(
  records: readonly SpendingRecord[],
  elapsedMs: number,
): SpendingRecord[] {
  return records
    .map((record) => ({ ...record, ageMs: record.ageMs + elapsedMs }));
}

function workspacesOf(accounts: readonly RecordedAccount[]): string[] {
  const names = accounts.flatMap(({ layers, ahead }) =>
    [
      ...layers.flatMap(({ spending }) => spending),
      ...ahead,
    ].map(({ workspace }) => workspace)
  );
  return [...new Set(names)];
}

/** Spending as of now that records state. */
function restored(
  records: readonly SpendingRecord[],
  of: { mayLackSpending: boolean; windowMs: number; nowMs: number },
): SpendingByShare {
  const { mayLackSpending, windowMs, nowMs } = of;
  const sums = new SpendingByShare(windowMs);
  const latestAgeMs = latestAgeMsOf(records);
  for (const record of records) {
    const isLast = mayLackSpending &&
      record.ageMs - latestAgeMs <= MAX_RENEWAL_MS;
    restoredLayers(record, { isLast })
      .forEach((layer) => sums.merge(layer, nowMs));
    for (const { workspace, spent } of isLast ? record.ahead : []) {
      sums.of({ share: 1 }).insert(workspace, spent, nowMs);
    }
  }
  return sums;
}

function latestAgeMsOf(records: readonly SpendingRecord[]): number {
  return Math.min(...records.map(({ ageMs }) => ageMs));
}
