/** Takes load reports, and tells whether targets can be reached. */

import type { TargetLoad } from "@chestnuthatch/wire/shared_types";
import { type Target, TargetHealth } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { LogLevel, LogPart } from "./effects.ts";
import { beginReturn } from "./straggler.ts";
import { heedReport } from "./target_signs.ts";

/**
 * Takes a load report, unless a newer one is known.
 *
 * @param turn The turn.
 * @param target The target.
 * @param load The report.
 */
export function takeLoad(turn: Turn, target: Target, load: TargetLoad): void {
  const asOfMs = turn.nowMs - load.ageMs;
  if (asOfMs < target.loadAsOfMs) {
    return;
  }
  const before = target.load;
  target.load = load;
  target.loadAsOfMs = asOfMs;
  if (
    target.health === TargetHealth.Unreachable &&
    asOfMs > target.unreachableSinceMs
  ) {
    target.health = TargetHealth.Healthy;
    const settings = turn.board.settings.inForce!.targets.get(target.targetId)!;
    beginReturn(target, settings, turn.nowMs);
    turn.log(
      LogLevel.Info,
      LogPart.Targets,
      `${target.targetId} answers again.`,
    );
  }
  heedReport(turn, target, { before, load, asOfMs });
}

/**
 * Gives a target no more work until it answers again.
 *
 * @param turn The turn.
 * @param target The target.
 * @param reason Why, for the log.
 */
export function suspend(turn: Turn, target: Target, reason: string): void {
  if (target.health === TargetHealth.Unreachable) {
    return;
  }
  target.health = TargetHealth.Unreachable;
  target.unreachableSinceMs = turn.nowMs;
  turn.log(
    LogLevel.Warn,
    LogPart.Targets,
    `${target.targetId} is unreachable: ${reason}.`,
  );
}
