/**
 * Holds workspaces to their allotments over a sliding window, as the operators
 * judge them: what was spent within the window may not pass what the allotment
 * and its tolerance give for it.
 */

import type { Allotment } from "./fleet_configuration.ts";
import {
  type SpendingHistory,
  SpendingLog,
  withRecentCost,
  type WorkspaceSpending,
} from "./spending_log.ts";

const MS_PER_S = 1000;

/**
 * Share of the tolerance that is handed out. Where the whole fleet is heard the
 * account is exact; the rest covers charges that only cut-off or killed
 * coordinators knew of.
 */
const TOLERANCE_USED_SHARE = 0.75;

/**
 * Part of the bound that each rank below the highest leaves to those above it,
 * and the most that any leaves, so that where an allotment runs short the least
 * valuable work is refused first. With the tolerance, every rank still gets what
 * the plain allotment allows.
 */
const RESERVE_PER_RANK_SHARE = 0.05;
const MAX_RESERVE_SHARE = 0.1;

/**
 * Share of a window's bound from which on spending is recorded in the platform's
 * store. A fleet that lost its memory and finds no record hands out the other
 * part of the bound until it has seen a whole window. Workspaces usually spend
 * about half of their allotments, so calm days write nothing.
 */
const RECORDED_SHARE = 0.5;

/** Growth, as a share of the bound, after which spending is recorded again. */
const RECORD_STEP_SHARE = 0.05;

/**
 * Age at which a record of workspaces near their bounds is made anew, so that
 * their spending leaves the account of a fleet that was lost second by second,
 * as it leaves the window, and not all at once. One write a second, while some
 * workspace has spent half of its bound.
 */
const MAX_RECORD_AGE_MS = 1000;

/**
 * Share of the bound below which a recorded workspace is taken off the record,
 * well under where it came on, so that it does not go on and off.
 */
const UNRECORDED_SHARE = 0.35;

/**
 * Age that a report of a holder may have: what was charged since is not in it.
 */
const MAX_REPORT_AGE_MS = 500;

/** How far spending may go beyond an allotment, by the operators' word. */
export interface AllotmentTolerance {
  readonly windowMs: number;
  /** Part of the allotment of one window. */
  readonly overage: number;
  /** Cost units. */
  readonly slack: number;
}

/** What a ledger may hand out, and when. */
export interface LedgerScope {
  /** Share of the fleet's allotments, above 0, at most 1. */
  readonly share: number;
  /** How long the fleet has remembered all spending. */
  readonly memoryMs: number;
  readonly nowMs: number;
}

/** What a request cost its workspace. */
export interface Charge {
  readonly workspace: string;
  readonly cost: number;
}

/** Outcome of a charge. */
export interface ChargeResult {
  readonly allowed: boolean;
  /** When the charge would pass, where it does not. */
  readonly retryAfterMs: number;
  /** Cost units spent in the window, and the bound on them. */
  readonly spent: number;
  readonly bound: number;
}

/** Spending of all workspaces, here and through other coordinators. */
export class AllotmentLedger {
  #tolerance: AllotmentTolerance;
  readonly #ownSpending: SpendingLog;
  /** Spent through other coordinators, as holders told last. */
  readonly #spentElsewhere = new Map<string, number>();
  /** Bounds of one window, by workspace, as last charged by. */
  readonly #windowBounds = new Map<string, number>();
  /** The last record of this ledger; absent until it has made one. */
  #recorded?: Map<string, number>;
  #recordedAtMs = -Infinity;
  /**
   * Until when the window holds spending of which only holders' reports tell, or
   * another coordinator's account.
   */
  #incompleteUntilMs = -Infinity;
  /** Workspaces whose spending before the start of this process is known. */
  readonly #imported = new Set<string>();

  /** @param tolerance How far spending may go beyond an allotment. */
  constructor(tolerance: AllotmentTolerance) {
    this.#tolerance = tolerance;
    this.#ownSpending = new SpendingLog(tolerance.windowMs);
  }

  /**
   * @param tolerance The tolerance from now on. Spending is remembered for as
   * long as the window was at the start.
   */
  setTolerance(tolerance: AllotmentTolerance): void {
    this.#tolerance = tolerance;
  }

  /**
   * Charges a request to its workspace if the allotment allows it.
   *
   * @param workspace Name of the workspace.
   * @param allotment What it may spend, over the whole fleet.
   * @param of The request's cost and its rank within the workspace, and what
   * this ledger may hand out.
   * @returns Whether it was charged, and else when to come back.
   */
  charge(
    workspace: string,
    allotment: Allotment,
    of: { cost: number; rank: number; scope: LedgerScope },
  ): ChargeResult {
    const { cost, rank, scope } = of;
    const { nowMs } = scope;
    const spent = this.#spent(workspace, nowMs);
    const reservedShare = Math.min(
      MAX_RESERVE_SHARE,
      RESERVE_PER_RANK_SHARE * rank,
    );
    const bound = this.#bound(workspace, allotment, scope) *
      (1 - reservedShare);
    // A request dearer than the bound passes when nothing else was spent;
    // else it could never run at all.
    if (spent > 0 && spent + cost > bound) {
      const excess = spent + cost - bound;
      const retryAfterMs = this.#ownSpending
        .timeUntilExpiredMs(workspace, excess, nowMs);
      return { allowed: false, retryAfterMs, spent, bound };
    }
    this.#ownSpending.record(workspace, cost, nowMs);
    return { allowed: true, retryAfterMs: 0, spent, bound };
  }

