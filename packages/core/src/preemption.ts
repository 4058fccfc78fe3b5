/**
 * Planning of capacity, and of preemptions that free it, for asks that cannot
 * wait any longer.
 */

import type { GrantRecord, WaitingAsk } from "./blackboard.ts";
import {
  type ResourceDemand,
  shortage,
  type TargetCapacity,
} from "./capacity.ts";
import { prefillQueueOf } from "./prefill_queue.ts";
import type { ShardView } from "./shard_view.ts";
import type { TargetUsage } from "./target_usage.ts";

/** Running work to cancel so that an ask fits on one target. */
export interface PreemptionPlan {
  /** Capacity of the target on which the work runs. */
  readonly capacity: TargetCapacity;
  /** Grants of the work to cancel. */
  readonly victims: readonly GrantRecord[];
}

/**
 * A forecast of the free capacity of a shard, allocated to the urgent asks of
 * one event in turn, so that no two asks count on the same capacity.
 */
export class CapacityPlan {
  readonly #view: ShardView;
  readonly #allocated = new Map<string, TargetUsage>();

  /** @param view The shard whose capacity is allocated. */
  constructor(view: ShardView) {
    this.#view = view;
  }

  /**
   * Allocates capacity to an ask that is free or will become free without
   * further preemption, where the ask can still end in time there.
   *
   * @param ask The urgent ask.
   * @param endsByMs Local time; work expected to end by then counts as ended.
   * @returns Whether capacity was allocated.
   */
  tryAllocate(ask: WaitingAsk, endsByMs: number): boolean {
    const demand = this.#view.demandOf(ask);
    const capacity = this.#view.capacities.find((each) =>
      this.#view.isCandidate(each, ask) &&
      this.#fitsAfter(each, ask, this.#endingBy(each, endsByMs))
    );
    if (capacity !== undefined) {
      this.#allocate(capacity, demand);
    }
    return capacity !== undefined;
  }

  /**
   * Chooses the work to cancel for an ask, and allocates its capacity to the
   * ask. Work of the lowest tier is preferred, then the fewest streams, then
   * the streams with the least progress.
   *
   * @param ask The urgent ask.
   * @returns The plan; undefined where no preemption would let the ask end in
   * time.
   */
  planPreemption(ask: WaitingAsk): PreemptionPlan | undefined {
    const plans = this.#view.capacities
      .filter((capacity) => this.#view.isCandidate(capacity, ask))
      .flatMap((capacity) => {
        const victims = this.#selectVictims(capacity, ask);
        return victims === undefined ? [] : [{ capacity, victims }];
      })
      .sort((a, b) => this.#comparePlans(a, b));
    const [best] = plans;
    if (best !== undefined) {
      this.#allocate(best.capacity, this.#view.demandOf(ask));
    }
    return best;
  }

  #selectVictims(
    capacity: TargetCapacity,
    ask: WaitingAsk,
  ): GrantRecord[] | undefined {
    const candidates = capacity.grants
      .filter((grant) => isPreemptible(this.#view, grant, ask.detail.tierRank))
      .sort((a, b) =>
        b.work.tierRank - a.work.tierRank ||
        progressShareOf(a, this.#view.nowMs) -
          progressShareOf(b, this.#view.nowMs)
      );
    const alreadyEnding = this.#endingBy(capacity, -Infinity);
    const victims: GrantRecord[] = [];
    for (const grant of candidates) {
      victims.push(grant);
      const ending = [...alreadyEnding, ...victims];
      const used = this.#usedAfter(capacity, ending);
      if (shortage(capacity, this.#view.demandOf(ask), used) === undefined) {
        // No more streams are cancelled only to speed up the target.
        return this.#endsInTime(capacity, ask, { ending, used })
          ? victims
          : undefined;
      }
    }
    return undefined;
  }

  /** Grants on a target that are being cancelled or should end by a time. */
  #endingBy(capacity: TargetCapacity, endsByMs: number): GrantRecord[] {
    return capacity.grants.filter((grant) =>
      grant.preempted || grant.expectedEndMs <= endsByMs
    );
  }

  #fitsAfter(
    capacity: TargetCapacity,
    ask: WaitingAsk,
    ending: readonly GrantRecord[],
  ): boolean {
    const used = this.#usedAfter(capacity, ending);
    return shortage(capacity, this.#view.demandOf(ask), used) === undefined &&
      this.#endsInTime(capacity, ask, { ending, used });
  }

  #usedAfter(
    capacity: TargetCapacity,
    ending: readonly GrantRecord[],
  ): TargetUsage {
    const allocated = this.#allocated.get(capacity.targetId);
    return {
      slots: capacity.used.slots - ending.length + (allocated?.slots ?? 0),
      kvTokens: capacity.used.kvTokens + (allocated?.kvTokens ?? 0) -
        ending.reduce((sum, grant) => sum + grant.kvTokens, 0),
    };
  }

  #endsInTime(
    capacity: TargetCapacity,
    ask: WaitingAsk,
    after: { ending: readonly GrantRecord[]; used: TargetUsage },
  ): boolean {
    const { nowMs } = this.#view;
    const remaining = capacity.grants.filter((grant) =>
      !after.ending.includes(grant)
    );
    const { conservativeMs } = this.#view.predict(
      capacity,
      ask.detail,
      {
        prefillQueueMs: prefillQueueOf(remaining, {
          nowMs,
          lastReadAtMs: capacity.lastReadAtMs,
        }).totalMs,
        utilization: after.used.slots / Math.max(1, capacity.slotsTotal),
      },
    );
    return nowMs + conservativeMs <= ask.deadlineAtMs;
  }

  #allocate(capacity: TargetCapacity, demand: ResourceDemand): void {
    const allocated = this.#allocated.get(capacity.targetId) ??
      { slots: 0, kvTokens: 0 };
    allocated.slots += 1;
    allocated.kvTokens += demand.kvTokens;
    this.#allocated.set(capacity.targetId, allocated);
  }

  #comparePlans(a: PreemptionPlan, b: PreemptionPlan): number {
    return highestPreemptedTier(b) - highestPreemptedTier(a) ||
      a.victims.length - b.victims.length ||
      this.#progressLost(a) - this.#progressLost(b);
  }

  #progressLost(plan: PreemptionPlan): number {
    return plan.victims.reduce(
      (sum, grant) => sum + progressShareOf(grant, this.#view.nowMs),
      0,
    );
  }
}

/**
 * Checks whether running work may be cancelled in favour of a tier.
 *
 * @param view The shard in which the work runs.
 * @param grant The grant of the work.
 * @param tierRank Rank of the tier that needs capacity.
 * @returns True for cancellable work of a lower tier whose policy permits
 * preemption and that is not being cancelled yet.
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
 * Returns the highest tier whose work a plan cancels.
 *
 * @param plan The preemption plan.
 * @returns Rank of the tier.
 */
export function highestPreemptedTier(plan: PreemptionPlan): number {
  return Math.min(...plan.victims.map((grant) => grant.work.tierRank));
}

function progressShareOf(grant: GrantRecord, nowMs: number): number {
  const expectedMs = Math.max(1, grant.expectedEndMs - grant.grantedAtMs);
  return (nowMs - grant.grantedAtMs) / expectedMs;
}
