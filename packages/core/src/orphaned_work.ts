/** Work whose holder is gone: kept until its target or time shows it ended. */

import type { TargetLoad } from "@chestnuthatch/wire/shared_types";
import { closeGrant } from "./grant_account.ts";
import type { ShardView } from "./shard_view.ts";

/** Work used this lately may not have reached its target at a report's time. */
const ARRIVAL_MARGIN_MS = 300;

/** How long after its expected end the work of a gone holder is kept. */
const ORPHAN_MARGIN_MS = 10_000;

/**
 * Frees work of gone holders that must have ended long ago, unless its target
 * still shows as much work as the account has.
 *
 * @param view The shard.
 */
export function dropOverdueOrphans(view: ShardView): void {
  const { shard, nowMs } = view;
  const full = new Set(
    view.rooms.filter((room) => room.showsAllItsWork)
      .map((room) => room.targetId),
  );
  for (const grant of [...shard.grants.values()]) {
    if (
      grant.orphanedAtMs !== undefined && !full.has(grant.work.targetId) &&
      nowMs > Math.max(grant.expectedEndMs, grant.orphanedAtMs) +
          ORPHAN_MARGIN_MS
    ) {
      closeGrant(shard, grant, { nowMs, kvTokens: 0 });
    }
  }
}

/**
 * Frees work of gone holders that two reports of its target in a row no longer
 * show.
 *
 * @param view The shard.
 * @param load A new report of one of its targets.
 */
export function reconcileOrphans(view: ShardView, load: TargetLoad): void {
  const { shard, nowMs } = view;
  const room = view.rooms.find((each) => each.targetId === load.targetId);
  const asOfMs = room?.target?.loadAsOfMs ?? nowMs;
  const grants = [...shard.grants.values()].filter((grant) =>
    grant.work.targetId === load.targetId &&
    grant.usedAtMs <= asOfMs - ARRIVAL_MARGIN_MS
  );
  const excess = Math.max(
    0,
    grants.length - load.slotsUsed - load.waitingRequests,
  );
  const before = shard.excessByTarget.get(load.targetId) ?? 0;
  shard.excessByTarget.set(load.targetId, excess);
  grants
    .filter((grant) => (grant.orphanedAtMs ?? Infinity) <= asOfMs)
    .sort((a, b) => a.expectedEndMs - b.expectedEndMs)
    .slice(0, Math.min(excess, before))
    .forEach((grant) => closeGrant(shard, grant, { nowMs, kvTokens: 0 }));
}
