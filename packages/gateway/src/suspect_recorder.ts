/**
 * Preserves the suspects, requests under which targets ended, beyond the
 * lifetime of the instances that observed them: the coordinator records them in
 * the platform's store, and a fleet that lost all its instances restores them.
 */

import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import type { SuspectUpdate } from "@chestnuthatch/routing/crash_suspects";
import { type EventLog, LogPart } from "./event_log.ts";
import type { Clock, PlatformPort } from "./ports.ts";
import { StoreRecorder } from "./store_recorder.ts";

/**
 * Minimum time between two records. Copies of one request end targets within
 * 0.1 s of each other, and all instances may be lost right after that.
 */
const MIN_RECORD_INTERVAL_MS = 50;

/** Delay before a failed write of the record is retried. */
const RECORD_RETRY_MS = 1000;

/** Recorded version while there is no valid record; differs from all others. */
const NOT_RECORDED = -1;

/** Dependencies of {@link SuspectRecorder}. */
export interface SuspectParts {
  readonly board: RoutingBoard;
  readonly platform: PlatformPort;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Records suspects in the store, and merges those of other instances. */
export class SuspectRecorder {
  readonly #parts: SuspectParts;
  readonly #recorder: StoreRecorder<SuspectUpdate[]>;
  /** Version of the board's suspects that was recorded last. */
  #recordedVersion = 0;

  /** @param parts Dependencies. */
  constructor(parts: SuspectParts) {
    this.#parts = parts;
    const { clock, platform } = parts;
    this.#recorder = new StoreRecorder({
      clock,
      minIntervalMs: MIN_RECORD_INTERVAL_MS,
      retryDelayMs: RECORD_RETRY_MS,
      next: () => this.#nextRecord(),
      write: (record) => platform.recordSuspects(record),
      onFailed: (record) => this.#recordFailed(record),
    });
  }

  /**
   * Merges suspects into the board, and logs them if any is new.
   *
   * @param updates Suspects from another instance, or from the fleet's record.
   */
  suspectsReceived(updates: readonly SuspectUpdate[]): void {
    const { board: { suspects }, clock, log } = this.#parts;
    const count = suspects.merge(updates, clock.nowMs());
    if (count > 0) {
      const fingerprints = updates.map(({ fingerprint }) => fingerprint);
      log.info(LogPart.Targets, "suspects received", { count, fingerprints });
    }
  }

  /**
   * Lets the next call of `record` write all suspects again, if there are any,
   * since the record may be lost.
   */
  invalidateRecord(): void {
    const { hasSuspects, version } = this.#parts.board.suspects;
    this.#recordedVersion = hasSuspects ? NOT_RECORDED : version;
  }

  /** Records suspects that changed; called by the coordinator only. */
  record(): void {
    void this.#recorder.record();
  }

  #nextRecord(): SuspectUpdate[] | undefined {
    const { board: { suspects }, clock } = this.#parts;
    if (suspects.version === this.#recordedVersion) {
      return undefined;
    }
    this.#recordedVersion = suspects.version;
    return suspects.updatesToStore(clock.nowMs());
  }

  #recordFailed(record: readonly SuspectUpdate[]): void {
    this.#recordedVersion = NOT_RECORDED;
    this.#parts.log.warn(LogPart.Platform, "suspects not recorded", {
      fingerprints: record.map(({ fingerprint }) => fingerprint),
    });
  }
}
