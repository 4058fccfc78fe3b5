/** Records the load that targets report with answers to placed work. */

import type { LoadReport } from "./load_report.ts";
import type { PoolScheduler } from "./pool_scheduler.ts";
import type { RoutingBoard } from "./routing_board.ts";

/** What a holder passed on of an answer. */
export interface ReportedAnswer {
  /** Id of the ask by which the answered request was placed. */
  readonly askId: string;
  /** Load that the target reported; absent if it reported none. */
  readonly load?: LoadReport;
  /** Current local time in milliseconds. */
  readonly nowMs: number;
}

/**
 * Records the report of an answer. Only work that is placed counts, so that a
 * report of a process that has ended, whose work was dropped, is ignored.
 *
 * @param board Routing state to record the report in.
 * @param scheduler Scheduler that placed the work; undefined if none did.
 * @param answer The ask, and the load that was reported with its answer.
 */
export function recordLoad(
  board: RoutingBoard,
  scheduler: PoolScheduler | undefined,
  { askId, load, nowMs }: ReportedAnswer,
): void {
  if (load === undefined || scheduler === undefined) {
    return;
  }
  const decision = scheduler.decisionFor(askId);
  if (decision === undefined || !("targetId" in decision)) {
    return;
  }
  const { targetId } = decision;
  const target = board.targets.get(targetId);
  if (target !== undefined) {
    const hasFreeSlot = scheduler.runningAt([targetId]) < target.slots;
    board.targetLoads.record(targetId, load, { hasFreeSlot, nowMs });
  }
}
