/** Adjusts the slot share of each target to its measured slowdown. */

import type { TargetSettings } from "@chestnuthatch/settings/settings_types";
import type { GrantRecord, Shard, Target } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { LogLevel, LogPart } from "./effects.ts";
import { shardsOf } from "./settings_index.ts";
import { adjustSlotShare, overdueRatio, slowdownOf } from "./straggler.ts";

/**
 * Cuts and restores the slot shares of the targets of all shards served by this
 * instance.
 *
 * @param turn The turn of a tick event.
 */
export function adjustSlotShares(turn: Turn): void {
  const settings = turn.board.settings.inForce;
  for (const [key, shard] of turn.board.shards.byKey) {
    const targets = settings && shardsOf(settings).get(key)?.targets;
    for (const targetSettings of targets ?? []) {
      adjustTarget(turn, shard, targetSettings);
    }
  }
}

function adjustTarget(
  turn: Turn,
  shard: Shard,
  targetSettings: TargetSettings,
): void {
  const target = turn.board.targets.byId.get(targetSettings.id)!;
  const overdueSlowdown = overdueRatio(
    usedGrantsOn(shard, targetSettings.id),
    turn.nowMs,
  );
  if (target.stragglerState === undefined && overdueSlowdown === 1) {
    return;
  }
  const slowdown = Math.max(
    overdueSlowdown,
    slowdownOf(target, comparableTargets(turn, targetSettings)),
  );
  const measured = { slowdown, nowMs: turn.nowMs };
  if (adjustSlotShare(target, targetSettings, measured)) {
    const percent = Math.round(target.stragglerState!.slotShare * 100);
    turn.log(
      LogLevel.Warn,
      LogPart.Targets,
      `${targetSettings.id} is ${
        slowdown.toFixed(1)
      } times slower; its slots are cut to ${percent}%.`,
    );
  }
}

function usedGrantsOn(shard: Shard, targetId: string): GrantRecord[] {
  return [...shard.grants.values()].filter((grant) =>
    grant.used && grant.work.targetId === targetId
  );
}

/** Other targets of the same pool and hardware. */
function comparableTargets(turn: Turn, settings: TargetSettings): Target[] {
  const { inForce } = turn.board.settings;
  return [...inForce!.targets.values()]
    .filter((other) =>
      other.id !== settings.id && other.pool === settings.pool &&
      other.hardware === settings.hardware
    )
    .map((other) => turn.board.targets.byId.get(other.id)!);
}
