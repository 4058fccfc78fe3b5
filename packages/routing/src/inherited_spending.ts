/**
 * Spending that was charged before this instance began to assign requests, as
 * far as it is known here, and an upper bound on the rest.
 */

import { ReportedSpending } from "./reported_spending.ts";
import {
  coveredBy,
  NOTHING_RECORDED,
  type SpendingCoverage,
} from "./recorded_spending.ts";
import {
  type LayerKey,
  SpendingByShare,
  type SpendingLayer,
} from "./spending_by_share.ts";
import type { Slice } from "./spending_log.ts";

/**
 * Share of a workspace's bound that may have been spent before a takeover
 * although neither the account of the predecessor nor the fleet's record lists
 * the workspace.
 */
export const UNLISTED_SHARE = 0.4;

/**
 * Share of the bound that a predecessor may have handed out since the account in
 * its last heartbeat. Holders report only what was spent through them, and some
 * may have been lost with the predecessor.
 */
const GROWTH_SHARE = 0.25;

/** What an instance knows as it begins to assign requests. */
export interface Takeover {
  /** What it charged itself since its takeover before. */
  readonly charged: SpendingByShare;
  /** The record as the predecessor announced it. */
  readonly announced: SpendingCoverage;
}

/** Part of a workspace's bound that a ledger may hand out at a moment. */
export interface BoundScope {
  /** Bound on the spending within a window in the whole fleet. */
  readonly windowBound: number;
  /** Share of the fleet's allotments, greater than 0 and at most 1. */
  readonly share: number;
  /**
   * Share of the fleet that the holders are whose reports count; 0 if none do.
   * An instance that acts for a silent coordinator in a small fleet hands out a
   * part of which the reports tell nothing.
   */
  readonly reportedShare: number;
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
  /**
   * Spending as this instance charged it before the takeover, or as other
   * coordinators accounted for it.
   */
  accounted: SpendingByShare;
  /** What this instance charged itself before the takeover. */
  readonly #charged: SpendingByShare;
  readonly #windowMs: number;
  #takenOverAtMs = -Infinity;
  #announced = NOTHING_RECORDED;
  /** Whether an account or the record was read since this process started. */
  #isInformed = false;
  /** Highest spending by workspace that was known since the takeover. */
  readonly #maxKnown = new Map<string, number>();

