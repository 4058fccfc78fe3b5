/**
 * Selection of the coordinator that an instance asks for placements, and of the
 * share of the fleet's allotments that the instance may hand out itself.
 */

import type { PlacementScope } from "@chestnuthatch/routing/coordinator";
import { MEMBER_TIMEOUT_MS } from "@chestnuthatch/routing/member_timeout";
import type { MemberRecord } from "@chestnuthatch/routing/member_record";
import type { MemberView } from "@chestnuthatch/routing/member_view";

/** Time for which a coordinator that does not respond is skipped. */
const SKIP_MS = 1000;

/**
 * Time for which a selection is cached, unless a member changes. A selection
 * costs time in proportion to the number of members. The detection of a silent
 * member is delayed by up to this time.
 */
const SELECTION_TTL_MS = 60;

/**
 * Age of a holder's last ask or report up to which it counts as asking this
 * instance: two intervals between reports, so that one may be lost.
 */
const MAX_CONTACT_AGE_MS = 1000;

const NO_SKIPPED_IDS: ReadonlySet<string> = new Set();

/** The cached result of one evaluation of the members. */
interface Selection {
  readonly validUntilMs: number;
  /** Value of `MemberView.revision` that the selection was made at. */
  readonly revision: number;
  readonly coordinator: MemberRecord;
  /** Share of the fleet's allotments that this instance hands out. */
  readonly share: number;
  /** Share of the fleet that the holders are whose reports count; or 0. */
  readonly reportedShare: number;
}

/** Selects the coordinator, and again as members join, leave or fall silent. */
export class CoordinatorSelector {
  readonly #members: MemberView;
  readonly #startedAtMs: number;
  readonly #spendingReportedAtMs: (instanceId: string) => number;
  readonly #contactedAtMs: (instanceId: string) => number;
  readonly #countsSpendingOf: (instanceId: string) => boolean;
  readonly #skippedUntilMs = new Map<string, number>();
  #selection?: Selection;
  /** Local time since which this instance has been the agreed coordinator. */
  #agreedSinceMs?: number;

  /**
   * @param members The members of the fleet.
   * @param of `startedAtMs` is the local time at which this instance started;
   * `spendingReportedAtMs` returns the local
   * time of a member's last report of the spending through it, and
   * `countsSpendingOf` whether what it reported counts.
   */
  constructor(
    members: MemberView,
    of: {
      startedAtMs: number;
      spendingReportedAtMs: (instanceId: string) => number;
      contactedAtMs: (instanceId: string) => number;
      countsSpendingOf: (instanceId: string) => boolean;
    },
  ) {
    this.#members = members;
    this.#startedAtMs = of.startedAtMs;
    this.#spendingReportedAtMs = of.spendingReportedAtMs;
    this.#contactedAtMs = of.contactedAtMs;
    this.#countsSpendingOf = of.countsSpendingOf;
  }

  /**
   * Selects the agreed coordinator, or the next candidate while it is skipped.
   *
   * @param nowMs The local time.
   * @returns The instance to ask for placements.
   */
  current(nowMs: number): MemberRecord {
    return this.#selectionAt(nowMs).coordinator;
  }

  /**
   * Limits what this instance may hand out when it assigns targets.
   *
   * @param nowMs The local time.
   * @returns The share of the fleet's allotments, and the uptime of this
   * instance.
   */
  scope(nowMs: number): PlacementScope {
    const { share, reportedShare } = this.#selectionAt(nowMs);
    return {
      share,
      reportedShare,
      uptimeMs: nowMs - this.#startedAtMs,
      nowMs,
    };
  }

  /**
   * Skips an unresponsive coordinator for `SKIP_MS`.
   *
   * @param instanceId The coordinator's instance id.
   * @param nowMs The local time.
   * @returns Whether it was not skipped already.
   */
  skip(instanceId: string, nowMs: number): boolean {
    const isNew = !this.#skippedUntilMs.has(instanceId);
    this.#skippedUntilMs.set(instanceId, nowMs + SKIP_MS);
    this.#selection = undefined;
    return isNew;
  }

  #selectionAt(nowMs: number): Selection {
    const { revision } = this.#members;
    if (
      this.#selection === undefined || nowMs >= this.#selection.validUntilMs ||
      revision !== this.#selection.revision
    ) {
      const agreed = this.#members.coordinator(nowMs, NO_SKIPPED_IDS);
      const share = this.#share(agreed, nowMs);
      this.#selection = {
        validUntilMs: nowMs + SELECTION_TTL_MS,
        revision,
        coordinator: this.#selectResponsive(agreed, nowMs),
        share,
        reportedShare: this.#reportedShare(agreed, share, nowMs),
      };
    }
    return this.#selection;
  }

  /** Selects the agreed coordinator, or the next one while it is skipped. */
  #selectResponsive(agreed: MemberRecord, nowMs: number): MemberRecord {
    for (const [instanceId, untilMs] of this.#skippedUntilMs) {
      if (untilMs <= nowMs) {
        this.#skippedUntilMs.delete(instanceId);
      }
    }
    if (this.#skippedUntilMs.size === 0) {
      return agreed;
    }
    // A network partition usually cuts off a whole failure domain. Skipping all
    // members with an overdue heartbeat avoids trying them one after another.
    const overdue = this.#members.overdue(nowMs)
      .map((member) => member.instanceId);
    const skippedIds = new Set([...this.#skippedUntilMs.keys(), ...overdue]);
    return this.#members.coordinator(nowMs, skippedIds);
  }

  /**
   * Share of the fleet's allotments and retry budgets that this instance may
   * hand out: that of all members it receives heartbeats from while it is the
   * agreed coordinator, and otherwise that of one member.
   */
  #share(agreed: MemberRecord, nowMs: number): number {
    if (agreed.instanceId !== this.#members.selfId) {
      this.#agreedSinceMs = undefined;
      const ownShare = this.#members.shares.ofOne(nowMs);
      return Math.max(ownShare, this.#delegatedShare(nowMs));
    }
    this.#agreedSinceMs ??= nowMs;
    return nowMs - this.#agreedSinceMs < MEMBER_TIMEOUT_MS
      ? this.#members.shares.coordinated(nowMs)
      : this.#members.shares
        .directlyCoordinated(nowMs, this.#spendingReportedAtMs);
  }

  /**
   * Share of the holders whose reports are about what is handed out here. In a
   * large fleet, each part is of many holders and has spent its share of the sum.
   * In a small one, one holder may have spent most of it, so that all reports
   * count for each part.
   */
  #reportedShare(agreed: MemberRecord, share: number, nowMs: number): number {
    if (!this.#members.isFullMesh) {
      return this.#members.shares.of(nowMs, this.#countsSpendingOf);
    }
    return agreed.instanceId === this.#members.selfId ? share : 0;
  }

  /**
   * Share of the holders that ask this instance in place of a coordinator that
   * does not respond. Each asks one instance only, so shares of several such
   * instances add up to that of the whole fleet. Without it,
   * the instance would have the allotments of one member for the requests of
   * all until the members agree on the next coordinator.
   */
  #delegatedShare(nowMs: number): number {
    return this.#members.isFullMesh
      ? 0
      : this.#members.shares.of(nowMs, (instanceId) =>
        nowMs - this.#contactedAtMs(instanceId) < MAX_CONTACT_AGE_MS);
  }
}
