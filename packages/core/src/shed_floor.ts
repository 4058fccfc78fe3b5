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

/**
 * Raises the floor to a tier whose work is shed, or lets it stand longer.
 *
 * @param view The shard.
 * @param tierRank The tier.
 */
export function raiseFloor(view: ShardView, tierRank: number): void {
  const { shard, nowMs } = view;
  const standing = floorOf(view);
  shard.floor = {
    tierRank: Math.min(standing, tierRank),
    untilMs: nowMs + FLOOR_MS,
  };
}

/**
 * Gives the lowest tier that may be served now.
 *
 * @param view The shard.
 * @returns Its rank; Infinity where no floor stands.
 */
export function floorOf({ shard, nowMs }: ShardView): number {
  const { floor } = shard;
  return floor !== undefined && nowMs < floor.untilMs
    ? floor.tierRank
    : Infinity;
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
