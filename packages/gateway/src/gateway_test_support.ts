/** Simulated instances of a fleet on a test's clock, without sockets. */

import { Writable } from "node:stream";
import {
  Coordinator,
  type FleetBounds,
} from "@chestnuthatch/routing/coordinator";
import { UnreachableDomains } from "@chestnuthatch/routing/unreachable_domains";
import type { Allotment } from "@chestnuthatch/routing/fleet_configuration";
import { MemberView } from "@chestnuthatch/routing/member_view";
import {
  MessageKind,
  type RoutingMessage,
} from "@chestnuthatch/routing/peer_messages";
import { RecordOutcome } from "@chestnuthatch/routing/recorded_spending";
import { boardOf, memberOf } from "@chestnuthatch/routing/routing_test_support";
import type { TargetRateLimits } from "@chestnuthatch/routing/target_rate_limits";
import { AssigningRole } from "./assigning_role.ts";
import { EventLog } from "./event_log.ts";
import { HeartbeatExchange } from "./heartbeat_exchange.ts";
import { PlacementClient } from "./placement_client.ts";
import { type Clock, type PlatformPort, StatusWriteOutcome } from "./ports.ts";
import { RetryBudgetHandover } from "./retry_budget_handover.ts";
import { announcedAccountOf, SpendingRecorder } from "./spending_recorder.ts";

/** Uptime of all instances at time 0 of the test's clock, in milliseconds. */
export const UPTIME_MS = 60_000;

/** One simulated instance: its members, heartbeats and placements. */
export interface FleetNode {
  readonly members: MemberView;
  readonly rateLimits: TargetRateLimits;
  readonly heartbeatExchange: HeartbeatExchange;
  readonly placementClient: PlacementClient;
  readonly spending: SpendingRecorder;
  readonly retryBudgets: RetryBudgetHandover;
  /** Runs the timeouts of all components at the clock's present time. */
  tick(): void;
  /** The process was stalled until now. */
  stalled(): void;
  /** @returns The time of the test's clock. */
  nowMs(): number;
}

/** Options that all instances of a simulated fleet share. */
export interface FleetOptions {
  readonly clock: Clock;
  readonly bounds: FleetBounds;
  /** Allotment of workspace `w`. */
  readonly allotment: Allotment;
  readonly targetIds: readonly string[];
  /** Instances that each instance sends its first heartbeats to. */
  readonly seedIds: readonly string[];
  /** Time of the test's clock at which the instance started. */
  readonly startedAtMs?: number;
  /**
   * The platform, whose records the test passes on; one without records if
   * absent.
   */
  readonly platform?: PlatformPort;
  /** @returns An instance's failure domain; `a` for all if absent. */
  domainOf?(instanceId: string): string;
  /** Delivers a message from one instance to another. */
  send(fromId: string, toId: string, message: RoutingMessage): void;
}

/**
 * Creates a simulated instance.
 *
 * @param instanceId The instance's id.
 * @param options Options that it shares with the other instances.
 * @returns The instance.
 */