  /** @param windowMs Length of the sliding window in milliseconds. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
    this.accounted = new SpendingByShare(windowMs);
    this.#charged = new SpendingByShare(windowMs);
    this.reported = new ReportedSpending(windowMs);
  }

  /**
   * Records that this instance begins to assign requests in place of another.
   *
   * @param of What this instance knows by itself.
   * @param nowMs Current local time in milliseconds.
   */
  takeOver(
    { charged, announced }: Takeover,
    nowMs: number,
  ): void {
    this.#takenOverAtMs = nowMs;
    this.#announced = announced;
    this.#charged.append(charged);
    this.#charged.evictExpired(nowMs);
    // Accounts are imported anew: those of an earlier takeover may contain what
    // was only assumed to be spent then.
    this.accounted = new SpendingByShare(this.#windowMs);
    this.accounted.append(this.#charged);
    this.#maxKnown.clear();
    this.reported.forgetPlaced(nowMs);
  }

  /**
   * Takes back spending that this instance charged before the takeover.
   *
   * @param charge Cost units, and the layer that they were charged to.
   * @param chargedAtMs Local time of the charge in milliseconds.
   */
  takeBack(
    { workspace, cost, layer }: {
      workspace: string;
      cost: number;
      layer: LayerKey;
    },
    chargedAtMs: number,
  ): void {
    for (const charges of [this.#charged, this.accounted]) {
      charges.of(layer).takeBack(workspace, cost, chargedAtMs);
    }
  }

  /**
   * Imports an account of spending.
   *
   * @param layers Spending of all workspaces whose spending may exceed
   * {@link UNLISTED_SHARE}.
   * @param atMs Local time in milliseconds that the ages count from.
   */
  import(layers: readonly SpendingLayer[], atMs: number): void {
    this.#isInformed = true;
    layers.forEach((layer) => this.accounted.merge(layer, atMs));
  }

  /**
   * @param workspace Name of a workspace.
   * @param scope Its bound, and the part of it that is handed out here.
   * @returns Cost units within the window that were or may have been charged
   * before the takeover, or elsewhere.
   */
  spent(workspace: string, scope: BoundScope): number {
    const known = this.#known(workspace, scope);
    return known + this.#unknown(workspace, scope, known);
  }

  /**
   * @param workspace Name of a workspace.
   * @param scope Its bound, and the part of it that is handed out here.
   * @returns The part of {@link spent} that is not known to have been charged.
   */
  unknown(workspace: string, scope: BoundScope): number {
    return this.#unknown(workspace, scope, this.#known(workspace, scope));
  }

  #unknown(workspace: string, scope: BoundScope, known: number): number {
    if (!this.#isTakeover(scope)) {
      return 0;
    }
    const mayBeSpent = Math.max(
      this.#unlisted(scope),
      this.#unreported(workspace, scope),
    );
    return this.#beyondKnown(workspace, mayBeSpent, known);
  }

  /**
   * Returns the spending whose time is known, and what may have been spent
   * before the takeover.
   *
   * @param workspace Name of a workspace.
   * @param scope Its bound, and the part of it that is handed out here.
   * @returns Cost units by time, in no particular order.
   */
  slices(workspace: string, scope: BoundScope): Slice[] {
    const { share, nowMs } = scope;
    return [
      ...this.accounted.slicesOutOf(workspace, share, nowMs),
      { beganAtMs: this.#takenOverAtMs, spent: this.unknown(workspace, scope) },
    ];
  }

  /**
   * Returns what a successor has to know besides {@link accounted}. What the
   * predecessor may have handed out since its last heartbeat is left out: each
   * successor would add as much again.
   *
   * @param workspace Name of a workspace.
   * @param scope Its bound, and the part of it that is handed out here.
   * @returns Known spending whose age is not known, and what may have been
   * charged before the takeover and was not listed.
   */
  unaccounted(
    workspace: string,
    scope: BoundScope,
  ): { unaged: number; unlisted: number } {
    const { share, nowMs } = scope;
    const known = this.#known(workspace, scope);
    const accounted = this.accounted.spentOutOf(workspace, share, nowMs);
    return {
      unaged: known - accounted,
      unlisted: this.#isTakeover(scope)
        ? this.#beyondKnown(workspace, this.#unlisted(scope), known)
        : 0,
    };
  }

  /** The part of an amount that exceeds all that was known since the takeover. */
  #beyondKnown(
    workspace: string,
    mayBeSpent: number,
    known: number,
  ): number {
    const maxKnown = Math.max(known, this.#maxKnown.get(workspace) ?? 0);
    this.#maxKnown.set(workspace, maxKnown);
    return Math.max(0, mayBeSpent - maxKnown);
  }

  /** Whether spending before the takeover may still be in the window. */
  #isTakeover({ nowMs }: BoundScope): boolean {
    return nowMs - this.#takenOverAtMs <= this.#windowMs;
  }

  /** What may have been spent of a workspace that no account lists. */
  #unlisted({ windowBound, share }: BoundScope): number {
    return (this.#isInformed ? UNLISTED_SHARE : 1) * windowBound * share;
  }

  /** What may have been spent of a workspace that the last account lists. */
  #unreported(workspace: string, scope: BoundScope): number {
    const { windowBound, share, nowMs } = scope;
    return Math.min(
      coveredBy(this.#announced, workspace, share),
      this.accounted.spentOutOf(workspace, share, nowMs) +
        GROWTH_SHARE * windowBound * share,
    );
  }

  /** Of what more holders report, the share that is handed out here counts. */
  #known(workspace: string, scope: BoundScope): number {
    const { share, reportedShare, nowMs } = scope;
    const accounted = this.accounted.spentOutOf(workspace, share, nowMs);
    if (reportedShare === 0) {
      return accounted;
    }
    const reported = this.reported.chargedElsewhere(workspace, nowMs) *
      Math.min(1, share / reportedShare);
    return Math.max(accounted, reported);
  }
}
