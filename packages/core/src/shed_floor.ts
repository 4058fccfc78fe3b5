/**
 * The floor of a shard: the tier below which nothing is served for a while,
 * since work of that tier was shed. Shards of a pool share no clock and no
 * queue; a floor that outlasts their differences keeps a lower tier from being
 * served in one domain while a higher one is refused in another.
 */

import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import { shardKey } from "./blackboard.ts";
import { rankCoordinators } from "./coordinators.ts";
import { preemptGrant } from "./grant_account.ts";
import { isPreemptible } from "./preemption.ts";
import { domainsOfPool } from "./settings_index.ts";
import type { ShardView } from "./shard_view.ts";

/** How long a floor stands after the last shedding. */
export const FLOOR_MS = 2000;

/** Two ticks: domains that refuse for the same reason do so within it. */
const GRANT_HOLD_MS = 100;

/**
 * Raises the floor to a tier whose work is shed, or lets it stand longer.
 *
 * @param view The shard.
 * @param tierRank The tier.
 */
export function raiseFloor(view: ShardView, tierRank: number): void {
  view.shard.shedFloorUntilMs.set(tierRank, view.nowMs + FLOOR_MS);
}

/**
 * Grants nothing below a tier for a moment: other domains may be refusing the
 * same request just now, and then its holder will have lower tiers shed.
 *
 * @param view The shard.
 * @param tierRank The tier of the request that this shard refused.
 */
export function holdGrantsBelow(view: ShardView, tierRank: number): void {
  view.shard.grantHoldUntilMs.set(tierRank, view.nowMs + GRANT_HOLD_MS);
}

/**
 * Gives the lowest tier that may be granted now.
 *
 * @param view The shard.
 * @returns Its rank; Infinity where any may.
 */
export function lowestGrantableTier(view: ShardView): number {
  const { grantHoldUntilMs } = view.shard;
  return Math.min(floorOf(view), highestStanding(grantHoldUntilMs, view.nowMs));
}

/**
 * Gives the lowest tier that may be served now.
 *
 * @param view The shard.
 * @returns Its rank; Infinity where no floor stands.
 */
export function floorOf({ shard, nowMs }: ShardView): number {
  return highestStanding(shard.shedFloorUntilMs, nowMs);
}

/**
 * Each tier's time runs by itself: what a floor refuses must not prolong it.
 */
function highestStanding(
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
 * Cancels the running streams below a tier, and raises the floor to it.
 *
 * @param view The shard.
 * @param tierRank The tier whose work is shed somewhere in reach.
 */
export function cancelBelow(view: ShardView, tierRank: number): void {
  raiseFloor(view, tierRank);
  for (const grant of view.shard.grants.values()) {
    if (isPreemptible(view, grant, tierRank)) {
      preemptGrant(view, grant, `tier ${tierRank}, which is shed as well`);
    }
  }
}

/**
 * Tells the pool's other shards in reach that work of a tier is shed here.
 *
 * @param view The shard.
 * @param tierRank The tier.
 */
export function tellOtherShards(view: ShardView, tierRank: number): void {
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
