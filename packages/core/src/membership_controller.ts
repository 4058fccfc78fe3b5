/** Membership controller: maintains the member table and the member view. */

import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import type { Blackboard } from "./blackboard.ts";
import {
  type Controller,
  type EventHandlers,
  runController,
  type Turn,
} from "./controller.ts";
import { isEligible } from "./coordinators.ts";
import { EffectKind, LogLevel, LogPart } from "./effects.ts";
import { EventKind, type EventOf } from "./events.ts";
import { handlersForAllEvents } from "./all_event_handlers.ts";
import {
  gossipHeartbeat,
  mergeHeartbeat,
  sendDigest,
  updateOwnMember,
} from "./heartbeat_gossip.ts";
import {
  ensureMember,
  mergeInstanceList,
  removeStaleMembers,
} from "./member_table.ts";
import { detectPause } from "./pause_detection.ts";
import { updateConnections } from "./peer_connections.ts";
import { timingInForce, withJitter } from "./timing.ts";

/** A seed: an instance that the start settings name as a first contact. */
export interface SeedPeer {
  readonly instanceId: string;
  readonly failureDomain: string;
  /** `host:port` of its peer port. */
  readonly address: string;
}

/**
 * Maintains the members section of the blackboard from heartbeats, peer
 * connections and the platform's instance list.
 */
export class MembershipController implements Controller {
  readonly name = "membership";
  readonly handlers: EventHandlers;
  readonly #seedPeers: readonly SeedPeer[];

  /** @param seedPeers The seeds that the start settings name. */
  constructor(seedPeers: readonly SeedPeer[]) {
    this.#seedPeers = seedPeers;
    const ownController: Controller = {
      name: this.name,
      handlers: MEMBERSHIP_HANDLERS,
    };
    this.handlers = handlersForAllEvents((event, turn) => {
      this.#initialize(turn);
      detectPause(turn);
      runController(ownController, event, turn);
    });
  }

  #initialize(turn: Turn): void {
    const { members, self } = turn.board;
    if (members.byId.has(self.instanceId)) {
      return;
    }
    updateOwnMember(turn);
    for (const { instanceId, failureDomain, address } of this.#seedPeers) {
      addSeedMember(turn.board, { instanceId, failureDomain, address });
    }
  }
}

const MEMBERSHIP_HANDLERS: EventHandlers = {
  [EventKind.Tick]: (_event, turn) => onTick(turn),
  [EventKind.PeerConnected]: onPeerConnected,
  [EventKind.PeerDisconnected]: ({ peerId }, turn) =>
    onPeerDisconnected(turn, peerId),
  [EventKind.PeerMessageReceived]: onMessage,
  [EventKind.InstanceListRead]: onInstanceList,
};

function addSeedMember(board: Blackboard, seed: SeedPeer): void {
  const member = ensureMember(board, seed);
  if (member !== undefined) {
    member.address = seed.address;
    member.listed = true;
  }
}

function onTick(turn: Turn): void {
  updateOwnMember(turn);
  updateView(turn);
  pollInstanceList(turn);
  const { heartbeatMs } = timingInForce(turn.board);
  if (turn.nowMs - turn.board.members.lastHeartbeatAtMs >= heartbeatMs) {
    removeStaleMembers(turn);
    updateConnections(turn);
    gossipHeartbeat(turn);
  }
}

function pollInstanceList(turn: Turn): void {
  const { members } = turn.board;
  if (turn.nowMs < (members.nextListPollAtMs ?? -Infinity)) {
    return;
  }
  const { listPollMs } = timingInForce(turn.board);
  members.lastListPollAtMs = turn.nowMs;
  members.nextListPollAtMs = turn.nowMs + withJitter(listPollMs, turn.random);
  turn.emit({ kind: EffectKind.PollInstanceList });
}

function onPeerConnected(
  event: EventOf<EventKind.PeerConnected>,
  turn: Turn,
): void {
  const { peerId } = event;
  const failureDomain = event.failureDomain ?? "";
  const member = ensureMember(turn.board, {
    instanceId: peerId,
    failureDomain,
    address: "",
  });
  if (member !== undefined) {
    member.connected = true;
    member.failureDomain ||= failureDomain;
    sendDigest(turn, peerId);
    updateView(turn);
  }
}

function onPeerDisconnected(turn: Turn, peerId: string): void {
  const member = turn.board.members.byId.get(peerId);
  if (member !== undefined) {
    member.connected = false;
    updateView(turn);
  }
}

function onMessage(
  event: EventOf<EventKind.PeerMessageReceived>,
  turn: Turn,
): void {
  if (event.message.kind === PeerMessageKind.Heartbeat) {
    mergeHeartbeat(turn, event.message.members);
    updateView(turn);
  }
}

function onInstanceList(
  event: EventOf<EventKind.InstanceListRead>,
  turn: Turn,
): void {
  mergeInstanceList(turn, event.list);
  removeStaleMembers(turn);
  updateConnections(turn);
  updateView(turn);
}

/** Increments the view number when the set of eligible members has changed. */
function updateView(turn: Turn): void {
  const { members } = turn.board;
  const currentView = new Set(
    [...members.byId.values()]
      .filter((member) => isEligible(turn.board, member, turn.nowMs))
      .map((member) => `${member.instanceId}/${member.incarnation}`),
  );
  const previousView = members.view ?? new Set<string>();
  const joined = [...currentView].filter((memberKey) =>
    !previousView.has(memberKey)
  );
  const left = [...previousView].filter((memberKey) =>
    !currentView.has(memberKey)
  );
  if (joined.length + left.length === 0) {
    return;
  }
  members.view = currentView;
  members.viewNumber += 1;
  logViewChange(turn, { joined, left });
}

function logViewChange(
  turn: Turn,
  change: { joined: readonly string[]; left: readonly string[] },
): void {
  const formatIds = (ids: readonly string[]) =>
    ids.toSorted().join(", ") || "none";
  turn.log(
    LogLevel.Info,
    LogPart.Members,
    `View ${turn.board.members.viewNumber}: joined ${
      formatIds(change.joined)
    }; left ${formatIds(change.left)}.`,
  );
}
