/** What the parts of one gateway share. */

import type { Agent } from "node:http";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import type { TargetSignalHandler } from "./target_signal_handler.ts";
import type { EventLog } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { PlacementDesk } from "./placement_desk.ts";
import type { CallProtocol, Clock } from "./ports.ts";
import type { TargetProbes } from "./target_probes.ts";

/** Handed to every request. */
export interface GatewayParts {
  readonly board: RoutingBoard;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly desk: PlacementDesk;
  readonly protocol: CallProtocol;
  readonly probes: TargetProbes;
  readonly targetSignals: TargetSignalHandler;
  /** The instance's own failure domain. */
  readonly failureDomain: string;
  /** @returns By how much this process was late for its latest tick. */
  lateMs(): number;
  /** Called when the coordinator placed a request at a leaving target. */
  onPlacedAtLeaving(targetId: string): void;
  /** @returns An ask's id, unique in the fleet. */
  nextAskId(): string;
  /** @returns The agent that keeps connections to a target of a pool. */
  agentFor(pool: string, address: string): Agent;
}
