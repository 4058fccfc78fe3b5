/**
 * Reports targets that this instance gives no requests as coordinator, because
 * holders could not use them.
 */

import type { TargetDirectory } from "@chestnuthatch/routing/target_directory";
import type { PausedTarget } from "@chestnuthatch/routing/unusable_targets";
import { type EventLog, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { PeriodLog } from "./period_log.ts";
import type { Clock } from "./ports.ts";

/** Collaborators of a `PausedTargetMonitor`. */
export interface PausedTargetMonitorParts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly targets: TargetDirectory;
  /** @returns Targets that are paused now, once for each failure domain. */
  pausedTargets(): readonly PausedTarget[];
}

/** Logs and counts when targets are paused, and when they are used again. */
export class PausedTargetMonitor {
  readonly #parts: PausedTargetMonitorParts;
  /** Pauses of each target, one for each failure domain. */
  readonly #periods: PeriodLog<readonly PausedTarget[]>;

  /** @param parts Collaborators. */
  constructor(parts: PausedTargetMonitorParts) {
    this.#parts = parts;
    this.#periods = new PeriodLog({
      began: (pauses) => this.#logPaused(pauses),
      ended: (pauses, tookMs) => this.#logUsedAgain(pauses, tookMs),
    });
  }

  /** Compares the present state with the logged one; called periodically. */
  tick(): void {
    const { clock, metrics } = this.#parts;
    const byId = new Map<string, PausedTarget[]>();
    for (const paused of this.#parts.pausedTargets()) {
      byId.set(paused.targetId, [...byId.get(paused.targetId) ?? [], paused]);
    }
    metrics.pausedTargets(byId.size);
    this.#periods.update(byId, clock.nowMs());
  }

  #logUsedAgain(pauses: readonly PausedTarget[], tookMs: number): void {
    const { targetId } = pauses[0]!;
    const { clock, log, targets } = this.#parts;
    const target = targets.get(targetId);
    // The end of a target that left is logged as such.
    if (target !== undefined && targets.isUsable(target, clock.nowMs())) {
      log.info(LogPart.Placement, "target is used again", {
        targetId,
        tookMs: Math.round(tookMs),
      });
    }
  }

  #logPaused(pauses: readonly PausedTarget[]): void {
    const { log, metrics, targets } = this.#parts;
    const { targetId } = pauses[0]!;
    metrics.targetSignal("paused", "holders");
    log.info(LogPart.Placement, "target is paused", {
      targetId,
      pool: targets.get(targetId)?.pool,
      failureDomains: pauses.map(({ failureDomain }) => failureDomain),
      holders: pauses.reduce((sum, { holderCount }) => sum + holderCount, 0),
      pauseMs: Math.max(...pauses.map(({ pauseMs }) => pauseMs)),
    });
  }
}
