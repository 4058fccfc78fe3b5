/**
 * Share of a pool's slot time that each workspace of a rank gets, to find those
 * that take more than their allotments entitle them to.
 *
 * Load: one workspace sends many times its usual amount and stays within its
 * allotment, while the others of its rank are refused or miss their objectives.
 */

import type { Allotment } from "./fleet_configuration.ts";
import type { WorkAsk } from "./work_ask.ts";

/**
 * Time constant of the decay of placed slot time. A workspace that becomes
 * active again regains its share within about this time.
 */
const DECAY_MS = 1000;

/**
 * Time after its last placement for which a workspace without queued asks still
 * counts as active.
 */
const ACTIVE_MS = 3000;

/**
 * A workspace is over its share if its part of the placed slot time exceeds its
 * part of the weights by this factor. The margin keeps one large request from
 * putting a workspace behind; with sixteen equal workspaces, one that uses it
 * up takes less than 2 % from the others.
 */
const MAX_SHARE_RATIO = 1.25;

/** Time for which a workspace is still listed after it was over its share. */
const RECENTLY_OVER_MS = 1000;

/** Time between two evictions of workspaces that are no longer active. */
const EVICTION_INTERVAL_MS = 1000;

/** Numbers of queued asks of the workspaces over their shares, by rank. */
export type QueuedOverShare = ReadonlyMap<number, ReadonlyMap<string, number>>;

/** No workspace is over its share. */
export const NONE_OVER_SHARE: QueuedOverShare = new Map();

/** A workspace that took more than its share of a rank's slot time. */
export interface OverShare {
  /** Priority class; 0 is the highest. */
  readonly rank: number;
  /** Name of the workspace; empty for callers without one. */
  readonly workspace: string;
  /** Its part of the rank's placed slot time, from 0 to 1. */
  readonly placedRatio: number;
  /** Its part of the weights of the rank's active workspaces, from 0 to 1. */
  readonly weightRatio: number;
}

/** Asks and placed slot time of one workspace in one rank. */
interface Use {
  queued: number;
  /** Expected slot time of placed requests, decayed up to the base time. */
  slotMs: number;
  placedAtMs: number;
  /** Allotment at the last computation; absent if it had none. */
  allotment?: Allotment;
  overAtMs: number;
  /** State at `overAtMs`. */
  over?: OverShare;
}

/** Uses by workspace in one rank. */
interface RankUse {
  readonly byWorkspace: Map<string, Use>;
  /** Number of workspaces with queued asks. */
  queuedWorkspaces: number;
}

/** Allotments of one unit. */
interface AllotmentSum {
  perS: number;
  count: number;
}

/** Sums over the active workspaces of a rank. */
interface RankSum {
  active: number;
  slotMs: number;
  readonly tokens: AllotmentSum;
  readonly requests: AllotmentSum;
}

/** Slot time and shares of the workspaces of one pool, by rank. */
export class WorkspaceShares {
  readonly #allotmentOf: (workspace: string) => Allotment | undefined;
  readonly #byRank = new Map<number, RankUse>();
  /**
   * Base time of the decay: slot time placed later counts for more, so that
   * the passage of time changes no sum.
   */
  #baseMs = 0;
  #overAtMs = -Infinity;

  /**
   * @param allotmentOf Returns the allotment of a workspace in the
   * configuration in force; undefined if it has none.
   */
  constructor(allotmentOf: (workspace: string) => Allotment | undefined) {
    this.#allotmentOf = allotmentOf;
  }

  /**
   * Records that an ask entered or left the queue.
   *
   * @param ask The ask.
   * @param change 1 if it entered, -1 if it left.
   */
  queueChanged(
    { rank, workspace }: Pick<WorkAsk, "rank" | "workspace">,
    change: 1 | -1,
  ): void {
    const rankUse = this.#rankUse(rank);
    const use = useOf(rankUse, workspace);
    const wasQueued = use.queued > 0;
    use.queued += change;
    rankUse.queuedWorkspaces += Number(use.queued > 0) - Number(wasQueued);
    if (use.queued === 0 && use.slotMs === 0) {
      this.#delete(rank, workspace);
    }
  }

