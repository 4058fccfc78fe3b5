/**
 * Rate-limits the spending of workspaces to their allotments over a sliding
 * window. The operators' rule is that the spending within any window may not
 * exceed what the allotment and its tolerance allow for it.
 */

import type { Allotment } from "./fleet_configuration.ts";
import {
  type BoundScope,
  InheritedSpending,
  UNLISTED_SHARE,
} from "./inherited_spending.ts";
import {
  RecordedSpending,
  RecordOutcome,
  type SpendingCoverage,
} from "./recorded_spending.ts";
import type { ReportedSpending } from "./reported_spending.ts";
import {
  type LayerKey,
  layerShareOf,
  SpendingByShare,
  type SpendingLayer,
} from "./spending_by_share.ts";
import { SLICE_MS, type WorkspaceSpending } from "./spending_log.ts";

const MS_PER_S = 1000;

/**
 * Share of the tolerance that is handed out. While all instances are reachable
 * the accounting is exact; the rest of the tolerance covers charges known only
 * to coordinators that were partitioned or killed.
 */
const TOLERANCE_USED_SHARE = 0.5;

/**
 * Share of the bound that each rank below the highest reserves for those above
 * it, and the upper bound of that reserve, so that the least valuable work is
 * refused first where an allotment runs short. Every rank still gets what the
 * plain allotment allows.
 */
const RESERVE_PER_RANK_SHARE = 0.05;
const MAX_RESERVE_SHARE = 0.1;

/**
 * Share of a workspace's bound from which its spending is recorded in the
 * platform's store: below {@link UNLISTED_SHARE}, so that the first record is
 * usually confirmed before more is handed out than may stay unrecorded.
 */
const RECORDED_SHARE = 0.3;

/**
 * Share of the bound that is recorded in advance. It is what a workspace may
 * spend more while the store does not answer, and what a fleet that lost its
 * state counts as spent in vain.
 */
const RECORD_AHEAD_SHARE = 0.1;

/**
 * Part of the bound that may be handed out without a record after a takeover,
 * by an instance that cannot record: it acts for a silent coordinator, or the
 * store does not answer.
 */
const TAKEOVER_SHARE = 0.35;

/**
 * Age at which a record of workspaces near their bounds is rewritten. A
 * restarted fleet then expires their spending second by second, as it leaves
 * the window, and not all at once. The cost is one write per second while any
 * workspace has spent half of its bound.
 */
const MAX_RECORD_AGE_MS = 1000;

/**
 * Share of the bound below which a recorded workspace is removed from the
 * record; below the share at which it is added, as hysteresis.
 */
const UNRECORDED_SHARE = 0.25;

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
  /**
   * Share of the fleet that the holders are whose reports count; 0 if none do.
   */
  readonly reportedShare: number;
  readonly nowMs: number;
}

/** Cost units charged to a workspace for one request. */
export interface Charge {
  readonly workspace: string;
  readonly cost: number;
  /** Share of the fleet's allotments out of which it was handed out. */
  readonly share: number;
  /** Instance that asked for the placement of the request. */
  readonly holderId: string;
  /** Local time of the charge. */
  readonly chargedAtMs: number;
}

/** Whether a request may be charged. */
export enum ChargeOutcome {
  /** It was charged. */
  Allowed = "allowed",
  /** The workspace has spent its allotment. */
  Exceeded = "exceeded",
  /**
   * The allotment allows it, but the platform's store has not confirmed a
   * record yet that covers it.
   */
  Unrecorded = "unrecorded",
}

/** Result of an attempt to charge a request. */
export interface ChargeResult {
  readonly outcome: ChargeOutcome;
  /**
   * Time in milliseconds until a charge that exceeds the bound would be allowed;
   * 0 otherwise.
   */
  readonly retryAfterMs: number;
  /** Cost units spent in the window, and the bound on them. */
  readonly spent: number;
  readonly bound: number;
  /** Part of `spent` that is not known, and that may have been spent. */
  readonly unknown: number;
  /** Spending that the record in the platform's store covers. */
  readonly recorded: number;
}

/** Spending as a coordinator accounts for it, for its successors. */
export interface SpendingAccount {
  /** Spending of the workspaces near their bounds. */
  readonly layers: readonly SpendingLayer[];
}

/** An account as a coordinator announces it. */
export interface AnnouncedAccount extends SpendingAccount {
  /** Spending that the record in the platform's store covers. */
  readonly recorded: readonly WorkspaceSpending[];
  /** Share of the fleet that the coordinator reaches. */
  readonly share: number;
}

