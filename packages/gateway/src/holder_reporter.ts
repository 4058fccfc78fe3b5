/** The periodic reports of a holder to its coordinator. */

import {
  hasSeveralVersions,
  poolVersions,
} from "@chestnuthatch/routing/pool_versions";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import { type StreamOriginGroup } from "@chestnuthatch/routing/stream_origins";
import { SpendingLog } from "@chestnuthatch/routing/spending_log";
import type { HolderReport, WorkAsk } from "@chestnuthatch/routing/work_ask";
import { HolderRefusals } from "./holder_refusals.ts";
import type { OpenAsks } from "./open_asks.ts";

/** Time between two reports while there is nothing urgent to report. */
const REPORT_INTERVAL_MS = 500;

/**
 * Time between two reports while asks wait for a placement. A report lists
 * them, and the coordinator answers it by resending lost decisions: this is the
 * delay that a lost decision causes.
 */
const WAITING_REPORT_INTERVAL_MS = 250;

/**
 * Time between two reports while this holder refuses asks. Refused callers come
 * back after 500 ms at the earliest, when the coordinator has to know them.
 */
const REFUSING_REPORT_INTERVAL_MS = 250;

/** Streams in one report, which is a datagram; each takes nine bytes. */
const MAX_REPORTED_STREAMS = 1000;

/** Collaborators and settings of a `HolderReporter`. */
export interface HolderReporterParts {
  readonly board: RoutingBoard;
  readonly openAsks: OpenAsks;
  /** Window over which the operators' bounds limit workspaces' spending. */
  readonly spendingWindowMs: number;
}

/** A report that is to be sent now. */
export interface DueReport {
  readonly report: HolderReport;
  /** Whether the previous report, if any, went to another coordinator. */
  readonly isFirst: boolean;
}

/** Creates the reports of one holder, and decides when one is due. */
export class HolderReporter {
  readonly #parts: HolderReporterParts;
  readonly #spending: SpendingLog;
  readonly #refusals = new HolderRefusals();
  #reportedAtMs = -Infinity;
  #reportedToId = "";

  /** @param parts Collaborators and settings. */
  constructor(parts: HolderReporterParts) {
    this.#parts = parts;
    this.#spending = new SpendingLog(parts.spendingWindowMs);
  }

  /**
   * Counts an ask that this holder refused, for the next report.
   *
   * @param ask The ask.
   */
  recordRefusal(ask: WorkAsk): void {
    this.#refusals.record(ask);
  }

  /**
   * Charges the cost of an ask that got a placement to its workspace.
   *
   * @param ask The ask.
   * @param nowMs The local time.
   */
  recordPlacement(ask: WorkAsk, nowMs: number): void {
    if (ask.cost > 0) {
      this.#spending.record(ask.workspace, ask.cost, nowMs);
    }
  }

  /**
   * Creates a report if the interval has passed or the coordinator has changed.
   *
   * @param coordinatorId Instance id of the present coordinator.
   * @param nowMs The local time.
   * @returns The report, or undefined if none is due.
   */
  dueReport(coordinatorId: string, nowMs: number): DueReport | undefined {
    const isFirst = coordinatorId !== this.#reportedToId;
    const intervalMs = this.#parts.openAsks.waiting().length > 0
      ? WAITING_REPORT_INTERVAL_MS
      : this.#refusals.isPending
      ? REFUSING_REPORT_INTERVAL_MS
      : REPORT_INTERVAL_MS;
    if (!isFirst && nowMs - this.#reportedAtMs < intervalMs) {
      return undefined;
    }
    this.#reportedAtMs = nowMs;
    this.#reportedToId = coordinatorId;
    return { report: this.#createReport(isFirst, nowMs), isFirst };
  }

  #createReport(isFirst: boolean, nowMs: number): HolderReport {
    const { board: { members, suspects }, openAsks } = this.#parts;
    const streams = this.#streamsToReport(nowMs);
    const refused = this.#refusals.take();
    const suspectsToReport = isFirst
      ? suspects.updatesToSend(nowMs)
      : suspects.recentUpdates(nowMs);
    const waiting = openAsks.waiting()
      .filter(({ coordinatorId }) => coordinatorId === this.#reportedToId);
    return {
      holderId: members.selfId,
      incarnation: members.selfIncarnation,
      running: openAsks.running(),
      waiting: waiting.map(({ ask }) => ask.askId),
      spent: this.#spending.totals(nowMs),
      ...(suspectsToReport.length > 0
        ? { suspects: suspectsToReport }
        : undefined),
      ...(streams.length > 0 ? { streams } : undefined),
      ...(refused.length > 0 ? { refused } : undefined),
    };
  }

  /** Streams of the pools whose targets have several versions. */
  #streamsToReport(nowMs: number): StreamOriginGroup[] {
    const { board } = this.#parts;
    const pools = poolVersions(board, nowMs).filter(hasSeveralVersions)
      .map(({ pool }) => pool);
    return pools.length === 0 ? [] : board.streamOrigins.groups({
      pools: new Set(pools),
      nowMs,
      onlyOwn: true,
      maxStreams: MAX_REPORTED_STREAMS,
    });
  }
}
