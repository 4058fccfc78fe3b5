/** Cleanup of state about targets that were removed or restarted. */

import type { Coordinator } from "@chestnuthatch/routing/coordinator";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import {
  type TargetEvent,
  TargetEventKind,
} from "@chestnuthatch/routing/target_directory";
import type { Clock } from "./ports.ts";
import type { TargetConnections } from "./target_connections.ts";
import type { TargetReachability } from "./target_reachability.ts";

/** Parts of the instance that the cleanup uses. */
export interface TargetCleanupParts {
  readonly board: RoutingBoard;
  readonly clock: Clock;
  readonly coordinator: Coordinator;
  readonly connections: TargetConnections;
  readonly reachability: TargetReachability;
}

/** Discards state about removed targets, and resets that of restarted ones. */
export class TargetCleanup {
  readonly #parts: TargetCleanupParts;

  /** @param parts Parts of the instance that the cleanup uses. */
  constructor(parts: TargetCleanupParts) {
    this.#parts = parts;
  }

  /**
   * Applies changes in this instance's directory of targets.
   *
   * @param changes Changed targets, each with the kind of change.
   */
  applyChanges(changes: readonly TargetEvent[]): void {
    const { board, clock } = this.#parts;
    const {
      targets,
      latencyModels,
      rateLimits,
      relayedTargets,
      targetLoads,
    } = board;
    const nowMs = clock.nowMs();
    for (const { targetId, kind } of changes) {
      if (kind === TargetEventKind.Restarted) {
        this.#resetRestarted(targetId, nowMs);
      }
    }
    targets.evictExpired(nowMs);
    const all = targets.all();
    const targetIds = new Set(all.map(({ targetId }) => targetId));
    latencyModels.keepOnly(targetIds);
    rateLimits.keepOnly(targetIds);
    relayedTargets.keepOnly(targetIds);
    targetLoads.keepOnly(targetIds);
    this.#parts.reachability.keepOnly(targetIds);
    const usable = all.filter((target) => targets.isUsable(target, nowMs));
    const addresses = new Set(usable.map(({ address }) => address));
    this.#parts.connections.keepOnly(addresses);
  }

  /**
   * Resets a target's state, except its latency model, which depends on its
   * hardware.
   */
  #resetRestarted(targetId: string, nowMs: number): void {
    const { board, coordinator, connections } = this.#parts;
    board.health.restarted(targetId);
    board.backoffs.restarted(targetId);
    board.rateLimits.restarted(targetId, nowMs);
    board.targetLoads.restarted(targetId, nowMs);
    coordinator.targetRestarted(targetId);
    connections.closeIdle(board.targets.get(targetId)!.address);
  }
}
