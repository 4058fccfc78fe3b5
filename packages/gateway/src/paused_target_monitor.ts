/**
 * Reports targets that this instance gives no requests as coordinator, because
 * holders could not use them.
 */

import type { TargetDirectory } from "@chestnuthatch/routing/target_directory";
import type { PausedTarget } from "@chestnuthatch/routing/unusable_targets";
import { type EventLog, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Clock } from "./ports.ts";

/** Minimum time between two log lines about a target. */
const MIN_LOG_INTERVAL_MS = 1000;

/** Collaborators of a `PausedTargetMonitor`. */
export interface PausedTargetMonitorParts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly targets: TargetDirectory;
  /** @returns Targets that are paused now, once for each failure domain. */
  pausedTargets(): readonly PausedTarget[];
}

/** State of a target, as it was logged last. */
interface LoggedState {
  readonly isPaused: boolean;
  readonly loggedAtMs: number;
}

/** Logs and counts when targets are paused, and when they are used again. */
export class PausedTargetMonitor {
  readonly #parts: PausedTargetMonitorParts;
  readonly #logged = new Map<string, LoggedState>();

  /** @param parts Collaborators. */
  constructor(parts: PausedTargetMonitorParts) {
    this.#parts = parts;
  }

  /** Compares the present state with the logged one; called periodically. */
  tick(): void {
    const nowMs = this.#parts.clock.nowMs();
    const byId = new Map<string, PausedTarget[]>();
    for (const paused of this.#parts.pausedTargets()) {
      byId.set(paused.targetId, [...byId.get(paused.targetId) ?? [], paused]);
    }
    this.#parts.metrics.pausedTargets(byId.size);
    for (const [targetId, state] of [...this.#logged]) {
      if (nowMs - state.loggedAtMs >= MIN_LOG_INTERVAL_MS) {
        this.#update(targetId, state, byId.has(targetId));
      }
    }
    for (const [targetId, pauses] of byId) {
      if (!this.#logged.has(targetId)) {
        this.#logPaused(targetId, pauses, nowMs);
      }
    }
  }

  /** Logs the end of a pause, and drops the state of one that ended before. */
  #update(
    targetId: string,
    { isPaused, loggedAtMs }: LoggedState,
    isStillPaused: boolean,
  ): void {
    if (!isPaused) {
      this.#logged.delete(targetId);
    } else if (!isStillPaused) {
      const { clock, log, targets } = this.#parts;
      const nowMs = clock.nowMs();
      this.#logged.set(targetId, { isPaused: false, loggedAtMs: nowMs });
      const target = targets.get(targetId);
      // The end of a target that left is logged as such.
      if (target !== undefined && targets.isUsable(target, nowMs)) {
        log.info(LogPart.Placement, "target is used again", {
          targetId,
          tookMs: Math.round(nowMs - loggedAtMs),
        });
      }
    }
  }

  #logPaused(
    targetId: string,
    pauses: readonly PausedTarget[],
    nowMs: number,
  ): void {
    const { log, metrics, targets } = this.#parts;
    this.#logged.set(targetId, { isPaused: true, loggedAtMs: nowMs });
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
