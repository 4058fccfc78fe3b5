/**
 * Chooses which waiting asks get which targets now.
 *
 * Tiers go strictly in order: while an ask that could run on a live target
 * waits for room, nothing of a lower tier is placed. Within a tier workspaces
 * take turns by fair share, and asks of a workspace go by worth and urgency.
 * An ask that does not fit is passed by; once it has waited away a share of
 * its slack, room is kept for it on one target.
 */

import type { GrantAccount, Lane, WaitingAsk } from "./blackboard.ts";
import {
  type Need,
  PassedOver,
  shortage,
  type TargetRoom,
} from "./capacity.ts";
import { startTag } from "./fair_share.ts";
import {
  lanesOfTier,
  orderLane,
  slackSpentShare,
  waitingTiers,
} from "./shard_queue.ts";
import type { ShardView } from "./shard_view.ts";
import type { Prediction } from "./work_cost.ts";

/** Share of its slack after which room is kept for an ask that does not fit. */
const KEEP_ROOM_AFTER_SHARE = 0.25;

/** Asks of one lane that may be found not to fit before the lane is left. */
const MAX_TRIED_PER_LANE = 256;

const MAX_PASSED_OVER = 4;

/** A target that was not chosen, for `why`. */
export interface PassedOverTarget {
  readonly targetId: string;
  readonly reason: string;
}

/** An ask with the target chosen for it. */
export interface Placement {
  readonly ask: WaitingAsk;
  readonly need: Need;
  readonly room: TargetRoom;
  readonly prediction: Prediction;
  readonly passedOver: readonly PassedOverTarget[];
}

interface LaneCursor {
  readonly lane: Lane;
  readonly asks: readonly WaitingAsk[];
  next: number;
  tried: number;
}

/** Places the asks of one shard during one event. */
export class Placer {
  readonly #view: ShardView;
  readonly #grant: (placement: Placement) => GrantAccount;

  /**
   * @param view The shard.
   * @param grant Carries a placement out; takes the ask out of the queue.
   */
  constructor(
    view: ShardView,
    grant: (placement: Placement) => GrantAccount,
  ) {
    this.#view = view;
    this.#grant = grant;
    keepReservedRooms(view);
  }

  /** Places whatever can be placed now. */
  placeAll(): void {
    for (const tierRank of waitingTiers(this.#view.shard)) {
      if (!this.#hasFreeSlot()) {
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
    while (cursors.length > 0 && this.#hasFreeSlot()) {
      const cursor = this.#nextCursor(cursors);
      if (!this.#placeNext(cursor)) {
        cursors.splice(cursors.indexOf(cursor), 1);
      }
    }
  }

  #placeReserved(lane: Lane): void {
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
    placement.room.grants.push(this.#grant(placement));
    return true;
  }

  #hasFreeSlot(): boolean {
    return this.#view.rooms.some((room) => room.hasFreeSlot);
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

/**
 * Chooses the target with the least predicted completion.
 *
 * @param view The shard.
 * @param ask The ask.
 * @returns The placement; undefined when no target can take it in time.
 */
export function choosePlace(
  view: ShardView,
  ask: WaitingAsk,
): Placement | undefined {
  const need = view.needOf(ask);
  const passedOver: PassedOverTarget[] = [];
  let best: { room: TargetRoom; prediction: Prediction } | undefined;
  for (const room of view.rooms) {
    const reason = reasonAgainst(view, ask, { room, need });
    if (reason !== undefined) {
      passedOver.push({ targetId: room.targetId, reason });
      continue;
    }
    const prediction = view.predict(room, ask.detail);
    const isBetter = best === undefined ||
      prediction.totalMs < best.prediction.totalMs;
    const loser = isBetter ? best : { room, prediction };
    if (loser !== undefined) {
      passedOver.push(slowerTarget(loser));
    }
    best = isBetter ? { room, prediction } : best;
  }
  return best && {
    ask,
    need,
    ...best,
    passedOver: passedOver.slice(0, MAX_PASSED_OVER),
  };
}

function reasonAgainst(
  view: ShardView,
  ask: WaitingAsk,
  on: { room: TargetRoom; need: Need },
): PassedOver | undefined {
  const { room, need } = on;
  if (ask.detail.excludedTargetIds.includes(room.targetId)) {
    return PassedOver.Excluded;
  }
  const obstacle = room.obstacle(need);
  const isFilledIn = obstacle === PassedOver.Kept &&
    endsBeforeKeptRoom(view, ask, on);
  if (obstacle !== undefined && !isFilledIn) {
    return obstacle;
  }
  const { totalMs } = view.predict(room, ask.detail);
  return view.nowMs + totalMs > ask.deadlineAtMs
    ? PassedOver.TooLate
    : undefined;
}

function slowerTarget(
  loser: { room: TargetRoom; prediction: Prediction },
): PassedOverTarget {
  const endMs = Math.round(loser.prediction.totalMs);
  return {
    targetId: loser.room.targetId,
    reason: `${PassedOver.Slower}: in ${endMs} ms`,
  };
}

/** Short work may use kept room that is not expected to be ready before. */
function endsBeforeKeptRoom(
  view: ShardView,
  ask: WaitingAsk,
  on: { room: TargetRoom; need: Need },
): boolean {
  const endMs = view.nowMs + view.predict(on.room, ask.detail).totalMs;
  return endMs <= on.room.keptRoomReadyAtMs(on.need);
}

function keepReservedRooms(view: ShardView): void {
  for (const ask of view.shard.waiting.values()) {
    const { reservation } = ask;
    if (reservation === undefined) {
      continue;
    }
    const room = view.rooms.find((each) =>
      each.targetId === reservation.targetId
    );
    if (room !== undefined && view.isPossible(room, ask)) {
      room.keep(view.needOf(ask), reservation.readyAtMs);
    } else {
      ask.reservation = undefined;
    }
  }
}

/**
 * Keeps room for an ask that lacks KV memory, not slots: others would go on
 * taking each piece of memory that comes free.
 */
function keepRoomWhenAged(view: ShardView, ask: WaitingAsk): void {
  if (
    ask.reservation !== undefined ||
    slackSpentShare(ask, view.nowMs) < KEEP_ROOM_AFTER_SHARE
  ) {
    return;
  }
  const need = view.needOf(ask);
  const candidates = view.rooms
    .filter((room) =>
      view.isPossible(room, ask) && !room.hasKept &&
      shortage(room, need, room.used) === PassedOver.NoKvMemory
    )
    .map((room) => ({ room, readyAtMs: roomReadyAtMs(room, need) }))
    .filter(({ readyAtMs }) => readyAtMs < Infinity)
    .sort((a, b) => a.readyAtMs - b.readyAtMs);
  const [best] = candidates;
  if (best !== undefined) {
    ask.reservation = {
      targetId: best.room.targetId,
      readyAtMs: best.readyAtMs,
    };
    best.room.keep(need, best.readyAtMs);
  }
}

/** When enough work is expected to have ended; Infinity where never. */
function roomReadyAtMs(room: TargetRoom, need: Need): number {
  const left = { ...room.used };
  const byEnd = [...room.grants].sort((a, b) =>
    a.expectedEndMs - b.expectedEndMs
  );
  for (const grant of byEnd) {
    left.slots -= 1;
    left.kvTokens -= grant.kvTokens;
    if (shortage(room, need, left) === undefined) {
      return grant.expectedEndMs;
    }
  }
  return Infinity;
}
