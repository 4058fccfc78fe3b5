/**
 * Keeps what workspaces spent beyond the coordinator that counts it: another
 * coordinator goes on from what heartbeats told, and a fleet that lost all its
 * instances from what the platform's store has.
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

/** Least time between two records of spending: five writes a second at most. */
const RECORD_PAUSE_MS = 200;

/** Pause after a record that the platform did not take. */
const RECORD_RETRY_MS = 1000;

/** Time after which a new coordinator makes its first record. */
const FIRST_RECORD_MS = 1000;

/**
 * Age up to which a record's times are believed: it is made anew every second,
 * and a lost fleet is back within about two.
 */
const FRESH_RECORD_MS = 3500;

/** What the keeper works with. */
export interface SpendingParts {
  readonly board: RoutingBoard;
  readonly coordinator: Coordinator;
  readonly platform: PlatformPort;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Records spending, and takes it up. */
export class SpendingKeeper {
  readonly #parts: SpendingParts;
  readonly #recorder: StoreRecorder<SpendingHistory[]>;
  /** What the coordinator told last of workspaces near their bounds. */
  #told: readonly SpendingHistory[] = [];
  #toldAtMs = 0;

  /** @param parts What the keeper works with. */
  constructor(parts: SpendingParts) {
    this.#parts = parts;
    const { coordinator, platform, clock } = parts;
    this.#recorder = new StoreRecorder({
      clock,
      everyMs: RECORD_PAUSE_MS,
      retryMs: RECORD_RETRY_MS,
      next: () => coordinator.spendingToRecord(clock.nowMs()),
      write: (record) => platform.recordSpending(record),
      onFailed: (record) => this.#notRecorded(record),
    });
  }

  /** @param spending What a heartbeat of the coordinator told. */
  told(spending: readonly SpendingHistory[]): void {
    this.#told = spending;
    this.#toldAtMs = this.#parts.clock.nowMs();
  }

  /**
   * @param record What the fleet recorded before it lost its instances.
   * @param ageMs Its age.
   */
  takeUpRecord(record: readonly SpendingHistory[], ageMs: number): void {
    const { coordinator, clock } = this.#parts;
    // The record holds until it is made anew, so that an old one may still be
    // what was spent just before the fleet was lost: all of it, just now.
    const isFresh = ageMs <= FRESH_RECORD_MS;
    const histories = record.map((history) =>
      isFresh ? agedHistory(history, ageMs) : allJustNow(history)
    );
    coordinator.importSpending(histories, clock.nowMs());
  }

  /**
   * This instance has become the coordinator: it goes on from what the one
   * before it told. A part of the fleet that was cut off takes its share of the
   * spending as it takes its share of the allotments, so that the parts together
   * hand out no more than the whole.
   */
  becameCoordinator(): void {
    const { board, coordinator, clock } = this.#parts;
    this.#takeUpTold(board.members.reachableShare(clock.nowMs()));
    coordinator.invalidateRecord();
    // By then all holders have reported what they spent.
    this.#recorder.holdFor(FIRST_RECORD_MS + RECORD_PAUSE_MS);
  }

  /**
   * This instance gives places in place of a coordinator that is silent, which
   * may live on elsewhere and have handed out what it told last.
   *
   * @param share Part of the fleet's allotments that it hands out.
   */
  standsIn(share: number): void {
    this.#takeUpTold(share);
  }

  #takeUpTold(share: number): void {
    const { coordinator, clock } = this.#parts;
    const nowMs = clock.nowMs();
    const ageMs = nowMs - this.#toldAtMs;
    const own = this.#told
      .map((history) => partOf(agedHistory(history, ageMs), share));
    coordinator.importSpending(own, nowMs);
  }

  /**
   * Records what workspaces spent, unless the last record still holds; for the
   * coordinator alone.
   *
   * @returns Once the platform has it or did not take it.
   */
  record(): Promise<void> {
    return this.#recorder.record();
  }

  #notRecorded(record: readonly SpendingHistory[]): void {
    const { coordinator, log } = this.#parts;
    log.warn(LogPart.Platform, "spending not recorded", {
      workspaces: record.map(({ workspace }) => workspace),
    });
    coordinator.invalidateRecord();
  }
}

function allJustNow({ workspace, spent }: SpendingHistory): SpendingHistory {
  return { workspace, spent, bySecond: [spent] };
}

function partOf(
  { workspace, spent, bySecond }: SpendingHistory,
  share: number,
): SpendingHistory {
  return {
    workspace,
    spent: spent * share,
    bySecond: bySecond.map((cost) => cost * share),
  };
}
