/** What a holder tells its coordinator regularly, and when. */

import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import { SpendingLog } from "@chestnuthatch/routing/spending_log";
import type { HolderReport, WorkAsk } from "@chestnuthatch/routing/work_ask";
import type { OpenAsks } from "./open_asks.ts";

/** Time between two reports of what is open. */
const REPORT_MS = 500;

/**
 * The same while asks wait. A report names them all, and the coordinator repeats
 * decisions that were lost; a lost decision costs this much.
 */
const WAITING_REPORT_MS = 250;

/** What reports are made from. */
export interface ReportParts {
  readonly board: RoutingBoard;
  readonly open: OpenAsks;
  /** Time over which the operators judge what workspaces spend. */
  readonly spendingWindowMs: number;
}

/** A report that is due. */
export interface DueReport {
  readonly report: HolderReport;
  /** Whether the coordinator gets its first one from here. */
  readonly isFirst: boolean;
}

/** Makes the reports of one holder. */
export class HolderReports {
  readonly #parts: ReportParts;
  readonly #spending: SpendingLog;
  #madeAtMs = -Infinity;
  #madeFor = "";

  /** @param parts What reports are made from. */
  constructor(parts: ReportParts) {
    this.#parts = parts;
    this.#spending = new SpendingLog(parts.spendingWindowMs);
  }

  /**
   * Notes what the workspace of an ask spends with the place that it got.
   *
   * @param ask The ask.
   * @param nowMs The local time.
   */
  placed(ask: WorkAsk, nowMs: number): void {
    if (ask.cost > 0) {
      this.#spending.record(ask.workspace, ask.cost, nowMs);
    }
  }

  /**
   * @param coordinatorId Who coordinates now.
   * @param nowMs The local time.
   * @returns A report, where one is due.
   */
  due(coordinatorId: string, nowMs: number): DueReport | undefined {
    const isFirst = coordinatorId !== this.#madeFor;
    const everyMs = this.#parts.open.waiting().length > 0
      ? WAITING_REPORT_MS
      : REPORT_MS;
    if (!isFirst && nowMs - this.#madeAtMs < everyMs) {
      return undefined;
    }
    this.#madeAtMs = nowMs;
    this.#madeFor = coordinatorId;
    return { report: this.#make(isFirst, nowMs), isFirst };
  }

  #make(isFirst: boolean, nowMs: number): HolderReport {
    const { board: { members, suspects }, open } = this.#parts;
    const told = isFirst
      ? suspects.updatesToSend(nowMs)
      : suspects.recentUpdates(nowMs);
    const waiting = open.waiting()
      .filter(({ coordinatorId }) => coordinatorId === this.#madeFor);
    return {
      holderId: members.selfId,
      running: open.running(),
      waiting: waiting.map(({ ask }) => ask.askId),
      spent: this.#spending.totals(nowMs),
      ...(told.length > 0 ? { suspects: told } : undefined),
    };
  }
}
