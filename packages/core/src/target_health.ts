/** Applies load reports, and marks targets reachable or unreachable. */

import type { TargetLoad } from "@chestnuthatch/wire/shared_types";
import { type Target, TargetHealth } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { LogLevel, LogPart } from "./effects.ts";
import { limitReturnedTarget } from "./straggler.ts";
import { applyReportedLeaving } from "./target_signs.ts";

/**
 * Applies a load report unless a newer one is known. A report made after the
 * target became unreachable makes it healthy again, with part of its slots.
 *
 * @param turn The current turn.
 * @param target The target.
 * @param load The report, with its age.
 */
export function applyLoad(turn: Turn, target: Target, load: TargetLoad): void {
  const asOfMs = turn.nowMs - load.ageMs;
  if (asOfMs < target.loadAsOfMs) {
    return;
  }
  const previous = target.load;
  target.load = load;
  target.loadAsOfMs = asOfMs;
  if (
    target.health === TargetHealth.Unreachable &&
    asOfMs > target.unreachableSinceMs
  ) {
    target.health = TargetHealth.Healthy;
    const settings = turn.board.settings.inForce!.targets.get(target.targetId)!;
    limitReturnedTarget(target, settings, turn.nowMs);
    turn.log(
      LogLevel.Info,
      LogPart.Targets,
      `${target.targetId} is reachable again.`,
    );
  }
  applyReportedLeaving(turn, target, { previous, load, asOfMs });
}

/**
 * Marks a target unreachable, so that it gets no work until it reports again.
 *
 * @param turn The current turn.
 * @param target The target.
 * @param reason Why it is unreachable, for the log line.
 */
export function markUnreachable(
  turn: Turn,
  target: Target,
  reason: string,
): void {
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
