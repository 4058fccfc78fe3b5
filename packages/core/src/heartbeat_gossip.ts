/** Heartbeat gossip: builds, sends and merges digests of member entries. */

import {
  type MemberState,
  PeerMessageKind,
} from "@chestnuthatch/wire/peer_messages";
import type { Blackboard, Member } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { isAlive } from "./coordinators.ts";
import { LogLevel, LogPart } from "./effects.ts";
import { ensureMember } from "./member_table.ts";
import type { RandomSource } from "./random_source.ts";

/** Number of peers that each heartbeat is sent to. */
export const HEARTBEAT_FANOUT = 3;

/**
 * Number of those peers that get a digest; the others get only this instance's
 * own entry.
 */
const DIGESTS_PER_HEARTBEAT = 1;

/** Upper bound on entries in a digest, this instance's own included. */
export const MAX_DIGEST_MEMBERS = 24;

/** Digest entries reserved for the members whose heartbeat advanced last. */
const RECENT_DIGEST_MEMBERS = 12;

/**
 * Increments this instance's heartbeat and sends it to
 * {@link HEARTBEAT_FANOUT} random peers, one of which gets it in a digest of
 * the members.
 *
 * @param turn The current turn.
 */
export function gossipHeartbeat(turn: Turn): void {
  incrementHeartbeat(turn);
  takeNextPeerIds(turn).forEach((peerId, position) => {
    if (position < DIGESTS_PER_HEARTBEAT) {
      sendDigest(turn, peerId);
    } else {
      sendOwnEntry(turn, peerId);
    }
  });
}

/** Cycles through all connected peers in random order before any repeats. */
function takeNextPeerIds(turn: Turn): string[] {
  const { members } = turn.board;
  const connected = connectedPeerIds(turn.board);
  const connectedSet = new Set(connected);
  const queue = (members.heartbeatQueue ?? []).filter((id) =>
    connectedSet.has(id)
  );
  if (queue.length < HEARTBEAT_FANOUT) {
    const others = connected.filter((id) => !queue.includes(id));
    queue.push(...pickRandom(others, others.length, turn.random));
  }
  members.heartbeatQueue = queue.slice(HEARTBEAT_FANOUT);
  return queue.slice(0, HEARTBEAT_FANOUT);
}

/**
 * Increments this instance's heartbeat and sends its own entry to every
 * connected peer, for changes that must not wait for gossip, such as leaving.
 *
 * @param turn The current turn.
 */
export function broadcastHeartbeat(turn: Turn): void {
  incrementHeartbeat(turn);
  for (const peerId of connectedPeerIds(turn.board)) {
    sendOwnEntry(turn, peerId);
  }
}

function sendOwnEntry(turn: Turn, peerId: string): void {
  turn.send(peerId, {
    kind: PeerMessageKind.Heartbeat,
    members: [createOwnEntry(turn.board)],
  });
}

/**
 * Sends one peer a digest without incrementing this instance's heartbeat.
 *
 * @param turn The current turn.
 * @param peerId The peer.
 */
export function sendDigest(turn: Turn, peerId: string): void {
  turn.send(peerId, {
    kind: PeerMessageKind.Heartbeat,
    members: buildDigest(turn),
  });
}

function incrementHeartbeat(turn: Turn): void {
  const { members } = turn.board;
  members.heartbeat += 1;
  members.lastHeartbeatAtMs = turn.nowMs;
  updateOwnMember(turn);
}

/**
 * Updates this instance's own row in the member table.
 *
 * @param turn The current turn.
 */
export function updateOwnMember(turn: Turn): void {
  const { self, members } = turn.board;
  const member = ensureMember(turn.board, {
    instanceId: self.instanceId,
    failureDomain: self.failureDomain,
    address: "",
  });
  if (member !== undefined) {
    const { leaving, settingsVersion, heartbeat, incarnation } = createOwnEntry(
      turn.board,
    );
    Object.assign(member, { leaving, settingsVersion, heartbeat, incarnation });
    member.failureDomain = self.failureDomain;
    member.connected = true;
    member.heartbeatAdvancedAtMs = members.lastHeartbeatAtMs;
  }
}

