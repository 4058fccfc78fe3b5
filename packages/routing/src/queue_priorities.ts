/**
 * Priorities in the queue of one pool: ranks that are starved, workspaces over
 * their shares, and standing backlogs, as found from what was decided before.
 */

import { Backlog, type OnTimeQueue, type StandingBacklog } from "./backlog.ts";
import { isOverShare, type OrderContext } from "./queue_order.ts";
import { RankShares } from "./rank_shares.ts";
import type { RoutingBoard } from "./routing_board.ts";
import type { WorkAsk } from "./work_ask.ts";
import {
  NONE_OVER_SHARE,
  type OverShare,
  WorkspaceShares,
} from "./workspace_shares.ts";

const NO_RANKS: ReadonlySet<number> = new Set();

/** Order without regard to workspaces and backlogs. */
const PLAIN_ORDER = {
  overShare: NONE_OVER_SHARE,
  backlogged: NO_RANKS,
  overShareBacklogged: NO_RANKS,
};

/** Initial estimate of the time for which work occupies a slot. */
const INITIAL_HOLD_MS = 600;
const HOLD_SMOOTHING_FACTOR = 0.05;

/**
 * Share of the targets' time that starved ranks get ahead of their turn, so
 * that their queues don't hold up all ranks above. It is accounted in time and
 * not in placements, because work of a low rank may occupy a slot for much
 * longer.
 */
export const STARVED_TIME_SHARE = 0.15;

/**
 * Upper bound of the time credit that starved ranks accumulate, about one long
 * stream.
 */
const MAX_STARVED_CREDIT_MS = 1000;

/** What decides the order of one pool's queue besides the requests in it. */
export class QueuePriorities {
  readonly #board: RoutingBoard;
  readonly #workspaceShares: WorkspaceShares;
  readonly #shares = new RankShares();
  readonly #backlog = new Backlog();
  /** Backlogs of the requests of workspaces over their shares. */
  readonly #overShareBacklog = new Backlog();
  #holdMs = INITIAL_HOLD_MS;
  /** Time at targets that starved ranks may still get ahead of their turn. */
  #starvedCreditMs = 0;

  /** @param board Shared routing state of the instance. */
  constructor(board: RoutingBoard) {
    this.#board = board;
    this.#workspaceShares = new WorkspaceShares((workspace) =>
      board.routes?.workspace(workspace)?.allotment
    );
  }

  /** Mean time in milliseconds for which work of any rank occupies a slot. */
  get holdMs(): number {
    return this.#holdMs;
  }

  /**
   * @param rank A rank.
   * @returns Mean time in milliseconds that its work occupies a slot; that of
   * all ranks until some of its work has ended.
   */
  workMs(rank: number): number {
    return this.#shares.workMs(rank) ?? this.#holdMs;
  }

  /**
   * Lists the ranks whose on-time requests are served newest first.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns Their standing backlogs; none in a fleet with a full mesh.
   */
  standingBacklogs(nowMs: number): StandingBacklog[] {
    return this.#board.members.isFullMesh ? [] : this.#backlog.standing(nowMs);
  }

  /**
   * Lists the workspaces that were over their shares within the last second.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns One entry for each workspace and rank.
   */
  overShares(nowMs: number): OverShare[] {
    return this.#workspaceShares.recentlyOver(nowMs);
  }

  /**
   * Finds what the order of the queue depends on besides the requests.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns The promoted ranks, workspaces over their shares, and backlogs.
   */
  orderContext(nowMs: number): OrderContext {
    const promoted = this.#promoted(nowMs);
    // With few instances, requests are ordered without regard to workspaces and
    // backlogs.
    return this.#board.members.isFullMesh
      ? { ...PLAIN_ORDER, promoted, nowMs }
      : {
        promoted,
        overShare: this.#workspaceShares.findOver(nowMs),
        backlogged: this.#backlog.ranks(nowMs),
        overShareBacklogged: this.#overShareBacklog.ranks(nowMs),
        nowMs,
      };
  }

  /**
   * Records that an ask entered the queue or left it.
   *
   * @param ask The ask.
   * @param change 1 if it entered, -1 if it left.
   */
  queueChanged(ask: WorkAsk, change: 1 | -1): void {
    this.#workspaceShares.queueChanged(ask, change);
  }

  /**
   * Records the time at a target that an ask is expected to take, which counts
   * towards its workspace's share.
   *
   * @param ask The ask that was placed.
   * @param slotMs Expected time for which it occupies a slot.
   * @param nowMs Current local time in milliseconds.
   */
  recordPlaced(ask: WorkAsk, slotMs: number, nowMs: number): void {
    this.#workspaceShares.recordPlaced(ask, slotMs, nowMs);
  }

  /**
   * Records that a queued ask was placed or refused, before it leaves the
   * queue.
   *
   * @param ask The ask.
   * @param isPlaced True if it was placed, false if it was refused.
   * @param of What the order depended on, and a function that finds the on-time
   * requests of the ask's rank, which is called only where backlogs count.
   */
  recordDecided(
    ask: WorkAsk,
    isPlaced: boolean,
    { context, onTime }: { context: OrderContext; onTime: () => OnTimeQueue },
  ): void {
    const { nowMs } = context;
    if (isPlaced && !this.#board.members.isFullMesh) {
      const backlog = isOverShare(ask, context)
        ? this.#overShareBacklog
        : this.#backlog;
      backlog.recordPlaced(ask.rank, { ...onTime(), nowMs });
    }
    this.#shares.recordOutcome(ask.rank, isPlaced, nowMs);
    if (isPlaced) {
      this.#updateStarvedCredit(ask.rank, nowMs);
    }
  }

  /**
   * Records asks that holders refused by themselves.
   *
   * @param rank Rank of the asks.
   * @param count Number of the asks.
   * @param nowMs Current local time in milliseconds.
   */
  recordRefusals(rank: number, count: number, nowMs: number): void {
    this.#shares.recordRefusals(rank, count, nowMs);
  }

  /**
   * Records the duration of work at its target.
   *
   * @param rank Rank of the work.
   * @param durationMs Time that it occupied a slot.
   * @param nowMs Current local time in milliseconds.
   */
  recordDuration(rank: number, durationMs: number, nowMs: number): void {
    this.#holdMs += HOLD_SMOOTHING_FACTOR * (durationMs - this.#holdMs);
    this.#shares.recordDuration(rank, durationMs, nowMs);
  }

  /** Ranks that are served first with the next placement. */
  #promoted(nowMs: number): ReadonlySet<number> {
    return this.#starvedCreditMs > 0 ? this.#shares.starved(nowMs) : NO_RANKS;
  }

  /** Charges a placement of a starved rank; credits that of any other. */
  #updateStarvedCredit(rank: number, nowMs: number): void {
    const isStarved = this.#shares.starved(nowMs).has(rank);
    const workMs = this.workMs(rank);
    this.#starvedCreditMs = isStarved
      ? this.#starvedCreditMs - workMs
      : Math.min(
        MAX_STARVED_CREDIT_MS,
        this.#starvedCreditMs + STARVED_TIME_SHARE * workMs,
      );
  }
}
