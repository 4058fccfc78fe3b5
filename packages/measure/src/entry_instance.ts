/** An entry instance as callers, the balancer and the faults see it. */

import type { Refusal } from "@chestnuthatch/core/request";
import type { ControlCostCounter } from "./control_cost_counter.ts";
import type { EventQueue } from "./event_queue.ts";
import type { SimulatedNetwork } from "./simulated_network.ts";
import type { PeerLinks } from "./peer_links.ts";
import type { SimulatedPlatform } from "./simulated_platform.ts";
import type { PromiseChecker } from "./promise_checker.ts";
import type { SimulatedTarget } from "./simulated_target.ts";
import type { CallerCall } from "./work_item.ts";

/** Where the outcomes of calls go. */
export interface OutcomeListener {
  /**
   * Delivers an answer.
   *
   * @param requestId The call.
   * @param text The text.
   */
  onAnswered(requestId: string, text: string): void;
  /**
   * Delivers a refusal.
   *
   * @param requestId The call.
   * @param refusal What it is told.
   */
  onRefused(requestId: string, refusal: Refusal): void;
  /** @param requestId A call whose connection broke. */
  onConnectionLost(requestId: string): void;
}

/** What an instance shares with the world. */
export interface InstanceContext {
  readonly queue: EventQueue;
  readonly network: SimulatedNetwork;
  readonly peerLinks: PeerLinks;
  readonly platform: SimulatedPlatform;
  readonly targets: ReadonlyMap<string, SimulatedTarget>;
  readonly checker: PromiseChecker;
  readonly callers: OutcomeListener;
  readonly controlCosts: ControlCostCounter;
  /** Whether schedulers see the fingerprints of prompt blocks. */
  readonly useAffinity: boolean;
}

/** Where an instance stands. */
export interface InstanceLocation {
  readonly instanceId: string;
  readonly failureDomain: string;
}

/** Work that an instance holds. */
export interface HeldWork {
  readonly requestId: string;
  readonly pool: string;
  readonly tierRank: number;
  readonly heldSinceMs: number;
  readonly running: boolean;
  /** Whether a running stream of it may be cancelled. */
  readonly cancellable: boolean;
}

/** An entry instance. */
export interface EntryInstance extends InstanceLocation {
  readonly isLive: boolean;
  readonly isPaused: boolean;
  /** Whether the balancer may send it callers. */
  readonly isReady: boolean;
  /** When it last woke from a pause; -Infinity when it never was paused. */
  readonly resumedAtMs: number;
  /** Starts its process, anew after a kill. */
  start(): void;
  /** Kills its process; its open calls are lost. */
  kill(): void;
  /** Freezes its process. */
  pause(): void;
  /** Lets its process go on; what came meanwhile is handled in order. */
  resume(): void;
  /** @param call A call that arrives. */
  receiveCall(call: CallerCall): void;
  /** @param requestId A call whose caller hangs up. */
  disconnectCaller(requestId: string): void;
  /** @returns What it holds now. */
  heldWork(): HeldWork[];
  /**
   * Tells a request's story.
   *
   * @param requestId The request.
   * @returns Its steps.
   */
  describeDecisions(requestId: string): string[];
}
