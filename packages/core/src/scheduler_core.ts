/** The core of one instance: events in, effects out, no I/O. */

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
import type { Randomness } from "./randomness.ts";
import { RequestController } from "./request_controller.ts";
import { SettingsController } from "./settings_controller.ts";
import { ShutdownController } from "./shutdown_controller.ts";
import { TargetController } from "./target_controller.ts";

/** Who the instance is and what it may keep. */
export interface CoreOptions {
  readonly instanceId: string;
  readonly incarnation: number;
  readonly failureDomain: string;
  readonly region: string;
  /** Instances to reach before the platform's list is known. */
  readonly seedPeers: readonly SeedPeer[];
  readonly random: Randomness;
  /** Stories kept for `why`. */
  readonly maxDecisions?: number;
  /** Switches of the placement policy, for measurements. */
  readonly policy?: CoordinatorOptions;
}

const DEFAULT_MAX_DECISIONS = 2000;

/** Runs the controllers over the blackboard, in a fixed order. */
export class SchedulerCore {
  readonly board: Blackboard;
  readonly #random: Randomness;
  readonly #controllers: readonly Controller[];

  /** @param options Who the instance is. */
  constructor(options: CoreOptions) {
    this.board = makeBlackboard(options);
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
   * Handles one event, and whatever this instance says to itself because of it.
   *
   * @param event What happened, with the local time.
   * @returns What the edges are to do, in order.
   */
  handle(event: CoreEvent): Effect[] {
    const turn = new Turn(this.board, {
      nowMs: event.nowMs,
      random: this.#random,
    });
    this.#run(event, turn);
    for (
      let message = turn.toSelf.shift();
      message !== undefined;
      message = turn.toSelf.shift()
    ) {
      this.#run({
        kind: EventKind.PeerMessageReceived,
        nowMs: event.nowMs,
        fromId: this.board.self.instanceId,
        fromIncarnation: this.board.self.incarnation,
        message,
      }, turn);
    }
    return turn.effects;
  }

  #run(event: CoreEvent, turn: Turn): void {
    for (const controller of this.#controllers) {
      runController(controller, event, turn);
    }
  }
}

function makeBlackboard(options: CoreOptions): Blackboard {
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
      lastForgetAtMs: -Infinity,
      joined: new Map(),
      byKey: new Map(),
      holderBeat: 0,
      beatBegunAtMs: new Map(),
      lastBeatAtMs: -Infinity,
      lastReportAtMs: -Infinity,
      reportedTo: new Map(),
      nonceCounter: 0,
      openByScope: new Map(),
      rateBuckets: new Map(),
      learnedOutputTokens: new Map(),
    },
    shards: { byKey: new Map(), grantCounter: 0 },
    decisions: new DecisionLog(options.maxDecisions ?? DEFAULT_MAX_DECISIONS),
  };
}