  /**
   * Records a placement.
   *
   * @param ask The ask that was placed.
   * @param slotMs Expected time for which its work occupies a slot.
   * @param nowMs Current local time in milliseconds.
   */
  recordPlaced(
    { rank, workspace }: Pick<WorkAsk, "rank" | "workspace">,
    slotMs: number,
    nowMs: number,
  ): void {
    if (nowMs - this.#baseMs >= EVICTION_INTERVAL_MS) {
      this.#evictInactive(nowMs);
    }
    const use = useOf(this.#rankUse(rank), workspace);
    use.slotMs += slotMs * Math.exp((nowMs - this.#baseMs) / DECAY_MS);
    use.placedAtMs = nowMs;
  }

  /**
   * Finds the workspaces with queued asks that are over their shares while
   * others of their rank have queued asks too. The cost is in proportion to the
   * active workspaces, and not to the queued asks.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns The workspaces with the numbers of their queued asks, by rank.
   */
  findOver(nowMs: number): QueuedOverShare {
    const found = new Map<number, ReadonlyMap<string, number>>();
    for (const [rank, { byWorkspace, queuedWorkspaces }] of this.#byRank) {
      // Capacity is lent as long as nobody else waits for it.
      if (queuedWorkspaces > 1) {
        const over = this.#findOverIn(rank, byWorkspace, nowMs);
        if (over.size > 0) {
          found.set(rank, over);
          this.#overAtMs = nowMs;
        }
      }
    }
    return found;
  }

  /**
   * Lists the workspaces that were over their shares within the last second, as
   * a workspace kept at its limit is over and within its share in turn.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns One entry for each workspace and rank, with its figures at the
   * last time it was over its share.
   */
  recentlyOver(nowMs: number): OverShare[] {
    const sinceMs = nowMs - RECENTLY_OVER_MS;
    if (this.#overAtMs < sinceMs) {
      return [];
    }
    return [...this.#byRank.values()].flatMap(({ byWorkspace }) =>
      [...byWorkspace.values()].flatMap(({ over, overAtMs }) =>
        over !== undefined && overAtMs >= sinceMs ? [over] : []
      )
    );
  }

  #findOverIn(
    rank: number,
    byWorkspace: ReadonlyMap<string, Use>,
    nowMs: number,
  ): Map<string, number> {
    const sum = this.#sumOf(byWorkspace, nowMs);
    const queued = new Map<string, number>();
    for (const [workspace, use] of byWorkspace) {
      const placedRatio = use.slotMs / sum.slotMs;
      const weightRatio = weightOf(use, sum) / sum.active;
      if (use.queued > 0 && placedRatio > MAX_SHARE_RATIO * weightRatio) {
        queued.set(workspace, use.queued);
        use.overAtMs = nowMs;
        use.over = { rank, workspace, placedRatio, weightRatio };
      }
    }
    return queued;
  }

  #sumOf(byWorkspace: ReadonlyMap<string, Use>, nowMs: number): RankSum {
    const sum: RankSum = {
      active: 0,
      slotMs: 0,
      tokens: { perS: 0, count: 0 },
      requests: { perS: 0, count: 0 },
    };
    for (const [workspace, use] of byWorkspace) {
      if (isActive(use, nowMs)) {
        sum.active++;
        sum.slotMs += use.slotMs;
        use.allotment = this.#allotmentOf(workspace);
        if (use.allotment !== undefined) {
          const unit = unitOf(use.allotment, sum);
          unit.perS += use.allotment.perS;
          unit.count++;
        }
      }
    }
    return sum;
  }

  /** Drops inactive workspaces, and decays the sums of the others. */
  #evictInactive(nowMs: number): void {
    const factor = Math.exp((this.#baseMs - nowMs) / DECAY_MS);
    this.#baseMs = nowMs;
    for (const [rank, { byWorkspace }] of this.#byRank) {
      for (const [workspace, use] of byWorkspace) {
        use.slotMs *= factor;
        if (!isActive(use, nowMs)) {
          this.#delete(rank, workspace);
        }
      }
    }
  }

  #rankUse(rank: number): RankUse {
    let rankUse = this.#byRank.get(rank);
    if (rankUse === undefined) {
      rankUse = { byWorkspace: new Map(), queuedWorkspaces: 0 };
      this.#byRank.set(rank, rankUse);
    }
    return rankUse;
  }

  #delete(rank: number, workspace: string): void {
    const byWorkspace = this.#byRank.get(rank)?.byWorkspace;
    byWorkspace?.delete(workspace);
    if (byWorkspace?.size === 0) {
      this.#byRank.delete(rank);
    }
  }
}

function useOf({ byWorkspace }: RankUse, workspace: string): Use {
  let use = byWorkspace.get(workspace);
  if (use === undefined) {
    use = { queued: 0, slotMs: 0, placedAtMs: -Infinity, overAtMs: -Infinity };
    byWorkspace.set(workspace, use);
  }
  return use;
}

function isActive({ queued, placedAtMs }: Use, nowMs: number): boolean {
  return queued > 0 || nowMs - placedAtMs <= ACTIVE_MS;
}

/**
 * Returns the weight of a workspace relative to the mean of its rank. Rates in
 * tokens and rates in requests are not comparable, so each is taken relative to
 * the mean of its unit.
 */
function weightOf({ allotment }: Use, sum: RankSum): number {
  if (allotment === undefined) {
    return 1;
  }
  const { perS, count } = unitOf(allotment, sum);
  // Allotments of 0 are valid.
  return perS > 0 ? allotment.perS * count / perS : 1;
}

function unitOf({ inTokens }: Allotment, sum: RankSum): AllotmentSum {
  return inTokens ? sum.tokens : sum.requests;
}
