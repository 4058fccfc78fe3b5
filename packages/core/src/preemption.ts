/** Plans room for asks that cannot wait any longer. */

import type { GrantRecord, WaitingAsk } from "./blackboard.ts";
import { type Need, shortage, type TargetRoom } from "./capacity.ts";
import { prefillQueueOf } from "./prefill_queue.ts";
import type { ShardView } from "./shard_view.ts";
import type { Usage } from "./target_usage.ts";

/** Running work to cancel so that an ask fits on one target. */
export interface PreemptionPlan {
  readonly room: TargetRoom;
  readonly victims: readonly GrantRecord[];
}

/** Room of a shard as it will be, shared out among urgent asks. */
export class RoomPlan {
  readonly #view: ShardView;
  readonly #promised = new Map<string, Usage>();

  /** @param view The shard. */
  constructor(view: ShardView) {
    this.#view = view;
  }

  /**
   * Promises an ask room that is free or will come free by itself.
   *
   * @param ask The ask.
   * @param byMs Work expected to end until then counts as ended.
   * @returns Whether there is such room.
   */
  promise(ask: WaitingAsk, byMs: number): boolean {
    const need = this.#view.needOf(ask);
    const room = this.#view.rooms.find((each) =>
      this.#view.isPossible(each, ask) &&
      this.#fitsWithout(each, ask, this.#endingBy(each, byMs))
    );
    if (room !== undefined) {
      this.#addPromise(room, need);
    }
    return room !== undefined;
  }

  /**
   * Finds the cheapest work to cancel for an ask, and promises it the room:
   * the lowest tier first, then the fewest streams, then the least progressed.
   *
   * @param ask The ask.
   * @returns The plan; undefined where cancelling makes no room.
   */
  planVictims(ask: WaitingAsk): PreemptionPlan | undefined {
    const plans = this.#view.rooms
      .filter((room) => this.#view.isPossible(room, ask))
      .flatMap((room) => {
        const victims = this.#victimsOn(room, ask);
        return victims === undefined ? [] : [{ room, victims }];
      })
      .sort((a, b) => this.#comparePlans(a, b));
    const [best] = plans;
    if (best !== undefined) {
      this.#addPromise(best.room, this.#view.needOf(ask));
    }
    return best;
  }

  #victimsOn(room: TargetRoom, ask: WaitingAsk): GrantRecord[] | undefined {
    const candidates = room.grants
      .filter((grant) => isPreemptible(this.#view, grant, ask.detail.tierRank))
      .sort((a, b) =>
        b.work.tierRank - a.work.tierRank ||
        progressOf(a, this.#view.nowMs) - progressOf(b, this.#view.nowMs)
      );
    const going = this.#endingBy(room, -Infinity);
    const victims: GrantRecord[] = [];
    for (const grant of candidates) {
      victims.push(grant);
      const ending = [...going, ...victims];
      const used = this.#usedWithout(room, ending);
      if (shortage(room, this.#view.needOf(ask), used) === undefined) {
        // More are not cancelled only to make the target faster.
        return this.#endsInTime(room, ask, { ending, used })
          ? victims
          : undefined;
      }
    }
    return undefined;
  }

  /** Grants on a target that are being cancelled, or end by a time. */
  #endingBy(room: TargetRoom, byMs: number): GrantRecord[] {
    return room.grants.filter((grant) =>
      grant.preempted || grant.expectedEndMs <= byMs
    );
  }

  #fitsWithout(
    room: TargetRoom,
    ask: WaitingAsk,
    ending: readonly GrantRecord[],
  ): boolean {
    const used = this.#usedWithout(room, ending);
    return shortage(room, this.#view.needOf(ask), used) === undefined &&
      this.#endsInTime(room, ask, { ending, used });
  }

  #usedWithout(room: TargetRoom, ending: readonly GrantRecord[]): Usage {
    const promised = this.#promised.get(room.targetId);
    return {
      slots: room.used.slots - ending.length + (promised?.slots ?? 0),
      kvTokens: room.used.kvTokens + (promised?.kvTokens ?? 0) -
        ending.reduce((sum, grant) => sum + grant.kvTokens, 0),
    };
  }

  #endsInTime(
    room: TargetRoom,
    ask: WaitingAsk,
    then: { ending: readonly GrantRecord[]; used: Usage },
  ): boolean {
    const { nowMs } = this.#view;
    const staying = room.grants.filter((grant) => !then.ending.includes(grant));
    const { cautiousMs } = this.#view.predict(room, ask.detail, {
      prefillQueueMs: prefillQueueOf(staying, {
        nowMs,
        lastReadAtMs: room.lastReadAtMs,
      }).totalMs,
      utilization: then.used.slots / Math.max(1, room.slotsTotal),
    });
    return nowMs + cautiousMs <= ask.deadlineAtMs;
  }

  #addPromise(room: TargetRoom, need: Need): void {
    const promised = this.#promised.get(room.targetId) ??
      { slots: 0, kvTokens: 0 };
    promised.slots += 1;
    promised.kvTokens += need.kvTokens;
    this.#promised.set(room.targetId, promised);
  }

  #comparePlans(a: PreemptionPlan, b: PreemptionPlan): number {
    return highestTierOf(b) - highestTierOf(a) ||
      a.victims.length - b.victims.length ||
      this.#progressLost(a) - this.#progressLost(b);
  }

  #progressLost(plan: PreemptionPlan): number {
    return plan.victims.reduce(
      (sum, grant) => sum + progressOf(grant, this.#view.nowMs),
      0,
    );
  }
}

/**
 * Tells whether running work may be cancelled for a tier.
 *
 * @param view The shard.
 * @param grant The work's grant.
 * @param tierRank The tier that needs room.
 * @returns True for cancellable work of lower tiers whose policy allows it.
 */
export function isPreemptible(
  view: ShardView,
  grant: GrantRecord,
  tierRank: number,
): boolean {
  return grant.work.tierRank > tierRank && grant.work.cancellable &&
    !grant.preempted && view.policyOf(grant.work).preemptible;
}

/**
 * Tells the highest tier that a plan cancels.
 *
 * @param plan The plan.
 * @returns Its rank.
 */
export function highestTierOf(plan: PreemptionPlan): number {
  return Math.min(...plan.victims.map((grant) => grant.work.tierRank));
}

function progressOf(grant: GrantRecord, nowMs: number): number {
  const expectedMs = Math.max(1, grant.expectedEndMs - grant.grantedAtMs);
  return (nowMs - grant.grantedAtMs) / expectedMs;
}
