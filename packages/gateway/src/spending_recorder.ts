/**
 * Preserves the spending of workspaces beyond the lifetime of the coordinator
 * that counts it: a new coordinator continues from the last heartbeats of the
 * old one, and a fleet that lost all its instances from a record in the
 * platform's store.
 */

import type { Coordinator } from "@chestnuthatch/routing/coordinator";
import {
  agedHistory,
  scaledHistory,
  type SpendingHistory,
} from "@chestnuthatch/routing/spending_log";
import type { InheritedAccount } from "./assigning_role.ts";
import { type EventLog, LogPart } from "./event_log.ts";
import type { Clock, PlatformPort } from "./ports.ts";
import { StoreRecorder } from "./store_recorder.ts";

/** Minimum time between two records: at most five writes per second. */
const MIN_RECORD_INTERVAL_MS = 200;

/** Delay before a failed write of the record is retried. */
const RECORD_RETRY_MS = 1000;

/** Time after which a new coordinator writes its first record. */
const FIRST_RECORD_DELAY_MS = 1000;

/**
 * Largest age of a record at which its times are used: it is rewritten every
 * second, and a fleet that lost all its instances is back within about two.
 */
const MAX_FRESH_RECORD_AGE_MS = 3500;

/** Where spending that an instance takes over was read. */
enum SpendingSource {
  /** The coordinator's last heartbeat. */
  Heartbeat = "heartbeat",
  /** The record in the platform's store. */
  Store = "store",
}

/** Dependencies of {@link SpendingRecorder}. */
export interface SpendingParts {
  readonly coordinator: Coordinator;
  readonly platform: PlatformPort;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Window over which the operators' bounds limit workspaces' spending. */
  readonly windowMs: number;
}

/** Spending in a coordinator's last heartbeat. */
interface ReceivedAccount {
  readonly spending: readonly SpendingHistory[];
  /** Share of the fleet that it covers. */
  readonly share: number;
  readonly receivedAtMs: number;
}

/** Records the spending of workspaces in the store, and restores it. */
export class SpendingRecorder implements InheritedAccount {
  readonly #parts: SpendingParts;
  readonly #recorder: StoreRecorder<SpendingHistory[]>;
  /** Accounts by the instance id of the coordinator that sent them. */
  readonly #received = new Map<string, ReceivedAccount>();

  /** @param parts Dependencies. */
  constructor(parts: SpendingParts) {
    this.#parts = parts;
    const { coordinator, platform, clock } = parts;
    this.#recorder = new StoreRecorder({
      clock,
      minIntervalMs: MIN_RECORD_INTERVAL_MS,
      retryDelayMs: RECORD_RETRY_MS,
      next: () => coordinator.spendingToRecord(clock.nowMs()),
      write: (record) => platform.recordSpending(record),
      onFailed: (record) => this.#recordFailed(record),
    });
  }

  /**
   * Keeps the account in a coordinator's heartbeat. Those of several are kept,
   * as an instance that resumes after a pause may have missed a change.
   *
   * @param coordinatorId Instance id of the coordinator.
   * @param account Its spending by workspace, and the share of the fleet that
   * this covers.
   */
  spendingReceived(
    coordinatorId: string,
    account: { spending: readonly SpendingHistory[]; share: number },
  ): void {
    const receivedAtMs = this.#parts.clock.nowMs();
    this.#received.set(coordinatorId, { ...account, receivedAtMs });
  }

  /**
   * Restores the spending from the platform's store.
   *
   * @param record What the fleet recorded before it lost its instances.
   * @param ageMs Age of the record.
   */
  restoreRecord(record: readonly SpendingHistory[], ageMs: number): void {
    const { coordinator, clock } = this.#parts;
    // A record stays valid until it is replaced, so an old one may still be
    // what was spent just before the fleet was lost. All of it then counts as
    // spent just now.
    const isFresh = ageMs <= MAX_FRESH_RECORD_AGE_MS;
    const histories = record.map((history) =>
      isFresh ? agedHistory(history, ageMs) : spentJustNow(history)
    );
    coordinator.importSpending(histories, clock.nowMs());
    this.#logTakenOver(histories, { from: SpendingSource.Store, ageMs });
  }

  /**
   * The fleet's records were read: of workspaces without a record, the fleet had
   * spent little.
   */
  recordsRead(): void {
    const { coordinator, clock } = this.#parts;
    coordinator.importSpending([], clock.nowMs());
  }

  /**
   * This instance became the coordinator: it continues from the spending in the
   * last heartbeats of its predecessor.
   */
  becameCoordinator(): void {
    this.#takeOver();
    this.#parts.coordinator.invalidateRecord();
    // By then, all holders have reported what they spent.
    this.#recorder.pauseFor(FIRST_RECORD_DELAY_MS + MIN_RECORD_INTERVAL_MS);
  }

  /**
   * This instance places requests in place of a silent coordinator, which may
   * still be running on the other side of a partition and may have allocated
   * what its last heartbeat reported as spent.
   */
  becameActingCoordinator(): void {
    this.#takeOver();
  }

  #takeOver(): void {
    const { coordinator, clock, windowMs } = this.#parts;
    const nowMs = clock.nowMs();
    coordinator.takeOverSpending(nowMs);
    for (const [coordinatorId, account] of this.#received) {
      const ageMs = nowMs - account.receivedAtMs;
      if (ageMs > windowMs) {
        this.#received.delete(coordinatorId);
        continue;
      }
      const histories = account.spending.map((history) =>
        agedHistory(scaledHistory(history, 1 / account.share), ageMs)
      );
      coordinator.importSpending(histories, nowMs);
      const from = SpendingSource.Heartbeat;
      this.#logTakenOver(histories, { from, coordinatorId, ageMs });
    }
  }

  #logTakenOver(
    histories: readonly SpendingHistory[],
    of: { from: SpendingSource; coordinatorId?: string; ageMs: number },
  ): void {
    this.#parts.log.info(LogPart.Placement, "spending taken over", {
      ...of,
      ageMs: Math.round(of.ageMs),
      spent: histories.map(({ workspace, spent }) =>
        `${workspace}: ${Math.round(spent)}`
      ),
    });
  }

  /**
   * Records what workspaces spent, unless the last record is still valid;
   * called by the coordinator only.
   *
   * @returns Resolves when the write has succeeded or failed.
   */
  record(): Promise<void> {
    return this.#recorder.record();
  }

  #recordFailed(record: readonly SpendingHistory[]): void {
    const { coordinator, log } = this.#parts;
    log.warn(LogPart.Platform, "spending not recorded", {
      workspaces: record.map(({ workspace }) => workspace),
    });
    coordinator.invalidateRecord();
  }
}

function spentJustNow({ workspace, spent }: SpendingHistory): SpendingHistory {
  return { workspace, spent, bySecond: [spent] };
}
