/**
 * Reports the standing backlogs of this instance as coordinator: a log line as
 * one begins or ends, and a gauge by pool.
 */

import type { StandingBacklog } from "@chestnuthatch/routing/backlog";
import type { Coordinator } from "@chestnuthatch/routing/coordinator";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import { type EventLog, type LogFacts, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Clock } from "./ports.ts";

/** Collaborators of a `BacklogMonitor`. */
export interface BacklogMonitorParts {
  readonly board: RoutingBoard;
  readonly coordinator: Pick<Coordinator, "standingBacklogs">;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

type PoolBacklog = StandingBacklog & { readonly pool: string };

/** Logs and counts standing backlogs. */
export class BacklogMonitor {
  readonly #parts: BacklogMonitorParts;
  /** Standing backlogs at the last tick, by pool and rank. */
  #known: ReadonlyMap<string, PoolBacklog> = new Map();
  /** Pools whose gauge is not 0. */
  #shownPools: ReadonlySet<string> = new Set();

  /** @param parts Collaborators. */
  constructor(parts: BacklogMonitorParts) {
    this.#parts = parts;
  }

  /** Compares the standing backlogs with those of the last tick. */
  tick(): void {
    const { coordinator, clock, log } = this.#parts;
    const nowMs = clock.nowMs();
    const standing = coordinator.standingBacklogs(nowMs);
    if (standing.length === 0 && this.#known.size === 0) {
      return;
    }
    const current = new Map(
      standing.map((backlog) => [keyOf(backlog), backlog]),
    );
    for (const [key, backlog] of this.#known) {
      if (!current.has(key)) {
        log.info(LogPart.Placement, "standing backlog ended", {
          ...factsOf(backlog),
          lastedMs: Math.round(nowMs - backlog.beganAtMs),
        });
      }
    }
    for (const [key, backlog] of current) {
      if (!this.#known.has(key)) {
        const facts = factsOf(backlog);
        log.info(LogPart.Placement, "standing backlog began", facts);
      }
    }
    this.#known = current;
    this.#setGauges(standing);
  }

  /**
   * Sets the gauges of configured pools only, as other instances may name any
   * pool and labels must be bounded.
   */
  #setGauges(standing: readonly PoolBacklog[]): void {
    const { board, metrics } = this.#parts;
    const shownPools = new Set(
      standing.map(({ pool }) => pool)
        .filter((pool) => board.routes?.pool(pool) !== undefined),
    );
    for (const pool of new Set([...this.#shownPools, ...shownPools])) {
      const count = standing.filter((backlog) => backlog.pool === pool).length;
      metrics.standingBacklogs(pool, count);
    }
    this.#shownPools = shownPools;
  }
}

function factsOf({ pool, rank, minWaitMs }: PoolBacklog): LogFacts {
  return { pool, rank, minWaitMs: Math.round(minWaitMs) };
}

function keyOf({ pool, rank }: PoolBacklog): string {
  return `${rank} ${pool}`;
}
