/** Watches how fast each target works, and adjusts its slots. */

import type { TargetSettings } from "@chestnuthatch/settings/settings_types";
import type { GrantAccount, Shard, Target } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { LogLevel, LogPart } from "./effects.ts";
import { shardsOf } from "./settings_index.ts";
import { adjustSlots, overdueRatio, slowdownOf } from "./straggler.ts";

/**
 * Cuts and restores slots by how fast each target has become.
 *
 * @param turn The turn of a tick.
 */
export function watchPace(turn: Turn): void {
  const settings = turn.board.settings.inForce;
  for (const [key, shard] of turn.board.shards.byKey) {
    const targets = settings && shardsOf(settings).get(key)?.targets;
    for (const each of targets ?? []) {
      watchTarget(turn, shard, each);
    }
  }
}

function watchTarget(turn: Turn, shard: Shard, each: TargetSettings): void {
  const target = turn.board.targets.byId.get(each.id)!;
  const overdue = overdueRatio(usedGrantsOn(shard, each.id), turn.nowMs);
  if (target.pace === undefined && overdue === 1) {
    return;
  }
  const slowdown = Math.max(overdue, slowdownOf(target, kindOf(turn, each)));
  const seen = { slowdown, nowMs: turn.nowMs };
  if (adjustSlots(target, each, seen)) {
    const percent = Math.round(target.pace!.slotShare * 100);
    turn.log(
      LogLevel.Warn,
      LogPart.Targets,
      `${each.id} is ${
        slowdown.toFixed(1)
      } times slower; its slots are cut to ${percent}%.`,
    );
  }
}

function usedGrantsOn(shard: Shard, targetId: string): GrantAccount[] {
  return [...shard.grants.values()].filter((grant) =>
    grant.used && grant.work.targetId === targetId
  );
}

/** Other targets of the same pool and hardware. */
function kindOf(turn: Turn, settings: TargetSettings): Target[] {
  const { inForce } = turn.board.settings;
  return [...inForce!.targets.values()]
    .filter((other) =>
      other.id !== settings.id && other.pool === settings.pool &&
      other.hardware === settings.hardware
    )
    .map((other) => turn.board.targets.byId.get(other.id)!);
}