export function fleetNode(
  instanceId: string,
  options: FleetOptions,
): FleetNode {
  const { clock, bounds, allotment, targetIds, seedIds, send } = options;
  const { startedAtMs = -UPTIME_MS } = options;
  const failureDomain = options.domainOf?.(instanceId) ?? "a";
  const incarnation = startedAtMs + UPTIME_MS + 1;
  const self = memberOf(instanceId, { failureDomain, incarnation });
  const members = new MemberView(self);
  members.processes.limitWindowMs = bounds.allotmentTolerance.windowMs;
  const workspaces = [{ name: "w", keys: [], allotment }];
  const board = {
    ...boardOf(targetIds, { workspaces }),
    members,
    unreachableDomains: new UnreachableDomains(members),
  };
  const discard = new Writable({ write: (_chunk, _code, done) => done() });
  const log = new EventLog(clock, instanceId, discard);
  const coordinator = new Coordinator(board, bounds);
  const spending = new SpendingRecorder({
    members,
    recorderId: `${instanceId}.${incarnation}`,
    coordinator,
    platform: options.platform ?? NO_OP_PLATFORM,
    clock,
    log,
    windowMs: bounds.allotmentTolerance.windowMs,
  });
  if (options.platform === undefined) {
    spending.rowRead({ records: [], rowVersion: 0 });
  }
  const placementClient = new PlacementClient({
    board,
    coordinator,
    clock,
    log,
    send: (member, message) => send(instanceId, member.instanceId, message),
    startedAtMs,
    spendingWindowMs: bounds.allotmentTolerance.windowMs,
    onAssigning: () => role.beforeAssigning(),
  });
  const retryBudgets = new RetryBudgetHandover({ board, coordinator, clock });
  const role = new AssigningRole({
    board,
    coordinator,
    clock,
    log,
    startedAtMs,
    accounts: [spending, retryBudgets],
    coordinatorId: () => placementClient.coordinatorId,
    share: () => placementClient.share,
  });
  const heartbeatExchange = new HeartbeatExchange({
    board,
    clock,
    log,
    seedAddresses: seedIds.map((id) => memberOf(id).address),
    send: (addresses, message) => {
      for (const address of addresses) {
        send(instanceId, address.split(":")[0]!, message);
      }
    },
    coordinatorId: () => placementClient.coordinatorId,
    uptimeMs: () => clock.nowMs() - startedAtMs,
    reachesStore: () => true,
    spending: () =>
      role.isCoordinator
        ? coordinator.announcedSpending(clock.nowMs())
        : undefined,
    retries: () =>
      placementClient.coordinatorId === instanceId
        ? coordinator.retryHistories(clock.nowMs())
        : [],
    suspects: () => [],
    admission: () =>
      placementClient.coordinatorId === instanceId
        ? coordinator.admissionForecasts(clock.nowMs())
        : [],
    streams: () => [],
    rollouts: () => [],
    rateLimits: (of) => board.rateLimits.updatesToSend(clock.nowMs(), of),
    targetChanges: () => ({ changes: [], sinceVersion: 0 }),
  }, self);
  const tick = () => {
    heartbeatExchange.tick();
    placementClient.tick();
    role.update();
    if (role.isCoordinator) {
      spending.record();
    }
  };
  const stalled = () => {
    coordinator.clearAsks();
    role.stalled();
  };
  const { rateLimits } = board;
  const nowMs = () => clock.nowMs();
  return {
    members,
    rateLimits,
    heartbeatExchange,
    placementClient,
    spending,
    retryBudgets,
    tick,
    stalled,
    nowMs,
  };
}

/** A platform that stores nothing. */
export const NO_OP_PLATFORM: PlatformPort = {
  start: () => {},
  readSpending: () => Promise.resolve({ records: [], rowVersion: 0 }),
  recordSpending: () =>
    Promise.resolve({ outcome: RecordOutcome.Written, rowVersion: 1 }),
  recordSuspects: () => Promise.resolve(false),
  recordStreams: () => Promise.resolve(false),
  readStreams: () => Promise.resolve(true),
  readTargets: () => Promise.resolve(false),
  announceLeaving: () => {},
  writeRolloutStatus: ({ rowVersion }) =>
    Promise.resolve({ outcome: StatusWriteOutcome.Unknown, rowVersion }),
  stop: () => {},
};

/**
 * Delivers a message to an instance as its socket would.
 *
 * @param node The receiving instance.
 * @param of The message, and the sender's instance id.
 */
export function deliverTo(
  node: FleetNode,
  { message, fromId }: { message: RoutingMessage; fromId: string },
): void {
  const { placementClient } = node;
  if (message.kind !== MessageKind.Heartbeat) {
    placementClient.handleMessage(message, fromId);
    return;
  }
  node.heartbeatExchange.heartbeatReceived(message);
  node.rateLimits.merge(message.rateLimits ?? [], node.nowMs());
  const isCoordinator = fromId === placementClient.coordinatorId;
  if (isCoordinator) {
    placementClient.waitsAnnounced(fromId, message.admission ?? []);
  }
  if (message.coordinatorId === fromId && message.spending !== undefined) {
    node.spending.spendingReceived(fromId, announcedAccountOf(message));
  }
  if (isCoordinator && message.retries !== undefined) {
    node.retryBudgets.reportReceived(fromId, message.retries);
  }
}
