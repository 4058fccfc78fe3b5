/**
 * Spending that other coordinators charged, as derived from the holders'
 * reports: what a holder reports beyond the charges of this coordinator.
 */

import { SpendingLog, type WorkspaceSpending } from "./spending_log.ts";

/** Maximum age of a holder's report: it does not contain charges made since. */
const MAX_REPORT_AGE_MS = 500;

/**
 * Least total in cost units that counts. It is below the cost of any request,
 * so that a smaller rest is a rounding error.
 */
const MIN_TOTAL_COST = 0.001;

/** What one holder reported, and what was placed through it. */
interface HolderSpending {
  /**
   * Start of the holder's process, with which its reports begin anew; absent
   * before the first report.
   */
  incarnation?: number;
  /** Charges of this coordinator whose requests were placed at the holder. */
  placed: SpendingLog;
  /** Spending by workspace that others charged, as of the last report. */
  chargedElsewhere: ReadonlyMap<string, number>;
}

/** A holder that is gone. */
interface DepartedHolder {
  readonly incarnation?: number;
  readonly spending: SpendingLog;
}

/**
 * Compares the spending that each holder reports with the charges that were
 * made here. Each holder is compared by itself: a holder that is gone reports
 * nothing any more, so that charges of its requests would hide spending that
 * others report.
 */
export class ReportedSpending {
  readonly #windowMs: number;
  readonly #byHolder = new Map<string, HolderSpending>();
  /** Sums of `chargedElsewhere` over all holders. */
  readonly #totals = new Map<string, number>();
  /** Last known spending through holders that are gone, by holder. */
  readonly #departed = new Map<string, DepartedHolder>();
  /**
   * Local time until which the window contains spending that only reports
   * cover.
   */
  #incompleteUntilMs = -Infinity;

  /** @param windowMs Length of the sliding window in milliseconds. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /**
   * Records that a charged request was placed, so that its holder's reports
   * contain it from now on.
   *
   * @param holderId Id of the holder.
   * @param charge Workspace and cost units.
   * @param nowMs Current local time in milliseconds.
   */
  placed(
    holderId: string,
    { workspace, cost }: { workspace: string; cost: number },
    nowMs: number,
  ): void {
    this.#holder(holderId).placed.record(workspace, cost, nowMs);
  }

  /**
   * Replaces the spending that a holder reported.
   *
   * @param holderId Id of the holder.
   * @param report Start of the holder's process, and its spending.
   * @param nowMs Current local time in milliseconds.
   */
  reported(
    holderId: string,
    report: { incarnation: number; spent: readonly WorkspaceSpending[] },
    nowMs: number,
  ): void {
    const { incarnation, spent } = report;
    const lastIncarnation = this.#byHolder.get(holderId)?.incarnation;
    if (lastIncarnation !== undefined && incarnation !== lastIncarnation) {
      this.holderGone(holderId, nowMs);
    }
    const holder = this.#holder(holderId);
    holder.incarnation = incarnation;
    // Charges too recent to be in any report must not be subtracted from
    // spending that was charged elsewhere.
    const reportedUntilMs = nowMs < this.#incompleteUntilMs
      ? nowMs - MAX_REPORT_AGE_MS
      : nowMs;
    const chargedElsewhere = new Map<string, number>();
    for (const { workspace, spent: reportedCost } of spent) {
      const own = holder.placed.spentUntil(workspace, reportedUntilMs, nowMs);
      if (reportedCost > own) {
        chargedElsewhere.set(workspace, reportedCost - own);
      }
    }
    this.#replace(holderId, chargedElsewhere);
  }

  /**
   * Keeps the last known spending through a holder that is gone for one window,
   * as its age is not known.
   *
   * @param holderId Id of the holder.
   * @param nowMs Current local time in milliseconds.
   */
  holderGone(holderId: string, nowMs: number): void {
    const holder = this.#byHolder.get(holderId);
    if (holder !== undefined && holder.chargedElsewhere.size > 0) {
      this.#keepDeparted(holderId, holder, nowMs);
    }
    this.#replace(holderId, new Map());
    this.#byHolder.delete(holderId);
  }