  /**
   * Gives back a charge whose request never ran.
   *
   * @param charge What was charged, and to whom.
   * @param nowMs The local time.
   */
  refund({ workspace, cost }: Charge, nowMs: number): void {
    this.#ownSpending.record(workspace, -cost, nowMs);
  }

  /**
   * A part of the spending within the window is known from others only: this
   * ledger is new, or a holder reports after it was silent.
   *
   * @param nowMs The local time.
   */
  markIncomplete(nowMs: number): void {
    this.#incompleteUntilMs = nowMs + this.#tolerance.windowMs;
  }

  /**
   * Counts what was charged elsewhere: by a coordinator before this one, or by
   * holders on their own.
   *
   * @param totals What all holders told that they spent, wherever charged.
   * @param nowMs The local time.
   */
  setReportedTotals(totals: readonly WorkspaceSpending[], nowMs: number): void {
    this.#spentElsewhere.clear();
    // Charges that no report can tell of yet must not stand for others' spending.
    const reportedUntilMs = nowMs < this.#incompleteUntilMs
      ? nowMs - MAX_REPORT_AGE_MS
      : nowMs;
    for (const { workspace, spent } of totals) {
      const own = this.#ownSpending.spentUntil(
        workspace,
        reportedUntilMs,
        nowMs,
      );
      this.#spentElsewhere.set(workspace, Math.max(0, spent - own));
    }
  }

  /**
   * Tells what has to be recorded so that a fleet that loses all its instances
   * still knows it. What the last record says is never less than what its
   * workspaces have spent, however old it is.
   *
   * @param nowMs The local time.
   * @returns Spending of all workspaces near their bounds, where the last record
   * no longer holds; undefined where it does.
   */
  spendingToRecord(nowMs: number): SpendingHistory[] | undefined {
    const nearBound = this.spendingNearBound(nowMs);
    const isCurrent = this.#recorded !== undefined &&
      nearBound.every(({ workspace, spent }) =>
        spent <= (this.#recorded!.get(workspace) ?? 0)
      ) && !this.#isRecordStale(nowMs);
    if (isCurrent) {
      return undefined;
    }
    // What is spent until the next record is counted ahead.
    const record = nearBound.map((history) =>
      withRecentCost(
        history,
        RECORD_STEP_SHARE * this.#windowBounds.get(history.workspace)!,
      )
    );
    this.#recorded = new Map(record.map((r) => [r.workspace, r.spent]));
    this.#recordedAtMs = nowMs;
    return record;
  }

  /** Forgets the last record: another ledger may have made a newer one. */
  invalidateRecord(): void {
    this.#recorded = undefined;
  }

  /** Whether the record holds a workspace to what it spent long ago. */
  #isRecordStale(nowMs: number): boolean {
    const ageMs = nowMs - this.#recordedAtMs;
    if (this.#recorded!.size > 0 && ageMs >= MAX_RECORD_AGE_MS) {
      return true;
    }
    return [...this.#recorded!.keys()].some((workspace) => {
      const bound = this.#windowBounds.get(workspace) ?? 0;
      return this.#spent(workspace, nowMs) < bound * UNRECORDED_SHARE;
    });
  }

  /**
   * @param nowMs The local time.
   * @returns Spending of the workspaces that are near their bounds.
   */
  spendingNearBound(nowMs: number): SpendingHistory[] {
    return [...this.#windowBounds].flatMap(([workspace, bound]) => {
      const spent = this.#spent(workspace, nowMs);
      const isNearBound = spent >= bound * (RECORDED_SHARE - RECORD_STEP_SHARE);
      return isNearBound ? [this.#history(workspace, nowMs)] : [];
    });
  }

  /** What was spent elsewhere has no times: it counts as spent just now. */
  #history(workspace: string, nowMs: number): SpendingHistory {
    const own = this.#ownSpending.history(workspace, nowMs);
    return withRecentCost(own, this.#spentElsewhere.get(workspace) ?? 0);
  }

  /**
   * Goes on from the account of another ledger. Where this one has counted more,
   * its own account stands: the two have spending in common, and adding them up
   * held workspaces to nothing for a window after every second loss of a
   * coordinator.
   *
   * @param histories What workspaces spent, and when.
   * @param atMs Local time that the ages in it count from.
   */
  importHistories(histories: readonly SpendingHistory[], atMs: number): void {
    this.markIncomplete(atMs);
    for (const history of histories) {
      const own = this.#ownSpending.history(history.workspace, atMs);
      this.#imported.add(history.workspace);
      if (own.spent < history.spent) {
        // What was charged here last may not have been told.
        const lastSecond = own.bySecond[0] ?? 0;
        this.#ownSpending.setHistory(withRecentCost(history, lastSecond), atMs);
      }
    }
  }

  #spent(workspace: string, nowMs: number): number {
    return this.#ownSpending.spent(workspace, nowMs) +
      (this.#spentElsewhere.get(workspace) ?? 0);
  }

  #bound(
    workspace: string,
    allotment: Allotment,
    scope: LedgerScope,
  ): number {
    const { windowMs, overage, slack } = this.#tolerance;
    const { perS, burst } = allotment;
    const windowBound = (perS * windowMs / MS_PER_S + burst) *
        (1 + overage * TOLERANCE_USED_SHARE) + slack * TOLERANCE_USED_SHARE;
    this.#windowBounds.set(workspace, windowBound);
    const isFullyKnown = scope.memoryMs >= windowMs ||
      this.#imported.has(workspace);
    const usableShare = isFullyKnown ? 1 : 1 - RECORDED_SHARE;
    return windowBound * usableShare * scope.share;
  }
}
