/** Passes settings from instance to instance, a bounded number at a time. */

import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import type { Blackboard } from "./blackboard.ts";
import type { Turn } from "./controller.ts";

/** Peers that are offered a new version at once; gossip reaches the others. */
export const OFFERS_AT_ONCE = 3;

/** One peer is offered the same version at most this often. */
export const OFFER_REPEAT_MS = 3000;

/** Peers are asked for a higher version at most this often. */
const WANTED_REPEAT_MS = 1000;

/**
 * Offers the version in force to a few connected peers that have an older one.
 *
 * @param turn The present turn.
 */
export function offerToOlderPeers(turn: Turn): void {
  const { board } = turn;
  const version = board.settings.inForce?.version ?? 0;
  const older = [...board.members.byId.values()].filter((member) =>
    member.instanceId !== board.self.instanceId && member.connected &&
    member.settingsVersion < version
  );
  for (const member of older.slice(0, OFFERS_AT_ONCE)) {
    offerSettings(turn, member.instanceId);
  }
}

/**
 * Offers one peer the version in force, unless it was just offered.
 *
 * @param turn The present turn.
 * @param peerId The peer.
 */
export function offerSettings(turn: Turn, peerId: string): void {
  const { inForce, content, changeId } = turn.board.settings;
  if (inForce === undefined) {
    return;
  }
  const offers = offersOf(turn.board);
  const last = offers.get(peerId);
  const { version } = inForce;
  if (last?.version === version && turn.nowMs - last.atMs < OFFER_REPEAT_MS) {
    return;
  }
  offers.set(peerId, { version, atMs: turn.nowMs });
  turn.send(peerId, {
    kind: PeerMessageKind.SettingsOffer,
    version,
    content,
    changeId,
  });
}

/**
 * Asks one peer for a version above the one in force.
 *
 * @param turn The present turn.
 * @param peerId The peer.
 */
export function askForSettings(turn: Turn, peerId: string): void {
  turn.send(peerId, {
    kind: PeerMessageKind.SettingsWanted,
    haveVersion: turn.board.settings.inForce?.version ?? 0,
  });
}

/**
 * Asks a peer that has a higher version, unless one was just asked.
 *
 * @param turn The present turn.
 * @param peerId The peer.
 */
export function askNewerPeer(turn: Turn, peerId: string): void {
  const { settings } = turn.board;
  if (turn.nowMs >= (settings.nextPeerRequestAtMs ?? -Infinity)) {
    settings.nextPeerRequestAtMs = turn.nowMs + WANTED_REPEAT_MS;
    askForSettings(turn, peerId);
  }
}

/**
 * Notes that a peer has a version, since it offered it.
 *
 * @param turn The present turn.
 * @param peer The peer and the version.
 */
export function noteOfferFrom(
  turn: Turn,
  peer: { peerId: string; version: number },
): void {
  const { peerId, version } = peer;
  offersOf(turn.board).set(peerId, { version, atMs: turn.nowMs });
}

/**
 * Drops what was noted of a peer, whose connection or process is another now.
 *
 * @param board The instance's state.
 * @param peerId The peer.
 */
export function forgetOffer(board: Blackboard, peerId: string): void {
  offersOf(board).delete(peerId);
}

function offersOf(
  board: Blackboard,
): Map<string, { version: number; atMs: number }> {
  board.settings.lastOfferByPeer ??= new Map();
  return board.settings.lastOfferByPeer;
}
