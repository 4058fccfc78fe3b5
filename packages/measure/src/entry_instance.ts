/** Interface of simulated entry instances, and of those who call them. */

import type { Refusal } from "@chestnuthatch/core/request";
import type { ControlCostCounter } from "./control_cost_counter.ts";
import type { EventQueue } from "./event_queue.ts";
import type { SimulatedNetwork } from "./simulated_network.ts";
import type { PeerLinks } from "./peer_links.ts";
import type { SimulatedPlatform } from "./simulated_platform.ts";
import type { PromiseChecker } from "./promise_checker.ts";
import type { SimulatedTarget } from "./simulated_target.ts";
import type { CallerCall } from "./work_item.ts";

/** Receiver of the outcomes of calls, on the callers' side. */
export interface OutcomeListener {
  /**
   * Receives an answer.
   *
   * @param requestId Id of the call.
   * @param text The text of the answer.
   */
  onAnswered(requestId: string, text: string): void;
  /**
   * Receives a refusal.
   *
   * @param requestId Id of the call.
   * @param refusal Reason, run state and retry delay.
   */
  onRefused(requestId: string, refusal: Refusal): void;
  /**
   * Handles a connection that broke before the call received an outcome.
   *
   * @param requestId Id of the call.
   */
  onConnectionLost(requestId: string): void;
}

/** Parts of the simulation that an instance uses. */
export interface InstanceContext {
  readonly queue: EventQueue;
  readonly network: SimulatedNetwork;
  readonly peerLinks: PeerLinks;
  readonly platform: SimulatedPlatform;
  readonly targets: ReadonlyMap<string, SimulatedTarget>;
  readonly checker: PromiseChecker;
  readonly callers: OutcomeListener;
  readonly controlCosts: ControlCostCounter;
  /**
   * Whether scheduler cores receive the hashes of prompt blocks, by which they
   * place requests where a prefix is cached.
   */
  readonly useAffinity: boolean;
}

/** An instance's id and the failure domain that it runs in. */
export interface InstanceLocation {
  readonly instanceId: string;
  readonly failureDomain: string;
}

/** A request that an instance holds. */
export interface HeldWork {
  readonly requestId: string;
  readonly pool: string;
  readonly tierRank: number;
  /** Simulated time at which the request arrived. */
  readonly heldSinceMs: number;
  /** Whether the request was dispatched to a target. */
  readonly running: boolean;
  /** Whether the scheduler may cancel the request while it runs. */
  readonly cancellable: boolean;
}

/** A simulated entry instance, whose process can be killed and paused. */
export interface EntryInstance extends InstanceLocation {
  /** Whether the process runs, paused or not. */
  readonly isLive: boolean;
  readonly isPaused: boolean;
  /** Whether the load balancer may send calls to the instance. */
  readonly isReady: boolean;
  /** Time of the last resumption; -Infinity if the process was never paused. */
  readonly resumedAtMs: number;
  /** Starts a new process. */
  start(): void;
  /** Kills the process; the connections of its open calls break. */
  kill(): void;
  /** Pauses the process. */
  pause(): void;
  /** Resumes the process, which handles what arrived meanwhile in order. */
  resume(): void;
  /**
   * Receives a call.
   *
   * @param call The call.
   */
  receiveCall(call: CallerCall): void;
  /**
   * Handles a caller that closed its connection.
   *
   * @param requestId Id of the call.
   */
  onCallerDisconnected(requestId: string): void;
  /** @returns The requests that the instance holds now. */
  heldWork(): HeldWork[];
  /**
   * Lists the decisions on a request from the instance's log.
   *
   * @param requestId Id of the request.
   * @returns One line for each decision; empty if the log holds none.
   */
  describeDecisions(requestId: string): string[];
}
