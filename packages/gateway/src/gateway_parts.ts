/** The collaborators that all requests of one gateway share. */

import type { Agent } from "node:http";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import type { AnswerMemory } from "./answer_memory.ts";
import type { AnsweredParts } from "./answered_parts.ts";
import type { TargetSignalHandler } from "./target_signal_handler.ts";
import type { EventLog } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { PlacementClient } from "./placement_client.ts";
import type { CallProtocol, Clock } from "./ports.ts";
import type { TargetReachability } from "./target_reachability.ts";

/** Collaborators of a request, the same for all requests of a gateway. */
export interface GatewayParts {
  readonly board: RoutingBoard;
  readonly answerMemory: AnswerMemory;
  /** Memory of the bodies of all requests. */
  readonly requestMemory: AnswerMemory;
  readonly answeredParts: AnsweredParts;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly placementClient: PlacementClient;
  readonly protocol: CallProtocol;
  readonly reachability: TargetReachability;
  readonly targetSignals: TargetSignalHandler;
  /** Failure domain of this instance. */
  readonly failureDomain: string;
  /** @returns Longest recent delay of the event loop in milliseconds. */
  lateMs(): number;
  /**
   * Called when the coordinator assigned a request to a leaving target.
   *
   * @param targetId The target's id.
   */
  onPlacedAtLeavingTarget(targetId: string): void;
  /** @returns A new ask id, unique in the fleet. */
  nextAskId(): string;
  /**
   * Gets the connection pool of a target.
   *
   * @param pool Name of the target's pool.
   * @param address The target's `ip:port`.
   * @returns The agent that keeps the connections.
   */
  agentFor(pool: string, address: string): Agent;
  /** Opens a connection for each request that another instance relays. */
  readonly relayAgent: Agent;
  /** Port of the relay servers, the same on all instances. */
  readonly relayPort: number;
}
