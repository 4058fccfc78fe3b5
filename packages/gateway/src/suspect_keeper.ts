/**
 * Keeps what is known of requests under which targets ended beyond the instances
 * that saw it: the coordinator records it, and a fleet that lost all its
 * instances takes it up.
 */

import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import type { SuspectUpdate } from "@chestnuthatch/routing/suspect_requests";
import { type EventLog, LogPart } from "./event_log.ts";
import type { Clock, PlatformPort } from "./ports.ts";
import { StoreRecorder } from "./store_recorder.ts";

/** Least time between two records: targets end some seconds apart. */
const RECORD_EVERY_MS = 500;
const RECORD_RETRY_MS = 1000;

/** No version of the board's. */
const NOT_RECORDED = -1;

/** What the keeper works with. */
export interface SuspectParts {
  readonly board: RoutingBoard;
  readonly platform: PlatformPort;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Records suspects, and takes them in. */
export class SuspectKeeper {
  readonly #parts: SuspectParts;
  readonly #recorder: StoreRecorder<SuspectUpdate[]>;
  /** What was recorded last, as the board's version of it. */
  #recordedVersion = 0;

  /** @param parts What the keeper works with. */
  constructor(parts: SuspectParts) {
    this.#parts = parts;
    const { clock, platform } = parts;
    this.#recorder = new StoreRecorder({
      clock,
      everyMs: RECORD_EVERY_MS,
      retryMs: RECORD_RETRY_MS,
      next: () => this.#next(),
      write: (record) => platform.recordSuspects(record),
      onFailed: (record) => this.#notRecorded(record),
    });
  }

  /**
   * @param news What another instance knows, or the fleet recorded.
   */
  told(news: readonly SuspectUpdate[]): void {
    const { board: { suspects }, clock, log } = this.#parts;
    const count = suspects.merge(news, clock.nowMs());
    if (count > 0) {
      const fingerprints = news.map(({ fingerprint }) => fingerprint);
      log.info(LogPart.Targets, "told of suspects", { count, fingerprints });
    }
  }

  /** The record may be gone: it is made anew, if there is anything to record. */
  recordAnew(): void {
    const { hasSuspects: isAny, version } = this.#parts.board.suspects;
    this.#recordedVersion = isAny ? NOT_RECORDED : version;
  }

  /** Records what is not recorded yet; for the coordinator alone. */
  record(): void {
    void this.#recorder.record();
  }

  #next(): SuspectUpdate[] | undefined {
    const { board: { suspects }, clock } = this.#parts;
    if (suspects.version === this.#recordedVersion) {
      return undefined;
    }
    this.#recordedVersion = suspects.version;
    return suspects.updatesToSend(clock.nowMs());
  }

  #notRecorded(record: readonly SuspectUpdate[]): void {
    this.#recordedVersion = NOT_RECORDED;
    this.#parts.log.warn(LogPart.Platform, "suspects not recorded", {
      fingerprints: record.map(({ fingerprint }) => fingerprint),
    });
  }
}
