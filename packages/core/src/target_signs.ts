/**
 * Target signs: numbered notices that a target is leaving or no longer leaving.
 * They come from its own report, the platform's list or a peer, and are sent to
 * connected peers at once.
 */

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
 * Minimum time that a target stays marked as leaving while its own reports say
 * otherwise: a sign from elsewhere may be ahead of the target.
 */
const MIN_LEAVING_HOLD_MS = 5000;

/** Peers that a received sign is forwarded to, to get around cut links. */
const FORWARD_FANOUT = 3;

/**
 * Applies the leaving flag of the target's own load report. A report that says
 * "not leaving" clears the flag if the previous report said "leaving" or the
 * flag has stood for {@link MIN_LEAVING_HOLD_MS}, but never while the newest
 * instance list says "leaving".
 *
 * @param turn The current turn.
 * @param target The target.
 * @param report The previous load report, the new one, and the local time that
 * the new one describes.
 */
export function applyReportedLeaving(
  turn: Turn,
  target: Target,
  report: { previous?: TargetLoad; load: TargetLoad; asOfMs: number },
): void {
  if (report.load.leaving) {
    changeLeaving(turn, target, true);
    return;
  }
  const isRevoked = report.previous?.leaving === true ||
    report.asOfMs > (target.leavingSinceMs ?? 0) + MIN_LEAVING_HOLD_MS;
  if (target.leaving && isRevoked && target.listedLeaving !== true) {
    changeLeaving(turn, target, false);
  }
}

/**
 * Applies the leaving flag of the platform's instance list.
 *
 * @param turn The current turn.
 * @param target The target.
 * @param leaving Whether the list marks the target as leaving.
 */
export function applyListedLeaving(
  turn: Turn,
  target: Target,
  leaving: boolean,
): void {
  const wasListedLeaving = target.listedLeaving ?? false;
  target.listedLeaving = leaving;
  if (leaving) {
    changeLeaving(turn, target, true);
  } else if (wasListedLeaving && target.load?.leaving !== true) {
    changeLeaving(turn, target, false);
  }
}

/**
 * Applies a sign from a peer. The higher sign number wins; between equal
 * numbers, "leaving" wins.
 *
 * @param turn The current turn.
 * @param target The target.
 * @param sign The sign.
 * @returns Whether the sign was new to this instance.
 */
export function applySign(
  turn: Turn,
  target: Target,
  sign: TargetSign,
): boolean {
  const isNew = sign.signNumber > target.signNumber ||
    (sign.signNumber === target.signNumber && sign.leaving && !target.leaving);
  if (isNew) {
    target.signNumber = sign.signNumber;
    recordLeaving(turn, target, sign.leaving);
  }
  return isNew;
}

/**
 * Forwards received signs to {@link FORWARD_FANOUT} peers, for instances that
 * the sender cannot reach.
 *
 * @param turn The current turn.
 * @param signs Signs that were new to this instance.
 * @param fromId The peer that sent them, which gets none of them back.
 */
export function forwardSigns(
  turn: Turn,
  signs: readonly TargetSign[],
  fromId: string,
): void {
  const { self } = turn.board;
  const forwardScore = ({ instanceId }: Member) =>
    hash32(`${self.instanceId}/${signs[0]?.signNumber}/${instanceId}`);
  const chosen = connectedMembers(turn)
    .filter((member) => member.instanceId !== fromId)
    .sort((a, b) => forwardScore(a) - forwardScore(b))
    .slice(0, FORWARD_FANOUT);
  for (const member of chosen) {
    sendSigns(turn, member.instanceId, signs);
  }
}

/**
 * Sends a peer the signs of all targets whose leaving flag has ever changed.
 *
 * @param turn The current turn.
 * @param peerId The peer.
 */
export function sendAllSigns(turn: Turn, peerId: string): void {
  const signs = [...turn.board.targets.byId.values()]
    .filter((target) => target.signNumber > 0)
    .map(toSign);
  sendSigns(turn, peerId, signs);
}

function changeLeaving(turn: Turn, target: Target, leaving: boolean): void {
  if (target.leaving === leaving) {
    return;
  }
  target.signNumber += 1;
  recordLeaving(turn, target, leaving);
  for (const member of connectedMembers(turn)) {
    sendSigns(turn, member.instanceId, [toSign(target)]);
  }
}

function recordLeaving(turn: Turn, target: Target, leaving: boolean): void {
  if (target.leaving !== leaving) {
    const change = leaving ? "is leaving" : "is no longer leaving";
    turn.log(LogLevel.Info, LogPart.Targets, `${target.targetId} ${change}.`);
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

function toSign({ targetId, leaving, signNumber }: Target): TargetSign {
  return { targetId, leaving, signNumber };
}

function connectedMembers(turn: Turn): Member[] {
  const { members, self } = turn.board;
  return [...members.byId.values()].filter((member) =>
    member.instanceId !== self.instanceId && member.connected &&
    isAlive(turn.board, member, turn.nowMs)
  );
}
