/**
 * Rate-limits the spending of workspaces to their allotments over a sliding
 * window. The operators' rule is that the spending within any window may not
 * exceed what the allotment and its tolerance allow for it.
 */

import type { Allotment } from "./fleet_configuration.ts";
import { type BoundScope, InheritedSpending } from "./inherited_spending.ts";
import type { ReportedSpending } from "./reported_spending.ts";
import {
  addedHistories,
  type SpendingHistory,
  SpendingLog,
  withRecentCost,
} from "./spending_log.ts";

const MS_PER_S = 1000;

/**
 * Share of the tolerance that is handed out. While all instances are reachable
 * the accounting is exact; the rest of the tolerance covers charges known only
 * to coordinators that were partitioned or killed.
 */
const TOLERANCE_USED_SHARE = 0.75;

/**
 * Share of the bound that each rank below the highest reserves for those above
 * it, and the upper bound of that reserve, so that the least valuable work is
 * refused first where an allotment runs short. With the tolerance, every rank
 * still gets what the plain allotment allows.
 */
const RESERVE_PER_RANK_SHARE = 0.05;
const MAX_RESERVE_SHARE = 0.1;

/**
 * Share of a window's bound from which spending is recorded in the platform's
 * store. A fleet that lost its state and finds no record hands out only the
 * other part of the bound until it has observed a whole window. Workspaces
 * usually spend about half of their allotments, so normal load writes nothing.
 */
const RECORDED_SHARE = 0.5;

/** Growth, as a share of the bound, after which spending is recorded again. */
const RECORD_STEP_SHARE = 0.05;

/**
 * Age at which a record of workspaces near their bounds is rewritten. A
 * restarted fleet then expires their spending second by second, as it leaves
 * the window, and not all at once. The cost is one write per second while any
 * workspace has spent half of its bound.
 */
const MAX_RECORD_AGE_MS = 1000;

/**
 * Share of the bound below which a recorded workspace is removed from the
 * record; well below the share at which it is added, as hysteresis.
 */
const UNRECORDED_SHARE = 0.35;

/**
 * Amount by which spending may exceed an allotment, as the operators set it.
 */
export interface AllotmentTolerance {
  readonly windowMs: number;
  /** Ratio of the permitted excess to the allotment of one window. */
  readonly overage: number;
  /** Permitted excess in one window in cost units, in addition to the ratio. */
  readonly slack: number;
}

/** Part of the fleet's allotments that a ledger may hand out at a moment. */
export interface LedgerScope {
  /** Share of the fleet's allotments, greater than 0 and at most 1. */
  readonly share: number;
  readonly nowMs: number;
}

/** Cost units charged to a workspace for one request. */
export interface Charge {
  readonly workspace: string;
  readonly cost: number;
  /** Instance that asked for the placement of the request. */
  readonly holderId: string;
  /** Local time of the charge. */
  readonly chargedAtMs: number;
}

/** Result of an attempt to charge a request. */
export interface ChargeResult {
  readonly allowed: boolean;
  /**
   * Time in milliseconds until a refused charge would be allowed; 0 if allowed.
   */
  readonly retryAfterMs: number;
  /** Cost units spent in the window, and the bound on them. */
  readonly spent: number;
  readonly bound: number;
  /** Part of `spent` that is not known, and that may have been spent. */
  readonly unknown: number;
}

/**
 * Ledger of the spending of all workspaces, charged here and by other
 * coordinators.
 */
export class AllotmentLedger {
  #tolerance: AllotmentTolerance;
  readonly #windowMs: number;
  /** Charges made here since the takeover. */
  #charged: SpendingLog;
  /** What was charged before the takeover, or elsewhere. */
  readonly #inherited: InheritedSpending;
  /** Bounds of one window by workspace, as computed for the last charge. */
  readonly #windowBounds = new Map<string, number>();
  /** Share of the fleet's allotments at the last charge. */
  #share = 1;
  #takenOverAtMs = -Infinity;
  /**
   * Spending in the last record that this ledger made; absent before the first.
   */
  #recorded?: Map<string, number>;
  #recordedAtMs = -Infinity;

  /** @param tolerance Amount by which spending may exceed an allotment. */
  constructor(tolerance: AllotmentTolerance) {
    this.#tolerance = tolerance;
    this.#windowMs = tolerance.windowMs;
    this.#charged = new SpendingLog(this.#windowMs);
    this.#inherited = new InheritedSpending(this.#windowMs);
  }

  /** What holders report beyond the charges of this ledger. */
  get reported(): ReportedSpending {
    return this.#inherited.reported;
  }

  /**
   * Replaces the tolerance. Spending is still retained for the window given at
   * construction.
   *
   * @param tolerance The tolerance that applies from now on.
   */
  setTolerance(tolerance: AllotmentTolerance): void {
    this.#tolerance = tolerance;
  }