function createOwnEntry(board: Blackboard): MemberState {
  return {
    instanceId: board.self.instanceId,
    incarnation: board.self.incarnation,
    heartbeat: board.members.heartbeat,
    leaving: board.self.leaving,
    settingsVersion: board.settings.inForce?.version ?? 0,
  };
}

/** Includes live members only, so that entries of failed ones expire. */
function buildDigest(turn: Turn): MemberState[] {
  const { board, nowMs } = turn;
  const others = [...board.members.byId.values()]
    .filter((member) =>
      member.instanceId !== board.self.instanceId &&
      isAlive(board, member, nowMs)
    )
    .sort((a, b) =>
      b.heartbeatAdvancedAtMs - a.heartbeatAdvancedAtMs ||
      (a.instanceId < b.instanceId ? -1 : 1)
    );
  const recent = others.slice(0, RECENT_DIGEST_MEMBERS);
  const rest = pickRandom(
    others.slice(RECENT_DIGEST_MEMBERS),
    MAX_DIGEST_MEMBERS - 1 - recent.length,
    turn.random,
  );
  return [createOwnEntry(board), ...[...recent, ...rest].map(toEntry)];
}

function toEntry(member: Member): MemberState {
  return {
    instanceId: member.instanceId,
    incarnation: member.incarnation,
    heartbeat: member.heartbeat,
    leaving: member.leaving,
    settingsVersion: member.settingsVersion,
  };
}

function connectedPeerIds(board: Blackboard): string[] {
  return [...board.members.byId.values()]
    .filter((member) =>
      member.connected && member.instanceId !== board.self.instanceId
    )
    .map((member) => member.instanceId);
}

/** Picks without repeats, in random order (a partial Fisher-Yates shuffle). */
function pickRandom<T>(
  items: readonly T[],
  count: number,
  random: RandomSource,
): T[] {
  const remaining = [...items];
  const picked: T[] = [];
  while (picked.length < count && remaining.length > 0) {
    const index = Math.floor(random.next() * remaining.length);
    picked.push(remaining[index]);
    remaining[index] = remaining[remaining.length - 1];
    remaining.pop();
  }
  return picked;
}

/**
 * Merges a received heartbeat into the member table. The higher incarnation
 * wins; within one, the highest heartbeat, the highest settings version and any
 * leaving flag win, so the order in which heartbeats arrive does not matter.
 *
 * @param turn The current turn.
 * @param entries One entry for each member of the heartbeat.
 */
export function mergeHeartbeat(
  turn: Turn,
  entries: readonly MemberState[],
): void {
  for (const entry of entries) {
    if (entry.instanceId === turn.board.self.instanceId) {
      detectReplacement(turn, entry);
    } else {
      mergePeerEntry(turn, entry);
    }
  }
}

function mergePeerEntry(turn: Turn, entry: MemberState): void {
  const member = ensureMember(turn.board, {
    instanceId: entry.instanceId,
    failureDomain: "",
    address: "",
  });
  if (member === undefined || entry.incarnation < member.incarnation) {
    return;
  }
  if (entry.incarnation > member.incarnation) {
    startIncarnation(member, entry.incarnation);
  }
  member.leaving ||= entry.leaving;
  member.settingsVersion = Math.max(
    member.settingsVersion,
    entry.settingsVersion,
  );
  if (entry.heartbeat > member.heartbeat) {
    member.heartbeat = entry.heartbeat;
    member.heartbeatAdvancedAtMs = turn.nowMs;
  }
}

function startIncarnation(member: Member, incarnation: number): void {
  member.incarnation = incarnation;
  member.heartbeat = 0;
  member.leaving = false;
  member.settingsVersion = 0;
}

function detectReplacement(turn: Turn, entry: MemberState): void {
  const { self, members } = turn.board;
  const isNewer = entry.incarnation > self.incarnation ||
    (entry.incarnation === self.incarnation &&
      entry.heartbeat > members.heartbeat);
  if (!isNewer || members.replacementLogged) {
    return;
  }
  members.replacementLogged = true;
  turn.log(
    LogLevel.Error,
    LogPart.Members,
    `Another process runs as ${self.instanceId}, incarnation ${entry.incarnation}; this one is ${self.incarnation}.`,
  );
}