/** An account as a coordinator records it. */
export interface RecordedAccount extends SpendingAccount {
  /** What the coordinator may hand out before it makes the next record. */
  readonly ahead: readonly WorkspaceSpending[];
}

/**
 * Ledger of the spending of all workspaces, charged here and by other
 * coordinators.
 */
export class AllotmentLedger {
  #tolerance: AllotmentTolerance;
  readonly #windowMs: number;
  /** Charges made here since the takeover. */
  #charged: SpendingByShare;
  /** What was charged before the takeover, or elsewhere. */
  readonly #inherited: InheritedSpending;
  /** Bounds of one window by workspace, as computed for the last charge. */
  readonly #windowBounds = new Map<string, number>();
  /** Part of the fleet's allotments that was handed out at the last charge. */
  #share = 1;
  #reportedShare = 1;
  #takenOverAtMs = -Infinity;
  /**
   * Whether this instance records spending and the platform's store answers, so
   * that requests may wait for the next record.
   */
  isRecording = false;
  readonly #recorded = new RecordedSpending();
  /** Names of the workspaces in the last record that was made here. */
  #lastRecorded: ReadonlySet<string> = new Set();
  #recordedAtMs = -Infinity;
  /** Whether a record has to be made whatever its content. */
  #mustRecord = false;
  /** Cost of requests by workspace that the record does not cover. */
  readonly #wanted = new Map<string, number>();

  /** Identifies the process of this ledger in accounts. */
  readonly #origin: string;
  /** Revision of the last layer that was derived from reports. */
  #revision = 0;

