/**
 * Chooses which waiting asks get which targets now.
 *
 * Tiers go strictly in order: while an ask that could run on a live target
 * waits for room, nothing of a lower tier is placed. Within a tier workspaces
 * take turns by fair share, and asks of a workspace go by worth and urgency.
 * An ask that does not fit is passed by; once it has waited away a share of
 * its slack, room is kept for it on one target.
 */

import type { WaitingAsk, WorkspaceQueue } from "./blackboard.ts";
import { startTag } from "./fair_share.ts";
import { openGrant } from "./grant_account.ts";
import { keepReservedRooms, keepRoomWhenAged } from "./kept_room.ts";
import { lanesOfTier, orderLane, waitingTiers } from "./shard_queue.ts";
import { lowestGrantableTier } from "./shed_floor.ts";
import type { ShardView } from "./shard_view.ts";
import { choosePlace } from "./target_choice.ts";

/** Asks of one lane that may be found not to fit before the lane is left. */
const MAX_TRIED_PER_LANE = 256;

interface LaneCursor {
  readonly lane: WorkspaceQueue;
  readonly asks: readonly WaitingAsk[];
  next: number;
  tried: number;
}

/**
 * Places whatever asks of a shard can be placed now.
 *
 * @param view The shard as it is now.
 */
export function placeWaiting(view: ShardView): void {
  if (view.shard.waiting.size > 0) {
    new Placer(view).placeAll();
  }
}

class Placer {
  readonly #view: ShardView;

  constructor(view: ShardView) {
    this.#view = view;
    keepReservedRooms(view);
  }

  placeAll(): void {
    for (const tierRank of waitingTiers(this.#view.shard)) {
      if (!this.#hasRoom() || tierRank > lowestGrantableTier(this.#view)) {
        return;
      }
      this.#placeTier(tierRank);
      if (this.#someoneWaitsForRoom(tierRank)) {
        return;
      }
    }
  }

  #placeTier(tierRank: number): void {
    const { shard, nowMs } = this.#view;
    const lanes = lanesOfTier(shard, tierRank);
    for (const lane of lanes) {
      this.#placeReserved(lane);
    }
    const cursors: LaneCursor[] = lanes.map((lane) => ({
      lane,
      asks: orderLane(lane, nowMs),
      next: 0,
      tried: 0,
    }));
    while (cursors.length > 0 && this.#hasRoom()) {
      const cursor = this.#nextCursor(cursors);
      if (!this.#placeNext(cursor)) {
        cursors.splice(cursors.indexOf(cursor), 1);
      }
    }
  }

  #placeReserved(lane: WorkspaceQueue): void {
    for (const ask of [...lane.asks.values()]) {
      if (ask.reservation !== undefined) {
        this.#tryPlace(ask);
      }
    }
  }

  #nextCursor(cursors: readonly LaneCursor[]): LaneCursor {
    const { shard } = this.#view;
    return cursors.reduce((best, cursor) =>
      startTag(shard, cursor.lane) < startTag(shard, best.lane) ? cursor : best
    );
  }

  /** Places the first ask of a lane that fits; false when none is left. */
  #placeNext(cursor: LaneCursor): boolean {
    while (
      cursor.next < cursor.asks.length && cursor.tried < MAX_TRIED_PER_LANE
    ) {
      const ask = cursor.asks[cursor.next];
      cursor.next += 1;
      if (this.#tryPlace(ask)) {
        return true;
      }
      cursor.tried += 1;
    }
    return false;
  }

  #tryPlace(ask: WaitingAsk): boolean {
    const { shard } = this.#view;
    if (
      shard.waiting.get(ask.detail.requestId) !== ask ||
      !this.#view.isHolderFresh(ask)
    ) {
      return false;
    }
    const placement = choosePlace(this.#view, ask);
    if (placement === undefined) {
      keepRoomWhenAged(this.#view, ask);
      return false;
    }
    placement.room.take(placement.need);
    placement.room.grants.push(openGrant(this.#view, placement));
    return true;
  }

  #hasRoom(): boolean {
    return this.#view.rooms.some((room) =>
      room.hasFreeSlot && !room.isPrefillBusy(this.#view.nowMs, 0)
    );
  }

  #someoneWaitsForRoom(tierRank: number): boolean {
    return lanesOfTier(this.#view.shard, tierRank).some((lane) =>
      [...lane.asks.values()].some((ask) =>
        this.#view.isHolderFresh(ask) &&
        this.#view.rooms.some((room) => this.#view.isPossible(room, ask))
      )
    );
  }
}
