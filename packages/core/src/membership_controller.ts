/** Keeps the table of members: who may exist, who is alive, who is reachable. */

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
  beat,
  hearMembers,
  refreshSelf,
  sendHeartbeat,
} from "./heartbeat_gossip.ts";
import {
  ensureMember,
  forgetGoneMembers,
  mergeInstanceList,
} from "./member_table.ts";
import { notePause } from "./pause_watch.ts";
import { timingInForce, withJitter } from "./timing.ts";
import { keepConnections } from "./wanted_peers.ts";

/** An instance named by the start settings. */
export interface SeedPeer {
  readonly instanceId: string;
  readonly failureDomain: string;
  /** `host:port` of its peer port. */
  readonly address: string;
}

/** Writes the members section. */
export class MembershipController implements Controller {
  readonly name = "membership";
  readonly handlers: EventHandlers;
  readonly #seedPeers: readonly SeedPeer[];

  /** @param seedPeers Instances named by the start settings. */
  constructor(seedPeers: readonly SeedPeer[]) {
    this.#seedPeers = seedPeers;
    const own: Controller = { name: this.name, handlers: OWN_HANDLERS };
    this.handlers = handlersForAllEvents((event, turn) => {
      this.#begin(turn);
      notePause(turn);
      runController(own, event, turn);
    });
  }

  #begin(turn: Turn): void {
    const { members, self } = turn.board;
    if (members.byId.has(self.instanceId)) {
      return;
    }
    refreshSelf(turn);
    for (const { instanceId, failureDomain, address } of this.#seedPeers) {
      addSeed(turn.board, { instanceId, failureDomain, address });
    }
  }
}

const OWN_HANDLERS: EventHandlers = {
  [EventKind.Tick]: (_event, turn) => onTick(turn),
  [EventKind.PeerConnected]: onConnected,
  [EventKind.PeerDisconnected]: ({ peerId }, turn) =>
    onDisconnected(turn, peerId),
  [EventKind.PeerMessageReceived]: onMessage,
  [EventKind.InstanceListRead]: onList,
};

function addSeed(board: Blackboard, seed: SeedPeer): void {
  const member = ensureMember(board, seed);
  if (member !== undefined) {
    member.address = seed.address;
    member.listed = true;
  }
}

function onTick(turn: Turn): void {
  refreshSelf(turn);
  refreshView(turn);
  pollList(turn);
  const { heartbeatMs } = timingInForce(turn.board);
  if (turn.nowMs - turn.board.members.lastHeartbeatAtMs >= heartbeatMs) {
    forgetGoneMembers(turn);
    keepConnections(turn);
    beat(turn);
  }
}

function pollList(turn: Turn): void {
  const { members } = turn.board;
  if (turn.nowMs < (members.nextListPollAtMs ?? -Infinity)) {
    return;
  }
  const { listPollMs } = timingInForce(turn.board);
  members.lastListPollAtMs = turn.nowMs;
  members.nextListPollAtMs = turn.nowMs + withJitter(listPollMs, turn.random);
  turn.emit({ kind: EffectKind.PollInstanceList });
}

function onConnected(
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
    sendHeartbeat(turn, peerId);
    refreshView(turn);
  }
}

function onDisconnected(turn: Turn, peerId: string): void {
  const member = turn.board.members.byId.get(peerId);
  if (member !== undefined) {
    member.connected = false;
    refreshView(turn);
  }
}

function onMessage(
  event: EventOf<EventKind.PeerMessageReceived>,
  turn: Turn,
): void {
  if (event.message.kind === PeerMessageKind.Heartbeat) {
    hearMembers(turn, event.message.members);
    refreshView(turn);
  }
}

function onList(event: EventOf<EventKind.InstanceListRead>, turn: Turn): void {
  mergeInstanceList(turn, event.list);
  forgetGoneMembers(turn);
  keepConnections(turn);
  refreshView(turn);
}

/** Raises the view number when the set of eligible members has changed. */
function refreshView(turn: Turn): void {
  const { members } = turn.board;
  const view = new Set(
    [...members.byId.values()]
      .filter((member) => isEligible(turn.board, member, turn.nowMs))
      .map((member) => `${member.instanceId}/${member.incarnation}`),
  );
  const before = members.view ?? new Set<string>();
  const joined = [...view].filter((one) => !before.has(one));
  const left = [...before].filter((one) => !view.has(one));
  if (joined.length + left.length === 0) {
    return;
  }
  members.view = view;
  members.viewNumber += 1;
  logView(turn, { joined, left });
}

function logView(
  turn: Turn,
  change: { joined: readonly string[]; left: readonly string[] },
): void {
  const list = (ids: readonly string[]) => ids.toSorted().join(", ") || "none";
  turn.log(
    LogLevel.Info,
    LogPart.Members,
    `View ${turn.board.members.viewNumber}: joined ${
      list(change.joined)
    }; left ${list(change.left)}.`,
  );
}