  /**
   * @param tolerance Amount by which spending may exceed an allotment.
   * @param origin Identifies the process of this ledger among all that the fleet
   * had within a window.
   */
  constructor(tolerance: AllotmentTolerance, origin = "") {
    this.#origin = origin;
    this.#tolerance = tolerance;
    this.#windowMs = tolerance.windowMs;
    this.#charged = new SpendingByShare(this.#windowMs);
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
    this.#reportedShare = scope.reportedShare;
    const windowBound = this.#windowBound(allotment);
    this.#windowBounds.set(workspace, windowBound);
    const spent = this.#spent(workspace, nowMs);
    const unknown = this.#inherited
      .unknown(workspace, this.#boundScope(workspace, nowMs));
    const reservedShare = Math.min(
      MAX_RESERVE_SHARE,
      RESERVE_PER_RANK_SHARE * rank,
    );
    const bound = share *
      Math.max(
        this.#plainBound(allotment),
        windowBound * (1 - reservedShare),
      );
    const recorded = this.#recorded.covered(workspace, share);
    const figures = { spent, bound, unknown, recorded };
    // A request that costs more than the bound is allowed when nothing else was
    // spent; otherwise it could never run.
    if (spent > 0 && spent + cost > bound) {
      const excess = spent + cost - bound;
      const retryAfterMs = this.#timeUntilExpiredMs(workspace, excess, nowMs);
      return { outcome: ChargeOutcome.Exceeded, retryAfterMs, ...figures };
    }
    if (spent + cost > this.#maxWithoutRecord(workspace, nowMs)) {
      const wanted = Math.max(cost, this.#wanted.get(workspace) ?? 0);
      this.#wanted.set(workspace, wanted);
      return { outcome: ChargeOutcome.Unrecorded, retryAfterMs: 0, ...figures };
    }
    this.#charged.of(this.#layerOf(share)).record(workspace, cost, nowMs);
    return { outcome: ChargeOutcome.Allowed, retryAfterMs: 0, ...figures };
  }

  /** Time until an amount of spending has left the window. */
  #timeUntilExpiredMs(
    workspace: string,
    amount: number,
    nowMs: number,
  ): number {
    const scope = this.#boundScope(workspace, nowMs);
    const slices = [
      ...this.#charged.slicesOutOf(workspace, 1, nowMs),
      ...this.#inherited.slices(workspace, scope),
    ].sort((a, b) => a.beganAtMs - b.beganAtMs);
    const retentionMs = this.#windowMs + SLICE_MS;
    let expired = 0;
    for (const { beganAtMs, spent } of slices) {
      expired += spent;
      if (expired >= amount) {
        return Math.max(0, beganAtMs + retentionMs - nowMs);
      }
    }
    return retentionMs;
  }

  /**
   * The most that a workspace may have spent in the window while the record
   * stays as it is. What exceeds the record and the part that may stay
   * unrecorded would be spent again by a fleet that lost all its instances.
   */
  #maxWithoutRecord(workspace: string, nowMs: number): number {
    const { windowBound, share } = this.#boundScope(workspace, nowMs);
    const unrecorded = UNLISTED_SHARE * windowBound * share;
    const recorded = this.#recorded.covered(workspace, share);
    const isTakeover = nowMs - this.#takenOverAtMs <= this.#windowMs;
    const additional = isTakeover && !this.isRecording
      ? TAKEOVER_SHARE * windowBound * share
      : 0;
    return Math.max(unrecorded, recorded) + additional;
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
  refund(charge: Charge): void {
    const { workspace, cost, share, chargedAtMs } = charge;
    const layer = this.#layerOf(share);
    if (chargedAtMs >= this.#takenOverAtMs) {
      this.#charged.of(layer).takeBack(workspace, cost, chargedAtMs);
    } else {
      this.#inherited.takeBack({ workspace, cost, layer }, chargedAtMs);
    }
  }

  /**
   * Records that this instance begins to assign requests in place of another.
   *
   * @param announced The record as the predecessor announced it.
   * @param nowMs Current local time in milliseconds.
   */
  takeOver(announced: SpendingCoverage, nowMs: number): void {
    this.#takenOverAtMs = nowMs;
    this.#recorded.found(announced);
    this.#lastRecorded = new Set();
    this.#wanted.clear();
    this.#inherited.takeOver({ charged: this.#charged, announced }, nowMs);
    this.#charged = new SpendingByShare(this.#windowMs);
  }

  /**
   * Imports the account of another ledger, or the fleet's record.
   *
   * @param account Spending of all workspaces near their bounds by age.
   * @param atMs Local time in milliseconds that the ages count from.
   */
  import({ layers }: SpendingAccount, atMs: number): void {
    this.#inherited.import(layers, atMs);
  }

  /**
   * Determines what must be recorded, so that a fleet that lost all its
   * instances finds at least what was spent. A record is made in time before the
   * spending that it allows, and is renewed so that its ages stay known.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns The next record, which is to be written at once; undefined while
   * the last one is sufficient.
   */
  nextRecord(nowMs: number): RecordedAccount | undefined {
    const listed = this.#workspacesToRecord(nowMs);
    const isRenewed = listed.length > 0 || this.#lastRecorded.size > 0;
    const ageMs = nowMs - this.#recordedAtMs;
    const isDue = this.#mustRecord ||
      (isRenewed && ageMs >= MAX_RECORD_AGE_MS) ||
      listed.some((workspace) => this.#isRecordShort(workspace, nowMs));
    if (!isDue) {
      return undefined;
    }
    const ahead = listed.map((workspace) => ({
      workspace,
      spent: this.#costAhead(workspace, nowMs),
    }));
    const byWorkspace = new Map(
      ahead.map(({ workspace, spent }) => [
        workspace,
        this.#spent(workspace, nowMs) + spent,
      ]),
    );
    this.#mustRecord = false;
    this.#wanted.clear();
    this.#recordedAtMs = nowMs;
    this.#lastRecorded = new Set(listed);
    this.#recorded.writing({ share: this.#share, byWorkspace });
    return { layers: this.#layersOf(listed, nowMs), ahead };
  }

  /**
   * Records the outcome of writing the last record.
   *
   * @param outcome Whether the platform's store replaced its record.
   */
  recordEnded(outcome: RecordOutcome): void {
    this.#recorded.ended(outcome);
    this.#mustRecord = outcome !== RecordOutcome.Written;
  }

  /**
   * Replaces what is known of the record in the platform's store.
   *
   * @param coverage Spending that it states.
   * @param mustReplace Whether the record is to be replaced in any case, as it
   * would be taken for recent spending later.
   */
  recordFound(coverage: SpendingCoverage, mustReplace: boolean): void {
    this.#recorded.found(coverage);
    this.#mustRecord = mustReplace;
  }

  /** The record may be lost from the platform's store. */
  recordLost(): void {
    this.#recorded.lost();
    this.#mustRecord = this.#lastRecorded.size > 0;
  }

  #workspacesToRecord(nowMs: number): string[] {
    return this.#knownWorkspaces(nowMs).filter((workspace) => {
      const share = this.#lastRecorded.has(workspace)
        ? UNRECORDED_SHARE
        : RECORDED_SHARE;
      return this.#wanted.has(workspace) ||
        this.#isSpent(workspace, share, nowMs);
    });
  }

