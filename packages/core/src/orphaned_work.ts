/**
 * Orphaned work, whose holder has failed. Its grants are kept until its
 * target's load reports or the time passed show that the work has ended.
 */

import type { TargetLoad } from "@chestnuthatch/wire/shared_types";
import { closeGrant } from "./grant_lifecycle.ts";
import type { ShardView } from "./shard_view.ts";

/**
 * Work dispatched within this time before a load report was made may not have
 * reached its target by then.
 */
const ARRIVAL_MARGIN_MS = 300;

/** Time after its expected end for which orphaned work is kept. */
const ORPHAN_GRACE_MS = 10_000;

/**
 * Closes the grants of orphaned work that should have ended long ago, unless
 * its target still reports at least as much work as it has grants.
 *
 * @param view The shard whose grants are checked.
 */
export function dropOverdueOrphans(view: ShardView): void {
  const { shard, nowMs } = view;
  const fullyReported = new Set(
    view.capacities.filter((capacity) => capacity.reportsAllGrants)
      .map((capacity) => capacity.targetId),
  );
  for (const grant of [...shard.grants.values()]) {
    if (
      grant.orphanedAtMs !== undefined &&
      !fullyReported.has(grant.work.targetId) &&
      nowMs > Math.max(grant.expectedEndMs, grant.orphanedAtMs) +
          ORPHAN_GRACE_MS
    ) {
      closeGrant(shard, grant, { nowMs, kvTokens: 0 });
    }
  }
}

/**
 * Closes the grants of orphaned work that two consecutive load reports of its
 * target no longer include.
 *
 * @param view The shard that the target belongs to.
 * @param load The new load report.
 */
export function reconcileOrphans(view: ShardView, load: TargetLoad): void {
  const { shard, nowMs } = view;
  const capacity = view.capacities.find((each) =>
    each.targetId === load.targetId
  );
  const asOfMs = capacity?.target?.loadAsOfMs ?? nowMs;
  const grants = [...shard.grants.values()].filter((grant) =>
    grant.work.targetId === load.targetId &&
    grant.usedAtMs <= asOfMs - ARRIVAL_MARGIN_MS
  );
  const excess = Math.max(
    0,
    grants.length - load.slotsUsed - load.waitingRequests,
  );
  const previousExcess = shard.excessGrantsByTarget.get(load.targetId) ?? 0;
  shard.excessGrantsByTarget.set(load.targetId, excess);
  grants
    .filter((grant) => (grant.orphanedAtMs ?? Infinity) <= asOfMs)
    .sort((a, b) => a.expectedEndMs - b.expectedEndMs)
    .slice(0, Math.min(excess, previousExcess))
    .forEach((grant) => closeGrant(shard, grant, { nowMs, kvTokens: 0 }));
}
