/** Shows operators the load that targets report: a counter, a gauge, lines. */

import {
  type HandledLoadReport,
  LoadReportResult,
  type TargetLoads,
} from "@chestnuthatch/routing/target_loads";
import { type EventLog, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Clock } from "./ports.ts";

/** Dependencies of a {@link TargetLoadMonitor}. */
export interface TargetLoadMonitorParts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/** Minimum time between two lines on the slow periods of one target. */
const PERIOD_LINE_INTERVAL_MS = 1000;

/** Minimum time between two lines on reports that are out of range. */
const INVALID_LINE_INTERVAL_MS = 1000;

/** The last line on a target's slow periods. */
interface PeriodLine {
  readonly isSlow: boolean;
  readonly atMs: number;
}

/** Counts reports of targets on their load, and logs their slow periods. */
export class TargetLoadMonitor {
  readonly #parts: TargetLoadMonitorParts;
  /** Last lines by target id, of slow targets and of recent lines. */
  readonly #lines = new Map<string, PeriodLine>();
  #invalidLineAtMs = -Infinity;

  /** @param parts Dependencies. */
  constructor(parts: TargetLoadMonitorParts) {
    this.#parts = parts;
  }

  /**
   * Counts a report, and logs it if it is out of range.
   *
   * @param report The report, and what became of it.
   */
  reported({ targetId, result, field, value }: HandledLoadReport): void {
    const { clock, log, metrics } = this.#parts;
    metrics.targetLoadReport(result);
    const nowMs = clock.nowMs();
    const isDue = nowMs - this.#invalidLineAtMs >= INVALID_LINE_INTERVAL_MS;
    if (result === LoadReportResult.Invalid && isDue) {
      this.#invalidLineAtMs = nowMs;
      log.warn(LogPart.Targets, "target load report out of range ignored", {
        targetId,
        field,
        value,
      });
    }
  }

  /**
   * Logs the targets that entered or left a slow period. A change that comes
   * too soon after a line is logged later, unless it was undone by then.
   *
   * @param loads Newest reports of all targets.
   */
  update(loads: TargetLoads): void {
    const slow = loads.slowTargets();
    this.#parts.metrics.slowTargets(slow.size);
    for (const [targetId, slowdownRatio] of slow) {
      this.#logChange(targetId, slowdownRatio);
    }
    for (const targetId of this.#lines.keys()) {
      if (!slow.has(targetId)) {
        this.#logChange(targetId, undefined);
      }
    }
  }

  /** Logs a change of a target's state, if a line about it is due. */
  #logChange(targetId: string, slowdownRatio: number | undefined): void {
    const { clock, log } = this.#parts;
    const nowMs = clock.nowMs();
    const isSlow = slowdownRatio !== undefined;
    const last = this.#lines.get(targetId);
    const sinceMs = nowMs - (last?.atMs ?? -Infinity);
    if (sinceMs < PERIOD_LINE_INTERVAL_MS) {
      return;
    }
    if (isSlow === (last?.isSlow ?? false)) {
      if (!isSlow) {
        this.#lines.delete(targetId);
      }
      return;
    }
    this.#lines.set(targetId, { isSlow, atMs: nowMs });
    log.info(
      LogPart.Targets,
      isSlow ? "target entered slow period" : "target left slow period",
      { targetId, slowdownRatio },
    );
  }
}
