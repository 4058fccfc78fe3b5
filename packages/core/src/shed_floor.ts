/**
 * The shed floor of a shard: the lowest tier that is served for a limited time
 * after work of that tier was shed. Lower tiers are refused meanwhile.
 *
 * Shards of a pool share neither a clock nor a queue. A floor that outlasts the
 * differences between them keeps a lower tier from being served in one failure
 * domain while a higher tier is refused in another.
 */

import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import { shardKey } from "./blackboard.ts";
import { rankCoordinators } from "./coordinators.ts";
import { preemptGrant } from "./grant_lifecycle.ts";
import { isPreemptible } from "./preemption.ts";
import { domainsOfPool } from "./settings_index.ts";
import type { ShardView } from "./shard_view.ts";

/** Time for which a floor is in force after the last shedding of its tier. */
export const FLOOR_DURATION_MS = 2000;

/**
 * Time for which grants to lower tiers are held back after a refusal. It lasts
 * two ticks, within which domains that refuse a request for the same reason all
 * do so.
 */
const GRANT_HOLD_DURATION_MS = 100;

/**
 * Raises the floor to a tier whose work is shed, or extends its time.
 *
 * @param view The shard whose floor is raised.
 * @param tierRank Rank of the tier.
 */
export function raiseFloor(view: ShardView, tierRank: number): void {
  view.shard.shedFloorUntilMs.set(tierRank, view.nowMs + FLOOR_DURATION_MS);
}

/**
 * Holds back grants below a tier for two ticks. Other domains may be refusing
 * the same request at this time; if they all do, its holder orders every domain
 * to shed the lower tiers.
 *
 * @param view The shard that refused the request.
 * @param tierRank Rank of the refused request's tier.
 */
export function holdGrantsBelow(view: ShardView, tierRank: number): void {
  view.shard.grantHoldUntilMs.set(
    tierRank,
    view.nowMs + GRANT_HOLD_DURATION_MS,
  );
}

/**
 * Returns the lowest tier that may receive grants now.
 *
 * @param view The shard whose floor and grant holds apply.
 * @returns Rank of the tier; Infinity where every tier may.
 */
export function lowestGrantableTier(view: ShardView): number {
  const { grantHoldUntilMs } = view.shard;
  return Math.min(
    floorTierOf(view),
    highestActiveTier(grantHoldUntilMs, view.nowMs),
  );
}

/**
 * Returns the lowest tier that may be served now.
 *
 * @param view The shard whose floor applies.
 * @returns Rank of the tier; Infinity where no floor is in force.
 */
export function floorTierOf({ shard, nowMs }: ShardView): number {
  return highestActiveTier(shard.shedFloorUntilMs, nowMs);
}

/**
 * Returns the highest tier whose time has not passed. Each tier has a time of
 * its own, since the refusals that a floor causes must not extend that floor.
 */
function highestActiveTier(
  untilMsByRank: Map<number, number>,
  nowMs: number,
): number {
  let highest = Infinity;
  for (const [tierRank, untilMs] of untilMsByRank) {
    if (nowMs < untilMs) {
      highest = Math.min(highest, tierRank);
    }
  }
  return highest;
}

/**
 * Cancels the running streams of all tiers below one, and raises the floor to
 * that tier.
 *
 * @param view The shard in which the streams run.
 * @param tierRank Rank of the tier whose work is shed in any shard of the pool.
 */
export function preemptBelow(view: ShardView, tierRank: number): void {
  raiseFloor(view, tierRank);
  for (const grant of view.shard.grants.values()) {
    if (isPreemptible(view, grant, tierRank)) {
      preemptGrant(view, grant, `tier ${tierRank}, which is shed as well`);
    }
  }
}

/**
 * Notifies the coordinators of the pool's other shards that work of a tier is
 * shed here, so that they shed all lower tiers.
 *
 * @param view The shard that sheds the work.
 * @param tierRank Rank of the tier; the lowest tier causes no messages.
 */
export function notifyOtherShards(view: ShardView, tierRank: number): void {
  const { shard, settings, turn } = view;
  if (tierRank >= settings.tiers.length - 1) {
    return;
  }
  for (const failureDomain of domainsOfPool(settings, shard.pool)) {
    if (failureDomain === shard.failureDomain) {
      continue;
    }
    const key = shardKey(shard.pool, failureDomain);
    const [coordinator] = rankCoordinators(
      turn.board,
      { key, failureDomain },
      turn.nowMs,
    );
    if (coordinator !== undefined) {
      turn.send(coordinator.instanceId, {
        kind: PeerMessageKind.ShedBelow,
        pool: shard.pool,
        failureDomain,
        tierRank,
      });
    }
  }
}
