/**
 * Fair shares between the workspaces of a tier: start-time fair queueing.
 *
 * Each workspace has a tag that rises by cost over weight with all work it
 * gets; the workspace with the lowest tag goes next. A workspace that was idle
 * starts at the tier's virtual time, so it saves up no claim to the past.
 */

import type { Shard } from "./blackboard.ts";

/** Work of one workspace in one tier. */
export interface SharedWork {
  readonly tierRank: number;
  readonly workspace: string;
  readonly costMs: number;
  /** The workspace's weight among those of its tier. */
  readonly weight: number;
}

const MIN_WEIGHT = 0.001;

/**
 * Gives a workspace's place among those of its tier.
 *
 * @param shard The shard.
 * @param owner The tier and workspace.
 * @returns Its tag; the lowest goes next.
 */
export function startTag(
  shard: Shard,
  owner: { tierRank: number; workspace: string },
): number {
  const virtualTime = shard.virtualTimeByTier.get(owner.tierRank) ?? 0;
  return Math.max(virtualTime, shard.finishTags.get(shareKey(owner)) ?? 0);
}

/**
 * Charges work to its workspace's share.
 *
 * @param shard The shard.
 * @param work The work that was granted.
 */
export function chargeWork(shard: Shard, work: SharedWork): void {
  const tag = startTag(shard, work);
  shard.virtualTimeByTier.set(work.tierRank, tag);
  shard.finishTags.set(shareKey(work), tag + shareOf(work));
}

/**
 * Takes back a charge for work that was not done.
 *
 * @param shard The shard.
 * @param work The work as it was charged.
 */
export function refundWork(shard: Shard, work: SharedWork): void {
  const key = shareKey(work);
  const tag = shard.finishTags.get(key);
  if (tag !== undefined) {
    shard.finishTags.set(key, tag - shareOf(work));
  }
}

/**
 * Forgets workspaces whose tag says nothing any more.
 *
 * @param shard The shard.
 */
export function pruneShares(shard: Shard): void {
  for (const [key, tag] of shard.finishTags) {
    const tierRank = Number(key.slice(0, key.indexOf("/")));
    if (tag <= (shard.virtualTimeByTier.get(tierRank) ?? 0)) {
      shard.finishTags.delete(key);
    }
  }
}

function shareOf(work: SharedWork): number {
  return work.costMs / Math.max(MIN_WEIGHT, work.weight);
}

function shareKey(owner: { tierRank: number; workspace: string }): string {
  return `${owner.tierRank}/${owner.workspace}`;
}