  /** Whether less than half of the advance is left, unless all is covered. */
  #isRecordShort(workspace: string, nowMs: number): boolean {
    const { windowBound, share } = this.#boundScope(workspace, nowMs);
    const recorded = this.#recorded.covered(workspace, share);
    const spent = this.#spent(workspace, nowMs);
    const needed = Math.max(
      Math.min(
        windowBound * share,
        spent + RECORD_AHEAD_SHARE / 2 * windowBound * share,
      ),
      spent + (this.#wanted.get(workspace) ?? 0),
    );
    return recorded < needed;
  }

  /** Cost to record in advance: what may be spent before the next record. */
  #costAhead(workspace: string, nowMs: number): number {
    const { windowBound, share } = this.#boundScope(workspace, nowMs);
    const spent = this.#spent(workspace, nowMs);
    const ahead = Math.min(
      RECORD_AHEAD_SHARE * windowBound * share,
      windowBound * share - spent,
    );
    return Math.max(0, ahead, this.#wanted.get(workspace) ?? 0);
  }

  /**
   * Returns the spending of the workspaces that are near their bounds.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns The account of these workspaces.
   */
  announcedAccount(nowMs: number): AnnouncedAccount {
    const nearBound = this.#knownWorkspaces(nowMs)
      .filter((workspace) => this.#isSpent(workspace, RECORDED_SHARE, nowMs));
    const recorded = nearBound.map((workspace) => ({
      workspace,
      spent: this.#recorded.covered(workspace, this.#share),
    }));
    const share = this.#share;
    return { layers: this.#layersOf(nearBound, nowMs), recorded, share };
  }

  /**
   * Spending of workspaces by age. Spending through holders has no ages and
   * counts as of now, and what is not known as of the takeover.
   */
  #layersOf(workspaces: readonly string[], nowMs: number): SpendingLayer[] {
    const all = new SpendingByShare(this.#windowMs);
    for (const from of [this.#inherited.accounted, this.#charged]) {
      from.layers(workspaces, nowMs)
        .forEach((layer) => all.add(layer, nowMs));
    }
    const layer = this.#layerOf(this.#share);
    const log = this.#share < 1
      ? all.revise({ ...layer, revision: ++this.#revision })
      : all.of(layer);
    for (const workspace of workspaces) {
      const { unaged, unlisted } = this.#inherited
        .unaccounted(workspace, this.#boundScope(workspace, nowMs));
      log.insert(workspace, unlisted, this.#takenOverAtMs);
      log.insert(workspace, unaged, nowMs);
    }
    return all.layers(workspaces, nowMs);
  }

  /** Layer of what this ledger hands out of a share. */
  #layerOf(share: number): LayerKey {
    return share < 1
      ? { share: layerShareOf(share), origin: this.#origin }
      : { share };
  }

  /** Workspaces of which some spending is known, or that want to spend. */
  #knownWorkspaces(nowMs: number): string[] {
    return [
      ...new Set([
        ...this.#charged.workspaces(nowMs),
        ...this.#inherited.accounted.workspaces(nowMs),
        ...this.reported.workspaces(),
        ...this.#wanted.keys(),
      ]),
    ];
  }

  /** Whether at least a share of a workspace's bound was spent. */
  #isSpent(workspace: string, ofBound: number, nowMs: number): boolean {
    const { windowBound, share } = this.#boundScope(workspace, nowMs);
    const spent = this.#spent(workspace, nowMs);
    // The bound is not known before the first charge. What accounts list then
    // has to be passed on.
    return spent > 0 && spent >= ofBound * windowBound * share;
  }

  #spent(workspace: string, nowMs: number): number {
    return this.#charged.spent(workspace, nowMs) +
      this.#inherited.spent(workspace, this.#boundScope(workspace, nowMs));
  }

  #boundScope(workspace: string, nowMs: number): BoundScope {
    const windowBound = this.#windowBounds.get(workspace) ?? 0;
    const reportedShare = this.#reportedShare;
    return { windowBound, share: this.#share, reportedShare, nowMs };
  }

  #windowBound(allotment: Allotment): number {
    const { overage, slack } = this.#tolerance;
    return this.#plainBound(allotment) *
        (1 + overage * TOLERANCE_USED_SHARE) + slack * TOLERANCE_USED_SHARE;
  }

  /** The allotment of one window without any tolerance. */
  #plainBound({ perS, burst }: Allotment): number {
    return perS * this.#tolerance.windowMs / MS_PER_S + burst;
  }
}
