/** Signs that a target is leaving: taken from anywhere, passed on at once. */

import {
  PeerMessageKind,
  type TargetSign,
} from "@chestnuthatch/wire/peer_messages";
import type { TargetLoad } from "@chestnuthatch/wire/shared_types";
import type { Member, Target } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { isAlive } from "./coordinators.ts";
import { hash32 } from "./text_hash.ts";
import { LogLevel, LogPart } from "./effects.ts";

/**
 * How long a target's own "not leaving" must have stood against a sign from
 * elsewhere: the sign may be ahead of the target.
 */
const SETTLE_MS = 5000;

/** Peers that a heard sign is passed on to, where links are cut. */
const FORWARD_FANOUT = 3;

/**
 * Takes a leaving flag from the target's own report. What the newest list
 * says goes before a report that says the contrary.
 *
 * @param turn The turn.
 * @param target The target.
 * @param by Its load report before this one, this one, and what it speaks of.
 */
export function heedReport(
  turn: Turn,
  target: Target,
  by: { before?: TargetLoad; load: TargetLoad; asOfMs: number },
): void {
  if (by.load.leaving) {
    setLeaving(turn, target, true);
    return;
  }
  const takesBack = by.before?.leaving === true ||
    by.asOfMs > (target.leavingSinceMs ?? 0) + SETTLE_MS;
  if (target.leaving && takesBack && target.listedLeaving !== true) {
    setLeaving(turn, target, false);
  }
}

/**
 * Takes a leaving flag from the platform's list.
 *
 * @param turn The turn.
 * @param target The target.
 * @param leaving What the list says.
 */
export function heedList(turn: Turn, target: Target, leaving: boolean): void {
  const before = target.listedLeaving ?? false;
  target.listedLeaving = leaving;
  if (leaving) {
    setLeaving(turn, target, true);
  } else if (before && target.load?.leaving !== true) {
    setLeaving(turn, target, false);
  }
}

/**
 * Takes a sign from a peer. The higher number counts; of equal numbers the
 * one that says "leaving".
 *
 * @param turn The turn.
 * @param target The target.
 * @param sign The sign.
 * @returns Whether it was news.
 */
export function heedSign(
  turn: Turn,
  target: Target,
  sign: TargetSign,
): boolean {
  const isNews = sign.signNumber > target.signNumber ||
    (sign.signNumber === target.signNumber && sign.leaving && !target.leaving);
  if (isNews) {
    target.signNumber = sign.signNumber;
    noteLeaving(turn, target, sign.leaving);
  }
  return isNews;
}

/**
 * Passes heard signs on to a few peers, for those the sender cannot reach.
 *
 * @param turn The turn.
 * @param signs Signs that were news here.
 * @param fromId Who sent them.
 */
export function forwardSigns(
  turn: Turn,
  signs: readonly TargetSign[],
  fromId: string,
): void {
  const { self } = turn.board;
  const nearness = ({ instanceId }: Member) =>
    hash32(`${self.instanceId}/${signs[0]?.signNumber}/${instanceId}`);
  const chosen = connectedMembers(turn)
    .filter((member) => member.instanceId !== fromId)
    .sort((a, b) => nearness(a) - nearness(b))
    .slice(0, FORWARD_FANOUT);
  for (const member of chosen) {
    sendSigns(turn, member.instanceId, signs);
  }
}

/**
 * Tells a peer of every target that has ever changed.
 *
 * @param turn The turn.
 * @param peerId The peer.
 */
export function tellSigns(turn: Turn, peerId: string): void {
  const signs = [...turn.board.targets.byId.values()]
    .filter((target) => target.signNumber > 0)
    .map(signOf);
  sendSigns(turn, peerId, signs);
}

function setLeaving(turn: Turn, target: Target, leaving: boolean): void {
  if (target.leaving === leaving) {
    return;
  }
  target.signNumber += 1;
  noteLeaving(turn, target, leaving);
  for (const member of connectedMembers(turn)) {
    sendSigns(turn, member.instanceId, [signOf(target)]);
  }
}

function noteLeaving(turn: Turn, target: Target, leaving: boolean): void {
  if (target.leaving !== leaving) {
    const text = leaving ? "is leaving" : "stays after all";
    turn.log(LogLevel.Info, LogPart.Targets, `${target.targetId} ${text}.`);
  }
  target.leaving = leaving;
  target.leavingSinceMs = leaving ? turn.nowMs : undefined;
}

function sendSigns(
  turn: Turn,
  peerId: string,
  signs: readonly TargetSign[],
): void {
  if (signs.length > 0) {
    turn.send(peerId, {
      kind: PeerMessageKind.TargetsHeard,
      signs: [...signs],
      loads: [],
    });
  }
}

function signOf({ targetId, leaving, signNumber }: Target): TargetSign {
  return { targetId, leaving, signNumber };
}

function connectedMembers(turn: Turn): Member[] {
  const { members, self } = turn.board;
  return [...members.byId.values()].filter((member) =>
    member.instanceId !== self.instanceId && member.connected &&
    isAlive(turn.board, member, turn.nowMs)
  );
}
