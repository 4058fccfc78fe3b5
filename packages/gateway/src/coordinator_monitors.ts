/**
 * Reports the state of this instance as coordinator to operators: log lines and
 * metrics, on which no decision depends.
 */

import type { Coordinator } from "@chestnuthatch/routing/coordinator";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import type { HandledLoadReport } from "@chestnuthatch/routing/target_loads";
import { BacklogMonitor } from "./backlog_monitor.ts";
import { type EventLog, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { PausedTargetMonitor } from "./paused_target_monitor.ts";
import type { Clock } from "./ports.ts";
import { TargetLoadMonitor } from "./target_load_monitor.ts";
import { WorkspaceShareMonitor } from "./workspace_share_monitor.ts";

/** Collaborators of {@link CoordinatorMonitors}. */
export interface CoordinatorMonitorsParts {
  readonly board: RoutingBoard;
  readonly coordinator: Coordinator;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/**
 * Logs and counts target loads, workspaces over their shares, paused targets
 * and standing backlogs, and logs streams that callers took up.
 */
export class CoordinatorMonitors {
  readonly #parts: CoordinatorMonitorsParts;
  readonly #board: RoutingBoard;
  readonly #targetLoads: TargetLoadMonitor;
  readonly #workspaceShares: WorkspaceShareMonitor;
  readonly #pausedTargets: PausedTargetMonitor;
  readonly #backlogs: BacklogMonitor;

  /** @param parts Collaborators. */
  constructor(parts: CoordinatorMonitorsParts) {
    const { board, coordinator, clock, log, metrics } = parts;
    this.#parts = parts;
    this.#board = board;
    this.#targetLoads = new TargetLoadMonitor({ clock, log, metrics });
    this.#workspaceShares = new WorkspaceShareMonitor({
      clock,
      log,
      metrics,
      overShares: (nowMs) => coordinator.overShares(nowMs),
    });
    this.#pausedTargets = new PausedTargetMonitor({
      clock,
      log,
      metrics,
      targets: board.targets,
      pausedTargets: () => coordinator.pausedTargets(),
    });
    this.#backlogs = new BacklogMonitor({
      board,
      coordinator,
      clock,
      log,
      metrics,
    });
  }

  /**
   * Counts a target's report on its load, and logs it if it is out of range.
   *
   * @param report The report, and what became of it.
   */
  loadReported(report: HandledLoadReport): void {
    this.#targetLoads.reported(report);
  }

  /** Compares the present state with the logged one; called periodically. */
  tick(): void {
    this.#targetLoads.update(this.#board.targetLoads);
    this.#workspaceShares.tick();
    this.#pausedTargets.tick();
    this.#backlogs.tick();
    this.#logTakenUpStreams();
  }

  #logTakenUpStreams(): void {
    const { coordinator, log } = this.#parts;
    for (const stream of coordinator.takeTakenUpStreams()) {
      log.info(LogPart.Placement, "stream taken up", { ...stream });
    }
  }
}
