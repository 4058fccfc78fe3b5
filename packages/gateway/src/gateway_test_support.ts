/** Instances of a fleet on a clock of a test, without sockets. */

import { Writable } from "node:stream";
import {
  Coordinator,
  type FleetBounds,
} from "@chestnuthatch/routing/coordinator";
import { CutDomains } from "@chestnuthatch/routing/cut_domains";
import type { Allotment } from "@chestnuthatch/routing/fleet_configuration";
import { MemberView } from "@chestnuthatch/routing/member_view";
import {
  MessageKind,
  type RoutingMessage,
} from "@chestnuthatch/routing/peer_messages";
import { boardOf, memberOf } from "@chestnuthatch/routing/routing_test_support";
import type { TargetRateLimits } from "@chestnuthatch/routing/target_rate_limits";
import { EventLog } from "./event_log.ts";
import { HeartbeatExchange } from "./heartbeat_exchange.ts";
import { PlacementDesk } from "./placement_desk.ts";
import { type Clock, type PlatformPort, StatusWriteOutcome } from "./ports.ts";
import { SpendingRecorder } from "./spending_recorder.ts";

/** Time for which instances have run, on a clock that begins at 0. */
export const RUN_MS = 60_000;

/** One instance: whom it knows, its heartbeats and its places. */
export interface FleetNode {
  readonly members: MemberView;
  readonly rateLimits: TargetRateLimits;
  readonly keeper: HeartbeatExchange;
  readonly desk: PlacementDesk;
  readonly spending: SpendingRecorder;
  /** Lets time pass for all of its parts. */
  tick(): void;
  /** @returns The test's clock. */
  nowMs(): number;
}

/** What a fleet's instances have in common. */
export interface FleetOptions {
  readonly clock: Clock;
  readonly bounds: FleetBounds;
  /** What workspace `w` may spend. */
  readonly allotment: Allotment;
  readonly targetIds: readonly string[];
  /** Instances that each tells of itself at first. */
  readonly seedIds: readonly string[];
  /** @returns An instance's failure domain; `a` for all where absent. */
  domainOf?(instanceId: string): string;
  /** Takes a message from one instance to another. */
  send(fromId: string, toId: string, message: RoutingMessage): void;
}

/**
 * @param instanceId The instance's id.
 * @param options What it has in common with the others.
 * @returns The instance.
 */
export function fleetNode(
  instanceId: string,
  options: FleetOptions,
): FleetNode {
  const { clock, bounds, allotment, targetIds, seedIds, send } = options;
  const failureDomain = options.domainOf?.(instanceId) ?? "a";
  const self = memberOf(instanceId, { failureDomain });
  const members = new MemberView(self);
  const workspaces = [{ name: "w", keys: [], allotment }];
  const board = {
    ...boardOf(targetIds, { workspaces }),
    members,
    cutDomains: new CutDomains(members),
  };
  const nowhere = new Writable({ write: (_chunk, _code, done) => done() });
  const log = new EventLog(clock, instanceId, nowhere);
  const coordinator = new Coordinator(board, bounds);
  const spending = new SpendingRecorder({
    board,
    coordinator,
    platform: NO_PLATFORM,
    clock,
    log,
  });
  const desk = new PlacementDesk({
    board,
    coordinator,
    clock,
    log,
    send: (member, message) => send(instanceId, member.instanceId, message),
    startedAtMs: -RUN_MS,
    spendingWindowMs: bounds.allotmentTolerance.windowMs,
    onStandIn: (share) => spending.becameActingCoordinator(share),
  });
  const keeper = new HeartbeatExchange({
    board,
    clock,
    log,
    seedAddresses: seedIds.map((id) => memberOf(id).address),
    send: (addresses, message) => {
      for (const address of addresses) {
        send(instanceId, address.split(":")[0]!, message);
      }
    },
    coordinatorId: () => desk.coordinatorId,
    memoryMs: () => RUN_MS + clock.nowMs(),
    reachesStore: () => true,
    spending: () =>
      desk.coordinatorId === instanceId
        ? coordinator.muchSpent(clock.nowMs())
        : [],
    suspects: () => [],
    rollouts: () => [],
    rateLimits: (of) => board.rateLimits.toTell(clock.nowMs(), of),
    targetNews: () => [],
  }, self);
  let wasCoordinator = false;
  const tick = () => {
    members.remembers(instanceId, RUN_MS + clock.nowMs(), clock.nowMs());
    keeper.tick();
    desk.tick();
    const isCoordinator = desk.coordinatorId === instanceId;
    if (isCoordinator && !wasCoordinator) {
      spending.becameCoordinator();
    }
    wasCoordinator = isCoordinator;
  };
  const { rateLimits } = board;
  const nowMs = () => clock.nowMs();
  return { members, rateLimits, keeper, desk, spending, tick, nowMs };
}

/** A platform that takes no records. */
const NO_PLATFORM: PlatformPort = {
  start: () => {},
  recordSpending: () => Promise.resolve(false),
  recordSuspects: () => Promise.resolve(false),
  writeRolloutStatus: ({ rowVersion }) =>
    Promise.resolve({ outcome: StatusWriteOutcome.Unknown, rowVersion }),
  stop: () => {},
};

/**
 * Takes a message in as the instance's socket would hand it over.
 *
 * @param node The instance.
 * @param of The message, and who sent it.
 */
export function deliverTo(
  { keeper, desk, spending, rateLimits, nowMs }: FleetNode,
  { message, fromId }: { message: RoutingMessage; fromId: string },
): void {
  if (message.kind === MessageKind.Beat) {
    keeper.heartbeatReceived(message);
    rateLimits.merge(message.rateLimits ?? [], nowMs());
    if (fromId === desk.coordinatorId && message.spending !== undefined) {
      spending.received(message.spending);
    }
  } else {
    desk.heard(message, fromId);
  }
}