  /**
   * Marks the charges made here as incomplete for one window: this coordinator
   * is new, or a holder reports again after a timeout.
   *
   * @param nowMs Current local time in milliseconds.
   */
  markIncomplete(nowMs: number): void {
    this.#incompleteUntilMs = nowMs + this.#windowMs;
  }

  /**
   * Forgets which requests were placed by charges made here: from now on, the
   * holders' reports of these count as spending that was charged elsewhere.
   *
   * @param nowMs Current local time in milliseconds.
   */
  forgetPlaced(nowMs: number): void {
    this.markIncomplete(nowMs);
    for (const holder of this.#byHolder.values()) {
      holder.placed = new SpendingLog(this.#windowMs);
    }
  }

  /**
   * @param workspace Name of a workspace.
   * @param nowMs Current local time in milliseconds.
   * @returns Cost units within the window that others charged.
   */
  chargedElsewhere(workspace: string, nowMs: number): number {
    let departed = 0;
    for (const [holderId, { incarnation, spending }] of this.#departed) {
      const holder = this.#byHolder.get(holderId);
      const reported = holder?.incarnation === incarnation
        ? holder?.chargedElsewhere.get(workspace) ?? 0
        : 0;
      departed += Math.max(0, spending.spent(workspace, nowMs) - reported);
    }
    return (this.#totals.get(workspace) ?? 0) + departed;
  }

  /**
   * @param holderId Id of a holder.
   * @returns Whether the spending through it is part of {@link chargedElsewhere}.
   */
  covers(holderId: string): boolean {
    return this.#byHolder.get(holderId)?.incarnation !== undefined ||
      this.#departed.has(holderId);
  }

  /**
   * Discards what was spent through holders that have been gone for a window.
   *
   * @param nowMs Current local time in milliseconds.
   */
  evictExpired(nowMs: number): void {
    for (const [holderId, { spending }] of this.#departed) {
      if (spending.workspaces(nowMs).length === 0) {
        this.#departed.delete(holderId);
      }
    }
  }

  /** @returns Names of the workspaces that others charged. */
  workspaces(): string[] {
    return [...this.#totals.keys()];
  }

  /**
   * Keeps what was spent through a holder. If the same process was gone before,
   * both amounts are of the same spending.
   */
  #keepDeparted(
    holderId: string,
    { incarnation, chargedElsewhere }: HolderSpending,
    nowMs: number,
  ): void {
    const departed = this.#departed.get(holderId);
    const spending = departed?.spending ?? new SpendingLog(this.#windowMs);
    const isSame = departed?.incarnation === incarnation;
    for (const [workspace, cost] of chargedElsewhere) {
      const kept = isSame ? spending.spent(workspace, nowMs) : 0;
      spending.record(workspace, Math.max(0, cost - kept), nowMs);
    }
    this.#departed.set(holderId, { incarnation, spending });
  }

  #replace(holderId: string, chargedElsewhere: Map<string, number>): void {
    const holder = this.#byHolder.get(holderId);
    if (holder === undefined) {
      return;
    }
    for (const [workspace, cost] of holder.chargedElsewhere) {
      this.#add(workspace, -cost);
    }
    for (const [workspace, cost] of chargedElsewhere) {
      this.#add(workspace, cost);
    }
    holder.chargedElsewhere = chargedElsewhere;
  }

  #add(workspace: string, cost: number): void {
    const total = (this.#totals.get(workspace) ?? 0) + cost;
    if (total > MIN_TOTAL_COST) {
      this.#totals.set(workspace, total);
    } else {
      this.#totals.delete(workspace);
    }
  }

  #holder(holderId: string): HolderSpending {
    let holder = this.#byHolder.get(holderId);
    if (holder === undefined) {
      holder = {
        placed: new SpendingLog(this.#windowMs),
        chargedElsewhere: new Map(),
      };
      this.#byHolder.set(holderId, holder);
    }
    return holder;
  }
}
