/**
 * Preserves the spending of workspaces beyond the lifetime of the coordinator
 * that counts it: a new coordinator continues from the last heartbeats of the
 * old one, and a fleet that lost all its instances from a record in the
 * platform's store.
 */

import type { Coordinator } from "@chestnuthatch/routing/coordinator";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import {
  agedHistory,
  type SpendingHistory,
} from "@chestnuthatch/routing/spending_log";
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
  readonly board: RoutingBoard;
  readonly coordinator: Coordinator;
  readonly platform: PlatformPort;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Records the spending of workspaces in the store, and restores it. */
export class SpendingRecorder {
  readonly #parts: SpendingParts;
  readonly #recorder: StoreRecorder<SpendingHistory[]>;
  /**
   * Spending of workspaces near their bounds in the coordinator's last
   * heartbeat.
   */
  #received: readonly SpendingHistory[] = [];
  #receivedAtMs = 0;

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
   * @param spending Spending by workspace from a heartbeat of the coordinator.
   */
  spendingReceived(spending: readonly SpendingHistory[]): void {
    this.#received = spending;
    this.#receivedAtMs = this.#parts.clock.nowMs();
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
   * This instance became the coordinator: it continues from the spending in the
   * last heartbeats of its predecessor. Each side of a network partition takes
   * over its share of the spending just as its share of the allotments, so that
   * all sides together allocate no more than the whole fleet may.
   */
  becameCoordinator(): void {
    const { board, coordinator, clock } = this.#parts;
    this.#restoreReceived(board.members.reachableShare(clock.nowMs()));
    coordinator.invalidateRecord();
    // By then, all holders have reported what they spent.
    this.#recorder.pauseFor(FIRST_RECORD_DELAY_MS + MIN_RECORD_INTERVAL_MS);
  }

  /**
   * This instance places requests in place of a silent coordinator, which may
   * still be running on the other side of a partition and may have allocated
   * what its last heartbeat reported as spent.
   *
   * @param share Share of the fleet's allotments that this instance allocates.
   */
  becameActingCoordinator(share: number): void {
    this.#restoreReceived(share);
  }

  #restoreReceived(share: number): void {
    const { coordinator, clock } = this.#parts;
    const nowMs = clock.nowMs();
    const ageMs = nowMs - this.#receivedAtMs;
    const own = this.#received
      .map((history) => scaled(agedHistory(history, ageMs), share));
    coordinator.importSpending(own, nowMs);
    this.#logTakenOver(own, { from: SpendingSource.Heartbeat, ageMs, share });
  }

  #logTakenOver(
    histories: readonly SpendingHistory[],
    of: { from: SpendingSource; ageMs: number; share?: number },
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

function scaled(
  { workspace, spent, bySecond }: SpendingHistory,
  share: number,
): SpendingHistory {
  return {
    workspace,
    spent: spent * share,
    bySecond: bySecond.map((cost) => cost * share),
  };
}
