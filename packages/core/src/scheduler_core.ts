/**
 * The scheduler of one instance as a deterministic state machine: it receives
 * events, returns effects and does no I/O itself.
 */

import type { Blackboard } from "./blackboard.ts";
import { type Controller, runController, Turn } from "./controller.ts";
import { CoordinatorController } from "./coordinator_controller.ts";
import type { CoordinatorOptions } from "./coordinator_options.ts";
import { DecisionLog } from "./decision_log.ts";
import type { Effect } from "./effects.ts";
import { type CoreEvent, EventKind } from "./events.ts";
import {
  MembershipController,
  type SeedPeer,
} from "./membership_controller.ts";
import type { RandomSource } from "./random_source.ts";
import { RequestController } from "./request_controller.ts";
import { SettingsController } from "./settings_controller.ts";
import { ShutdownController } from "./shutdown_controller.ts";
import { TargetController } from "./target_controller.ts";

/** Identity and limits of the instance that a {@link SchedulerCore} runs. */
export interface CoreOptions {
  readonly instanceId: string;
  /** Increases with every start of the instance. */
  readonly incarnation: number;
  readonly failureDomain: string;
  readonly region: string;
  /** Instances to connect to before the platform's list was read. */
  readonly seedPeers: readonly SeedPeer[];
  readonly random: RandomSource;
  /** Number of requests whose decisions are kept for `why`; 2000 by default. */
  readonly maxRequestsWithDecisions?: number;
  /** Switches of the placement policy, used by measurements. */
  readonly policy?: CoordinatorOptions;
}

const DEFAULT_MAX_REQUESTS_WITH_DECISIONS = 2000;

/** Runs the controllers on the blackboard, in a fixed order. */
export class SchedulerCore {
  readonly board: Blackboard;
  readonly #random: RandomSource;
  readonly #controllers: readonly Controller[];

  /** @param options Identity and limits of the instance. */
  constructor(options: CoreOptions) {
    this.board = createBlackboard(options);
    this.#random = options.random;
    this.#controllers = [
      new SettingsController(),
      new MembershipController(options.seedPeers),
      new TargetController(options.policy),
      new CoordinatorController(options.policy),
      new RequestController(),
      new ShutdownController(),
    ];
  }

  /**
   * Handles one event, and the messages that this instance sends to itself
   * while it does so.
   *
   * @param event What happened, with the local time.
   * @returns Effects for the I/O layer to carry out, in order.
   */
  handle(event: CoreEvent): Effect[] {
    const turn = new Turn(this.board, {
      nowMs: event.nowMs,
      random: this.#random,
    });
    this.#runControllers(event, turn);
    for (
      let message = turn.selfMessages.shift();
      message !== undefined;
      message = turn.selfMessages.shift()
    ) {
      this.#runControllers({
        kind: EventKind.PeerMessageReceived,
        nowMs: event.nowMs,
        fromId: this.board.self.instanceId,
        fromIncarnation: this.board.self.incarnation,
        message,
      }, turn);
    }
    return turn.effects;
  }

  #runControllers(event: CoreEvent, turn: Turn): void {
    for (const controller of this.#controllers) {
      runController(controller, event, turn);
    }
  }
}

function createBlackboard(options: CoreOptions): Blackboard {
  return {
    self: {
      instanceId: options.instanceId,
      incarnation: options.incarnation,
      failureDomain: options.failureDomain,
      region: options.region,
      leaving: false,
    },
    settings: { content: "", changeId: "", lastPollAtMs: -Infinity },
    members: {
      byId: new Map(),
      heartbeat: 0,
      lastHeartbeatAtMs: -Infinity,
      lastListPollAtMs: -Infinity,
      viewNumber: 0,
    },
    targets: { byId: new Map() },
    requests: {
      byId: new Map(),
      unfinished: new Map(),
      lastEvictionAtMs: -Infinity,
      requestIdByJoinedCall: new Map(),
      requestIdByKey: new Map(),
      holderBeat: 0,
      beatStartedAtMs: new Map(),
      lastBeatAtMs: -Infinity,
      lastReportAtMs: -Infinity,
      lastReportRecipients: new Map(),
      nonceCounter: 0,
      openByScope: new Map(),
      rateBuckets: new Map(),
      learnedOutputTokens: new Map(),
    },
    shards: { byKey: new Map(), grantCounter: 0 },
    decisions: new DecisionLog(
      options.maxRequestsWithDecisions ?? DEFAULT_MAX_REQUESTS_WITH_DECISIONS,
    ),
  };
}
