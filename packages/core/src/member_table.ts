/** The member table: adds, updates and removes members. */

import { ListedKind } from "@chestnuthatch/wire/platform_protocol";
import type { InstanceList } from "@chestnuthatch/wire/platform_protocol";
import type { Blackboard, Member } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { EffectKind, LogLevel, LogPart } from "./effects.ts";
import { timingInForce } from "./timing.ts";

/** Upper bound on members kept, however many ids gossip reports. */
const MAX_MEMBERS = 4096;

/** Silence, in member timeouts, after which an unlisted member is removed. */
const REMOVE_AFTER_TIMEOUTS = 12;

/** Id and location with which a member is added to the member table. */
export interface MemberLocation {
  readonly instanceId: string;
  /** Empty while unknown. */
  readonly failureDomain: string;
  /** `host:port` of its peer port, empty while unknown. */
  readonly address: string;
}

/**
 * Returns a member, adding it if the table has none with that id.
 *
 * @param board The instance's state.
 * @param location Its id, failure domain and address; the latter two are used
 * only for a new member.
 * @returns The member, or undefined when it is new and the table is full.
 */
export function ensureMember(
  board: Blackboard,
  location: MemberLocation,
): Member | undefined {
  const { byId } = board.members;
  const existing = byId.get(location.instanceId);
  if (existing !== undefined || byId.size >= MAX_MEMBERS) {
    return existing;
  }
  const member = createMember(location);
  byId.set(location.instanceId, member);
  return member;
}

function createMember(location: MemberLocation): Member {
  return {
    ...location,
    incarnation: 0,
    heartbeat: 0,
    leaving: false,
    settingsVersion: 0,
    heartbeatAdvancedAtMs: -Infinity,
    listed: false,
    connected: false,
  };
}

/**
 * Merges the platform's instance list into the member table. A list whose
 * snapshot is older than the last one applied may add members but neither
 * changes nor unlists any.
 *
 * @param turn The turn in which the list was read.
 * @param list The list, with the age of its snapshot.
 */
export function mergeInstanceList(turn: Turn, list: InstanceList): void {
  const { members } = turn.board;
  const asOfMs = turn.nowMs - list.lagMs;
  const entries = list.instances.filter((instance) =>
    instance.kind === ListedKind.Entry &&
    instance.id !== turn.board.self.instanceId
  );
  const isStale = asOfMs < (members.listAsOfMs ?? -Infinity);
  for (const entry of entries) {
    if (!isStale || !members.byId.has(entry.id)) {
      applyListEntry(turn.board, entry);
    }
  }
  if (isStale) {
    return;
  }
  members.listAsOfMs = asOfMs;
  const listedIds = new Set(entries.map((entry) => entry.id));
  for (const member of members.byId.values()) {
    if (!listedIds.has(member.instanceId)) {
      member.listed = false;
      member.listedLeaving = false;
    }
  }
  applyOwnListEntry(turn.board, list);
}

function applyListEntry(
  board: Blackboard,
  entry: InstanceList["instances"][number],
): void {
  const member = ensureMember(board, {
    instanceId: entry.id,
    failureDomain: entry.failureDomain,
    address: entry.address,
  });
  if (member !== undefined) {
    member.failureDomain = entry.failureDomain;
    member.address = entry.address;
    member.listed = true;
    member.listedLeaving = entry.leaving;
  }
}

function applyOwnListEntry(board: Blackboard, list: InstanceList): void {
  const ownEntry = list.instances.find((instance) =>
    instance.id === board.self.instanceId
  );
  const self = board.members.byId.get(board.self.instanceId);
  if (self !== undefined) {
    self.listed = ownEntry !== undefined;
    self.listedLeaving = ownEntry?.leaving === true;
  }
}

/**
 * Removes members that are neither listed nor connected and whose heartbeat
 * has not advanced for {@link REMOVE_AFTER_TIMEOUTS} member timeouts.
 *
 * @param turn The current turn.
 */
export function removeStaleMembers(turn: Turn): void {
  const { board, nowMs } = turn;
  const removeAfterMs = REMOVE_AFTER_TIMEOUTS *
    timingInForce(board).memberTimeoutMs;
  for (const member of [...board.members.byId.values()]) {
    const isSelf = member.instanceId === board.self.instanceId;
    const isSilent = nowMs - member.heartbeatAdvancedAtMs > removeAfterMs;
    if (!isSelf && !member.listed && !member.connected && isSilent) {
      removeMember(turn, member);
    }
  }
}

function removeMember(turn: Turn, member: Member): void {
  turn.board.members.byId.delete(member.instanceId);
  if (member.dialledAddress !== undefined) {
    turn.emit({ kind: EffectKind.DisconnectPeer, peerId: member.instanceId });
  }
  turn.log(
    LogLevel.Info,
    LogPart.Members,
    `Removed ${member.instanceId}, which is silent and not listed.`,
  );
}
