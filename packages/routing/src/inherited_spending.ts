/**
 * Spending that was charged before this instance began to assign requests, as
 * far as it is known here, and an upper bound on the rest.
 */

import { ReportedSpending } from "./reported_spending.ts";
import {
  addedHistories,
  scaledHistory,
  type SpendingHistory,
  SpendingLog,
  withCostOfAge,
  withRecentCost,
} from "./spending_log.ts";

/**
 * Share of a workspace's bound that may have been spent before a takeover
 * although neither the account of the predecessor nor the fleet's record lists
 * the workspace.
 */
export const UNLISTED_SHARE = 0.5;

/** Part of a workspace's bound that a ledger may hand out at a moment. */
export interface BoundScope {
  /** Bound on the spending within a window in the whole fleet. */
  readonly windowBound: number;
  /** Share of the fleet's allotments, greater than 0 and at most 1. */
  readonly share: number;
  readonly nowMs: number;
}

/**
 * Combines what a predecessor accounted for, what the fleet recorded and what
 * holders report into the spending before a takeover. None of them is complete:
 * what was charged last is lost if its coordinator and its holder fail together.
 * For one window, the spending therefore counts as at least the amount that may
 * have remained unlisted.
 */
export class InheritedSpending {
  /** What holders report beyond the charges since the takeover. */
  readonly reported: ReportedSpending;
  readonly #windowMs: number;
  /** Charges of this instance before the takeover. */
  readonly #own: SpendingLog;
  /** Spending of the whole fleet, as other coordinators accounted for it. */
  readonly #accounted: SpendingLog;
  #takenOverAtMs = -Infinity;
  /** Whether an account or the record was read since this process started. */
  #isInformed = false;
  /** Highest spending by workspace that was known since the takeover. */
  readonly #maxKnown = new Map<string, number>();

  /** @param windowMs Length of the sliding window in milliseconds. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
    this.#own = new SpendingLog(windowMs);
    this.#accounted = new SpendingLog(windowMs);
    this.reported = new ReportedSpending(windowMs);
  }

  /**
   * Records that this instance begins to assign requests in place of another.
   *
   * @param own What this instance charged since the takeover before.
   * @param nowMs Current local time in milliseconds.
   */
  takeOver(own: SpendingLog, nowMs: number): void {
    this.#takenOverAtMs = nowMs;
    this.#own.append(own);
    this.#maxKnown.clear();
    this.reported.forgetPlaced(nowMs);
  }

  /**
   * Imports an account of the whole fleet's spending. Accounts overlap, and
   * adding them up would count spending several times; of each workspace, the
   * larger account is kept.
   *
   * @param histories Spending by age of all workspaces whose spending may exceed
   * {@link UNLISTED_SHARE}.
   * @param atMs Local time in milliseconds that the ages count from.
   */
  import(histories: readonly SpendingHistory[], atMs: number): void {
    this.#isInformed = true;
    for (const history of histories) {
      const { workspace, spent } = history;
      if (this.#accounted.spent(workspace, atMs) < spent) {
        this.#accounted.setHistory(history, atMs);
      }
    }
  }

  /**
   * Takes back a charge that was made before the takeover.
   *
   * @param workspace Name of the workspace.
   * @param cost Cost units.
   * @param chargedAtMs Local time of the charge in milliseconds.
   */
  refund(workspace: string, cost: number, chargedAtMs: number): void {
    this.#own.takeBack(workspace, cost, chargedAtMs);
  }

  /**
   * @param workspace Name of a workspace.
   * @param scope Its bound, and the part of it that is handed out here.
   * @returns Cost units within the window that were or may have been charged
   * before the takeover, or elsewhere.
   */
  spent(workspace: string, scope: BoundScope): number {
    return this.#known(workspace, scope) + this.unknown(workspace, scope);
  }

  /**
   * @param workspace Name of a workspace.
   * @param scope Its bound, and the part of it that is handed out here.
   * @returns The part of {@link spent} that is not known to have been charged.
   */
  unknown(workspace: string, scope: BoundScope): number {
    const { windowBound, share, nowMs } = scope;
    const maxKnown = Math.max(
      this.#known(workspace, scope),
      this.#maxKnown.get(workspace) ?? 0,
    );
    this.#maxKnown.set(workspace, maxKnown);
    if (nowMs - this.#takenOverAtMs > this.#windowMs) {
      return 0;
    }
    const unlistedShare = this.#isInformed ? UNLISTED_SHARE : 1;
    return Math.max(0, unlistedShare * windowBound * share - maxKnown);
  }

  /**
   * @param workspace Name of a workspace.
   * @param scope Its bound, and the part of it that is handed out here.
   * @returns {@link spent} by age. Spending through other holders has no ages
   * and counts as of the last second, and what is not known as of the takeover.
   */
  history(workspace: string, scope: BoundScope): SpendingHistory {
    const { share, nowMs } = scope;
    const own = this.#own.history(workspace, nowMs);
    const accounted = this.#accounted.history(workspace, nowMs);
    const aged = own.spent > accounted.spent ? own : addedHistories(
      scaledHistory(own, 1 - share),
      scaledHistory(accounted, share),
    );
    const known = withRecentCost(
      aged,
      this.#known(workspace, scope) - aged.spent,
    );
    return withCostOfAge(known, {
      cost: this.unknown(workspace, scope),
      ageMs: nowMs - this.#takenOverAtMs,
    });
  }

  /**
   * A part of the fleet takes over its share of an account just as its share of
   * the allotments. The account contains as much of the own charges.
   */
  #known(workspace: string, { share, nowMs }: BoundScope): number {
    const own = this.#own.spent(workspace, nowMs);
    const accounted = this.#accounted.spent(workspace, nowMs);
    return own * (1 - share) + Math.max(
      own * share,
      accounted * share,
      this.reported.chargedElsewhere(workspace, nowMs),
    );
  }
}
