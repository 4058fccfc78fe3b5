/**
 * Reports workspaces whose requests are put behind those of others, because
 * they take more than their share of a pool.
 */

import type { OverShare } from "@chestnuthatch/routing/workspace_shares";
import { type EventLog, type LogFacts, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { PeriodLog } from "./period_log.ts";
import type { Clock } from "./ports.ts";

/** A workspace over its share of a rank in a pool. */
type PoolOverShare = OverShare & { readonly pool: string };

/** Collaborators of a `WorkspaceShareMonitor`. */
export interface WorkspaceShareMonitorParts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  /** @returns Workspaces that were over their shares within the last second. */
  overShares(nowMs: number): readonly PoolOverShare[];
}

/** Logs and counts when workspaces begin and cease to be over their shares. */
export class WorkspaceShareMonitor {
  readonly #parts: WorkspaceShareMonitorParts;
  readonly #periods: PeriodLog<PoolOverShare>;

  /** @param parts Collaborators. */
  constructor(parts: WorkspaceShareMonitorParts) {
    this.#parts = parts;
    this.#periods = new PeriodLog({
      began: (share) => this.#logBegin(share),
      ended: (share, tookMs) => this.#logEnd(share, tookMs),
    });
  }

  /** Compares the present state with the logged one; called periodically. */
  tick(): void {
    const nowMs = this.#parts.clock.nowMs();
    const over = this.#parts.overShares(nowMs);
    this.#parts.metrics.workspacesOverShare(over.length);
    const overByKey = new Map(over.map((share) => [keyOf(share), share]));
    this.#periods.update(overByKey, nowMs);
  }

  #logEnd(share: PoolOverShare, tookMs: number): void {
    this.#parts.log.info(
      LogPart.Placement,
      "workspace is within its share again",
      { ...factsOf(share), tookMs: Math.round(tookMs) },
    );
  }

  #logBegin(share: PoolOverShare): void {
    const { log, metrics } = this.#parts;
    metrics.overShareBegan(share.pool);
    log.info(LogPart.Placement, "workspace is over its share", {
      ...factsOf(share),
      placedPercent: Math.round(100 * share.placedRatio),
      weightPercent: Math.round(100 * share.weightRatio),
    });
  }
}

function factsOf({ pool, rank, workspace }: PoolOverShare): LogFacts {
  return { pool, rank, workspace };
}

function keyOf({ pool, rank, workspace }: PoolOverShare): string {
  return JSON.stringify([pool, rank, workspace]);
}
