/**
 * Reports workspaces whose requests are put behind those of others, because
 * they take more than their share of a pool.
 */

import type { OverShare } from "@chestnuthatch/routing/workspace_shares";
import { type EventLog, type LogFacts, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Clock } from "./ports.ts";

/** Minimum time between two log lines about a workspace in a rank. */
const MIN_LOG_INTERVAL_MS = 1000;

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

/** State of a workspace in a rank of a pool, as it was logged last. */
interface LoggedState {
  readonly key: string;
  readonly share: PoolOverShare;
  readonly isOver: boolean;
  readonly loggedAtMs: number;
}

/** Logs and counts when workspaces begin and cease to be over their shares. */
export class WorkspaceShareMonitor {
  readonly #parts: WorkspaceShareMonitorParts;
  readonly #logged = new Map<string, LoggedState>();

  /** @param parts Collaborators. */
  constructor(parts: WorkspaceShareMonitorParts) {
    this.#parts = parts;
  }

  /** Compares the present state with the logged one; called periodically. */
  tick(): void {
    const nowMs = this.#parts.clock.nowMs();
    const over = this.#parts.overShares(nowMs);
    this.#parts.metrics.workspacesOverShare(over.length);
    const overByKey = new Map(over.map((share) => [keyOf(share), share]));
    for (const state of [...this.#logged.values()]) {
      if (nowMs - state.loggedAtMs >= MIN_LOG_INTERVAL_MS) {
        this.#update(state, overByKey.get(state.key), nowMs);
      }
    }
    for (const [key, share] of overByKey) {
      if (!this.#logged.has(key)) {
        this.#logBegin(key, share, nowMs);
      }
    }
  }

  /** Logs the end of a period, and drops the state of one that ended before. */
  #update(
    { key, share, isOver, loggedAtMs }: LoggedState,
    present: PoolOverShare | undefined,
    nowMs: number,
  ): void {
    if (!isOver) {
      this.#logged.delete(key);
    } else if (present === undefined) {
      this.#logged.set(key, { key, share, isOver: false, loggedAtMs: nowMs });
      this.#parts.log.info(
        LogPart.Placement,
        "workspace is within its share again",
        { ...factsOf(share), tookMs: Math.round(nowMs - loggedAtMs) },
      );
    }
  }

  #logBegin(key: string, share: PoolOverShare, nowMs: number): void {
    const { log, metrics } = this.#parts;
    this.#logged.set(key, { key, share, isOver: true, loggedAtMs: nowMs });
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
