/** Heartbeats: what is told to whom, and what is learned from them. */

import {
  type MemberState,
  PeerMessageKind,
} from "@chestnuthatch/wire/peer_messages";
import type { Blackboard, Member } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { isAlive } from "./coordinators.ts";
import { LogLevel, LogPart } from "./effects.ts";
import { ensureMember } from "./member_table.ts";
import type { Randomness } from "./randomness.ts";

/** Peers that one heartbeat is sent to. */
export const HEARTBEAT_FANOUT = 3;

/** How many of those get a digest; the others get this instance's word alone. */
const DIGESTS_PER_BEAT = 1;

/** Most members that one heartbeat speaks of. */
export const MAX_DIGEST = 24;

/** Places in a digest for the members that advanced last. */
const RECENT_IN_DIGEST = 12;

/**
 * Raises this instance's heartbeat and tells it to a few random peers.
 *
 * @param turn The present turn.
 */
export function beat(turn: Turn): void {
  raiseHeartbeat(turn);
  nextPeers(turn).forEach((peerId, position) => {
    if (position < DIGESTS_PER_BEAT) {
      sendHeartbeat(turn, peerId);
    } else {
      sendOwnWord(turn, peerId);
    }
  });
}

/** Goes through all connected peers in random order before any comes again. */
function nextPeers(turn: Turn): string[] {
  const { members } = turn.board;
  const connected = connectedIds(turn.board);
  const stillConnected = new Set(connected);
  const queue = (members.beatQueue ?? []).filter((id) =>
    stillConnected.has(id)
  );
  if (queue.length < HEARTBEAT_FANOUT) {
    const others = connected.filter((id) => !queue.includes(id));
    queue.push(...pickRandom(others, others.length, turn.random));
  }
  members.beatQueue = queue.slice(HEARTBEAT_FANOUT);
  return queue.slice(0, HEARTBEAT_FANOUT);
}

/**
 * Raises this instance's heartbeat and tells every connected peer its own word,
 * for news that must not wait, such as leaving.
 *
 * @param turn The present turn.
 */
export function beatToAll(turn: Turn): void {
  raiseHeartbeat(turn);
  for (const peerId of connectedIds(turn.board)) {
    sendOwnWord(turn, peerId);
  }
}

function sendOwnWord(turn: Turn, peerId: string): void {
  turn.send(peerId, {
    kind: PeerMessageKind.Heartbeat,
    members: [ownWord(turn.board)],
  });
}

/**
 * Sends one peer a heartbeat without raising it.
 *
 * @param turn The present turn.
 * @param peerId The peer.
 */
export function sendHeartbeat(turn: Turn, peerId: string): void {
  turn.send(peerId, {
    kind: PeerMessageKind.Heartbeat,
    members: makeDigest(turn),
  });
}

function raiseHeartbeat(turn: Turn): void {
  const { members } = turn.board;
  members.heartbeat += 1;
  members.lastHeartbeatAtMs = turn.nowMs;
  refreshSelf(turn);
}

/**
 * Writes this instance's own entry in the table of members.
 *
 * @param turn The present turn.
 */
export function refreshSelf(turn: Turn): void {
  const { self, members } = turn.board;
  const member = ensureMember(turn.board, {
    instanceId: self.instanceId,
    failureDomain: self.failureDomain,
    address: "",
  });
  if (member !== undefined) {
    const { leaving, settingsVersion, heartbeat, incarnation } = ownWord(
      turn.board,
    );
    Object.assign(member, { leaving, settingsVersion, heartbeat, incarnation });
    member.failureDomain = self.failureDomain;
    member.connected = true;
    member.lastAdvancedMs = members.lastHeartbeatAtMs;
  }
}

function ownWord(board: Blackboard): MemberState {
  return {
    instanceId: board.self.instanceId,
    incarnation: board.self.incarnation,
    heartbeat: board.members.heartbeat,
    leaving: board.self.leaving,
    settingsVersion: board.settings.inForce?.version ?? 0,
  };
}

/** Only live members are told of, so that rumours of the dead die out. */
function makeDigest(turn: Turn): MemberState[] {
  const { board, nowMs } = turn;
  const others = [...board.members.byId.values()]
    .filter((member) =>
      member.instanceId !== board.self.instanceId &&
      isAlive(board, member, nowMs)
    )
    .sort((a, b) =>
      b.lastAdvancedMs - a.lastAdvancedMs ||
      (a.instanceId < b.instanceId ? -1 : 1)
    );
  const recent = others.slice(0, RECENT_IN_DIGEST);
  const rest = pickRandom(
    others.slice(RECENT_IN_DIGEST),
    MAX_DIGEST - 1 - recent.length,
    turn.random,
  );
  return [ownWord(board), ...[...recent, ...rest].map(wordOf)];
}

function wordOf(member: Member): MemberState {
  return {
    instanceId: member.instanceId,
    incarnation: member.incarnation,
    heartbeat: member.heartbeat,
    leaving: member.leaving,
    settingsVersion: member.settingsVersion,
  };
}

function connectedIds(board: Blackboard): string[] {
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
  random: Randomness,
): T[] {
  const pool = [...items];
  const picked: T[] = [];
  while (picked.length < count && pool.length > 0) {
    const index = Math.floor(random.next() * pool.length);
    picked.push(pool[index]);
    pool[index] = pool[pool.length - 1];
    pool.pop();
  }
  return picked;
}

/**
 * Takes in what a heartbeat says of members.
 *
 * @param turn The present turn.
 * @param words One word for each member.
 */
export function hearMembers(turn: Turn, words: readonly MemberState[]): void {
  for (const word of words) {
    if (word.instanceId === turn.board.self.instanceId) {
      hearOfSelf(turn, word);
    } else {
      hearOfOther(turn, word);
    }
  }
}

function hearOfOther(turn: Turn, word: MemberState): void {
  const member = ensureMember(turn.board, {
    instanceId: word.instanceId,
    failureDomain: "",
    address: "",
  });
  if (member === undefined || word.incarnation < member.incarnation) {
    return;
  }
  if (word.incarnation > member.incarnation) {
    beginIncarnation(member, word.incarnation);
  }
  member.leaving ||= word.leaving;
  member.settingsVersion = Math.max(
    member.settingsVersion,
    word.settingsVersion,
  );
  if (word.heartbeat > member.heartbeat) {
    member.heartbeat = word.heartbeat;
    member.lastAdvancedMs = turn.nowMs;
  }
}

function beginIncarnation(member: Member, incarnation: number): void {
  member.incarnation = incarnation;
  member.heartbeat = 0;
  member.leaving = false;
  member.settingsVersion = 0;
}

function hearOfSelf(turn: Turn, word: MemberState): void {
  const { self, members } = turn.board;
  const isLater = word.incarnation > self.incarnation ||
    (word.incarnation === self.incarnation &&
      word.heartbeat > members.heartbeat);
  if (!isLater || members.replacementLogged) {
    return;
  }
  members.replacementLogged = true;
  turn.log(
    LogLevel.Error,
    LogPart.Members,
    `Another process runs as ${self.instanceId}, incarnation ${word.incarnation}; this one is ${self.incarnation}.`,
  );
}
