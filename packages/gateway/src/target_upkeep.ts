/** Cleans up state of targets that were removed or restarted. */

import type { Coordinator } from "@chestnuthatch/routing/coordinator";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import {
  type TargetEvent,
  TargetEventKind,
} from "@chestnuthatch/routing/target_directory";
import type { Clock } from "./ports.ts";
import type { TargetConnections } from "./target_connections.ts";

/** What the clean-up works with. */
export interface UpkeepParts {
  readonly board: RoutingBoard;
  readonly clock: Clock;
  readonly coordinator: Coordinator;
  readonly connections: TargetConnections;
}

/** Discards state of removed and restarted targets. */
export class TargetUpkeep {
  readonly #parts: UpkeepParts;

  /** @param parts What it works with. */
  constructor(parts: UpkeepParts) {
    this.#parts = parts;
  }

  /** @param beliefs What changed in what this instance believes. */
  changed(beliefs: readonly TargetEvent[]): void {
    const { board: { targets, paces, rateLimits }, clock } = this.#parts;
    const nowMs = clock.nowMs();
    for (const { targetId, kind: news } of beliefs) {
      if (news === TargetEventKind.Restarted) {
        this.#restarted(targetId, nowMs);
      }
    }
    targets.evictExpired(nowMs);
    const all = targets.all();
    const targetIds = new Set(all.map(({ targetId }) => targetId));
    paces.keepOnly(targetIds);
    rateLimits.keepOnly(targetIds);
    const usable = all.filter((target) => targets.isUsable(target, nowMs));
    const addresses = new Set(usable.map(({ address }) => address));
    this.#parts.connections.keepOnly(addresses);
  }

  /** Keeps the learned pace, which is that of the machine. */
  #restarted(targetId: string, nowMs: number): void {
    const { board, coordinator, connections } = this.#parts;
    board.health.restarted(targetId);
    board.backoffs.restarted(targetId);
    board.rateLimits.restarted(targetId, nowMs);
    coordinator.targetRestarted(targetId);
    connections.dropIdle(board.targets.get(targetId)!.address);
  }
}
