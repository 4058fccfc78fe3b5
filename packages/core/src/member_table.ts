/** Adds to and takes from the table of members. */

import { ListedKind } from "@chestnuthatch/wire/platform_protocol";
import type { InstanceList } from "@chestnuthatch/wire/platform_protocol";
import type { Blackboard, Member } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { EffectKind, LogLevel, LogPart } from "./effects.ts";
import { timingInForce } from "./timing.ts";

/** Most members kept, whatever rumours say. */
const MAX_MEMBERS = 4096;

/** Member timeouts of silence after which an unlisted member is forgotten. */
const FORGET_AFTER_TIMEOUTS = 12;

/** What is known of a member before it was heard. */
export interface MemberPlace {
  readonly instanceId: string;
  /** Empty while unknown. */
  readonly failureDomain: string;
  /** `host:port` of its peer port, empty while unknown. */
  readonly address: string;
}

/**
 * Finds a member, or adds it.
 *
 * @param board The instance's state.
 * @param place What is known of it, used only when it is new.
 * @returns The member, or nothing when the table is full.
 */
export function ensureMember(
  board: Blackboard,
  place: MemberPlace,
): Member | undefined {
  const { byId } = board.members;
  const known = byId.get(place.instanceId);
  if (known !== undefined || byId.size >= MAX_MEMBERS) {
    return known;
  }
  const member = newMember(place);
  byId.set(place.instanceId, member);
  return member;
}

function newMember(place: MemberPlace): Member {
  return {
    ...place,
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
 * Takes in the platform's list. A list that speaks of an earlier time than the
 * known one may add members but changes and removes none.
 *
 * @param turn The turn the list was read in.
 * @param list The list.
 */
export function mergeInstanceList(turn: Turn, list: InstanceList): void {
  const { members } = turn.board;
  const asOfMs = turn.nowMs - list.lagMs;
  const entries = list.instances.filter((one) =>
    one.kind === ListedKind.Entry && one.id !== turn.board.self.instanceId
  );
  const isOlder = asOfMs < (members.listAsOfMs ?? -Infinity);
  for (const entry of entries) {
    if (!isOlder || !members.byId.has(entry.id)) {
      takeListed(turn.board, entry);
    }
  }
  if (isOlder) {
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
  takeOwnListing(turn.board, list);
}

function takeListed(
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

function takeOwnListing(board: Blackboard, list: InstanceList): void {
  const own = list.instances.find((one) => one.id === board.self.instanceId);
  const self = board.members.byId.get(board.self.instanceId);
  if (self !== undefined) {
    self.listed = own !== undefined;
    self.listedLeaving = own?.leaving === true;
  }
}

/**
 * Drops members that are neither listed nor connected and long silent.
 *
 * @param turn The present turn.
 */
export function forgetGoneMembers(turn: Turn): void {
  const { board, nowMs } = turn;
  const forgetAfterMs = FORGET_AFTER_TIMEOUTS *
    timingInForce(board).memberTimeoutMs;
  for (const member of [...board.members.byId.values()]) {
    const isSelf = member.instanceId === board.self.instanceId;
    const isSilent = nowMs - member.heartbeatAdvancedAtMs > forgetAfterMs;
    if (!isSelf && !member.listed && !member.connected && isSilent) {
      forget(turn, member);
    }
  }
}

function forget(turn: Turn, member: Member): void {
  turn.board.members.byId.delete(member.instanceId);
  if (member.dialledAddress !== undefined) {
    turn.emit({ kind: EffectKind.ForgetPeer, peerId: member.instanceId });
  }
  turn.log(
    LogLevel.Info,
    LogPart.Members,
    `Forgot ${member.instanceId}, which is gone and not listed.`,
  );
}
