/**
 * Placement of waiting asks on targets.
 *
 * Tiers are served strictly in order: while an ask that could run on an
 * available target waits for capacity, no ask of a lower tier is placed. Within
 * a tier, workspaces are served by fair share, and the asks of a workspace by
 * value and urgency. An ask that does not fit is skipped; once it has waited
 * for a share of its slack, capacity is reserved for it on one target.
 */

import type { WaitingAsk, WorkspaceQueue } from "./blackboard.ts";
import { startTag } from "./fair_share.ts";
import { openGrant } from "./grant_lifecycle.ts";
import { applyReservations, reserveWhenAged } from "./reservations.ts";
import { queuesOfTier, rankQueue, waitingTiers } from "./shard_queue.ts";
import { lowestGrantableTier } from "./shed_floor.ts";
import type { ShardView } from "./shard_view.ts";
import { chooseTarget } from "./target_choice.ts";

/** Asks of one workspace that may fail to fit before it is skipped. */
const MAX_MISSES_PER_QUEUE = 256;

/** Progress of one placement run through the ranked asks of a workspace. */
interface QueueCursor {
  readonly queue: WorkspaceQueue;
  readonly asks: readonly WaitingAsk[];
  /** Index of the next ask to try. */
  nextIndex: number;
  /** Asks tried without success. */
  misses: number;
}

/**
 * Places all asks of a shard that can be placed now.
 *
 * @param view The shard, created after the latest change of its grants or load.
 */
export function placeWaiting(view: ShardView): void {
  if (view.shard.waiting.size > 0) {
    new PlacementRun(view).placeAll();
  }
}

/** One placement run over the waiting asks of a shard. */
class PlacementRun {
  readonly #view: ShardView;

  constructor(view: ShardView) {
    this.#view = view;
    applyReservations(view);
  }

  placeAll(): void {
    for (const tierRank of waitingTiers(this.#view.shard)) {
      if (!this.#hasCapacity() || tierRank > lowestGrantableTier(this.#view)) {
        return;
      }
      this.#placeTier(tierRank);
      if (this.#hasWaitingCandidate(tierRank)) {
        return;
      }
    }
  }

  #placeTier(tierRank: number): void {
    const { shard, nowMs } = this.#view;
    const queues = queuesOfTier(shard, tierRank);
    for (const queue of queues) {
      this.#placeReserved(queue);
    }
    const cursors: QueueCursor[] = queues.map((queue) => ({
      queue,
      asks: rankQueue(queue, nowMs),
      nextIndex: 0,
      misses: 0,
    }));
    while (cursors.length > 0 && this.#hasCapacity()) {
      const cursor = this.#nextCursor(cursors);
      if (!this.#placeNext(cursor)) {
        cursors.splice(cursors.indexOf(cursor), 1);
      }
    }
  }

  #placeReserved(queue: WorkspaceQueue): void {
    for (const ask of [...queue.asks.values()]) {
      if (ask.reservation !== undefined) {
        this.#tryPlace(ask);
      }
    }
  }

  #nextCursor(cursors: readonly QueueCursor[]): QueueCursor {
    const { shard } = this.#view;
    return cursors.reduce((best, cursor) =>
      startTag(shard, cursor.queue) < startTag(shard, best.queue)
        ? cursor
        : best
    );
  }

  /**
   * Places the next ask of a workspace that fits.
   *
   * @param cursor The workspace's queue and the progress in it.
   * @returns Whether an ask was placed; false once no ask is left to try.
   */
  #placeNext(cursor: QueueCursor): boolean {
    while (
      cursor.nextIndex < cursor.asks.length &&
      cursor.misses < MAX_MISSES_PER_QUEUE
    ) {
      const ask = cursor.asks[cursor.nextIndex];
      cursor.nextIndex += 1;
      if (this.#tryPlace(ask)) {
        return true;
      }
      cursor.misses += 1;
    }
    return false;
  }

  #tryPlace(ask: WaitingAsk): boolean {
    const { shard } = this.#view;
    if (
      shard.waiting.get(ask.detail.requestId) !== ask ||
      !this.#view.isHolderResponsive(ask)
    ) {
      return false;
    }
    const placement = chooseTarget(this.#view, ask);
    if (placement === undefined) {
      reserveWhenAged(this.#view, ask);
      return false;
    }
    placement.capacity.allocate(placement.demand);
    placement.capacity.grants.push(openGrant(this.#view, placement));
    return true;
  }

  #hasCapacity(): boolean {
    return this.#view.capacities.some((capacity) =>
      capacity.hasFreeSlot && !capacity.isPrefillBusy(this.#view.nowMs, 0)
    );
  }

  /** Whether an ask of the tier waits that some available target could run. */
  #hasWaitingCandidate(tierRank: number): boolean {
    return queuesOfTier(this.#view.shard, tierRank).some((queue) =>
      [...queue.asks.values()].some((ask) =>
        this.#view.isHolderResponsive(ask) &&
        this.#view.capacities.some((capacity) =>
          this.#view.isCandidate(capacity, ask)
        )
      )
    );
  }
}