  /**
   * Charges a request to its workspace if the allotment allows it.
   *
   * @param workspace Name of the workspace.
   * @param allotment The workspace's allotment in the whole fleet.
   * @param of Cost of the request, its rank within the workspace, and the part
   * of the allotment that this ledger may hand out.
   * @returns Whether it was charged, and otherwise when to retry.
   */
  charge(
    workspace: string,
    allotment: Allotment,
    of: { cost: number; rank: number; scope: LedgerScope },
  ): ChargeResult {
    const { cost, rank, scope } = of;
    const { nowMs, share } = scope;
    this.#share = share;
    const windowBound = this.#windowBound(allotment);
    this.#windowBounds.set(workspace, windowBound);
    const spent = this.#spent(workspace, nowMs);
    const unknown = this.#inherited
      .unknown(workspace, { windowBound, share, nowMs });
    const reservedShare = Math.min(
      MAX_RESERVE_SHARE,
      RESERVE_PER_RANK_SHARE * rank,
    );
    const bound = windowBound * share * (1 - reservedShare);
    // A request that costs more than the bound is allowed when nothing else was
    // spent; otherwise it could never run.
    if (spent > 0 && spent + cost > bound) {
      const excess = spent + cost - bound;
      const retryAfterMs = this.#charged
        .timeUntilExpiredMs(workspace, excess, nowMs);
      return { allowed: false, retryAfterMs, spent, bound, unknown };
    }
    this.#charged.record(workspace, cost, nowMs);
    return { allowed: true, retryAfterMs: 0, spent, bound, unknown };
  }

  /**
   * Records that the request of a charge was placed, so that its holder's
   * reports contain it from now on.
   *
   * @param charge Cost units, and the workspace and the holder that they were
   * charged for.
   * @param nowMs Current local time in milliseconds.
   */
  placed(charge: Charge, nowMs: number): void {
    this.reported.placed(charge.holderId, charge, nowMs);
  }

  /**
   * Refunds a charge whose request never ran.
   *
   * @param charge Cost units and the workspace that they were charged to.
   */
  refund({ workspace, cost, chargedAtMs }: Charge): void {
    if (chargedAtMs >= this.#takenOverAtMs) {
      this.#charged.takeBack(workspace, cost, chargedAtMs);
    } else {
      this.#inherited.refund(workspace, cost, chargedAtMs);
    }
  }

  /**
   * Records that this instance begins to assign requests in place of another.
   *
   * @param nowMs Current local time in milliseconds.
   */
  takeOver(nowMs: number): void {
    this.#takenOverAtMs = nowMs;
    this.#inherited.takeOver(this.#charged, nowMs);
    this.#charged = new SpendingLog(this.#windowMs);
  }

  /**
   * Imports the account of another ledger, or the fleet's record.
   *
   * @param histories Spending of workspaces of the whole fleet by age.
   * @param atMs Local time in milliseconds that the ages count from.
   */
  importHistories(histories: readonly SpendingHistory[], atMs: number): void {
    this.#inherited.import(histories, atMs);
  }

  /**
   * Determines what must be recorded so that spending is still known after all
   * instances are lost. The spending in the last record is never below the
   * actual spending of its workspaces, whatever its age.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns Spending of all workspaces near their bounds, if the last record
   * no longer covers it; undefined if it does.
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
    // Includes in advance what may be spent before the next record.
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

  /**
   * Discards the last record, so that the next one is written in any case:
   * another ledger may have written a newer one.
   */
  invalidateRecord(): void {
    this.#recorded = undefined;
  }

  /**
   * Whether the record is too old, or still lists a workspace whose spending
   * has mostly left the window.
   */
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
   * Returns the spending of the workspaces that are near their bounds.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns One history for each of these workspaces.
   */
  spendingNearBound(nowMs: number): SpendingHistory[] {
    return [...this.#windowBounds].flatMap(([workspace, bound]) => {
      const spent = this.#spent(workspace, nowMs);
      const isNearBound = spent >= bound * (RECORDED_SHARE - RECORD_STEP_SHARE);
      return isNearBound ? [this.#history(workspace, nowMs)] : [];
    });
  }

  /** Spending of a workspace by age, as far as the ages are known. */
  #history(workspace: string, nowMs: number): SpendingHistory {
    const inherited = this.#inherited
      .history(workspace, this.#boundScope(workspace, nowMs));
    return addedHistories(this.#charged.history(workspace, nowMs), inherited);
  }

  #spent(workspace: string, nowMs: number): number {
    return this.#charged.spent(workspace, nowMs) +
      this.#inherited.spent(workspace, this.#boundScope(workspace, nowMs));
  }

  #boundScope(workspace: string, nowMs: number): BoundScope {
    const windowBound = this.#windowBounds.get(workspace) ?? 0;
    return { windowBound, share: this.#share, nowMs };
  }

  #windowBound({ perS, burst }: Allotment): number {
    const { windowMs, overage, slack } = this.#tolerance;
    return (perS * windowMs / MS_PER_S + burst) *
        (1 + overage * TOLERANCE_USED_SHARE) + slack * TOLERANCE_USED_SHARE;
  }
}
