/**
 * Fair shares between the workspaces of a tier, by start-time fair queueing.
 *
 * Each workspace has a tag that rises by cost divided by weight with all work
 * granted to it; the workspace with the lowest tag is served next. An idle
 * workspace starts again at the tier's virtual time, so that idle time gives it
 * no credit.
 */

import type { Shard } from "./blackboard.ts";

/** Granted work to charge to one workspace's share in one tier. */
export interface ChargedWork {
  readonly tierRank: number;
  readonly workspace: string;
  /** Predicted service time of the work. */
  readonly costMs: number;
  /** The workspace's weight among those of its tier. */
  readonly weight: number;
}

/** Lower bound of weights, which keeps charges finite. */
const MIN_WEIGHT = 0.001;

/**
 * Returns the start tag of a workspace in its tier.
 *
 * @param shard The shard whose shares are read.
 * @param owner The workspace and the rank of the tier.
 * @returns The tag; the workspace with the lowest tag is served next.
 */
export function startTag(
  shard: Shard,
  owner: { tierRank: number; workspace: string },
): number {
  const virtualTime = shard.virtualTimeByTier.get(owner.tierRank) ?? 0;
  return Math.max(virtualTime, shard.finishTags.get(shareKey(owner)) ?? 0);
}

/**
 * Charges granted work to its workspace's share, and advances the tier's
 * virtual time.
 *
 * @param shard The shard in which the work was granted.
 * @param work The granted work.
 */
export function chargeWork(shard: Shard, work: ChargedWork): void {
  const tag = startTag(shard, work);
  shard.virtualTimeByTier.set(work.tierRank, tag);
  shard.finishTags.set(shareKey(work), tag + chargeOf(work));
}

/**
 * Refunds the charge for work that was not done.
 *
 * @param shard The shard in which the work was granted.
 * @param work The work, as it was charged.
 */
export function refundWork(shard: Shard, work: ChargedWork): void {
  const key = shareKey(work);
  const tag = shard.finishTags.get(key);
  if (tag !== undefined) {
    shard.finishTags.set(key, tag - chargeOf(work));
  }
}

/**
 * Deletes the tags that are not above their tier's virtual time, since these
 * workspaces would start at the virtual time in any case.
 *
 * @param shard The shard whose tags are pruned.
 */
export function pruneShares(shard: Shard): void {
  for (const [key, tag] of shard.finishTags) {
    const tierRank = Number(key.slice(0, key.indexOf("/")));
    if (tag <= (shard.virtualTimeByTier.get(tierRank) ?? 0)) {
      shard.finishTags.delete(key);
    }
  }
}

function chargeOf(work: ChargedWork): number {
  return work.costMs / Math.max(MIN_WEIGHT, work.weight);
}

function shareKey(owner: { tierRank: number; workspace: string }): string {
  return `${owner.tierRank}/${owner.workspace}`;
}
