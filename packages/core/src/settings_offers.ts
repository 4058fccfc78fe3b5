/** Passes settings from instance to instance, a bounded number at a time. */

import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import type { Blackboard } from "./blackboard.ts";
import type { Turn } from "./controller.ts";

/** Peers that are offered a new version at once; gossip reaches the others. */
export const OFFER_FANOUT = 3;

/** One peer is offered the same version at most this often. */
export const MIN_OFFER_INTERVAL_MS = 3000;

/** Peers are asked for a higher version at most this often. */
const MIN_WANTED_INTERVAL_MS = 1000;

/**
 * Offers the version in force to a few connected peers that have an older one.
 *
 * @param turn The present turn.
 */
export function offerToOutdatedPeers(turn: Turn): void {
  const { board } = turn;
  const version = board.settings.inForce?.version ?? 0;
  const outdated = [...board.members.byId.values()].filter((member) =>
    member.instanceId !== board.self.instanceId && member.connected &&
    member.settingsVersion < version
  );
  for (const member of outdated.slice(0, OFFER_FANOUT)) {
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
  const offers = lastOffersOf(turn.board);
  const lastOffer = offers.get(peerId);
  const { version } = inForce;
  if (
    lastOffer?.version === version &&
    turn.nowMs - lastOffer.atMs < MIN_OFFER_INTERVAL_MS
  ) {
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
export function requestSettings(turn: Turn, peerId: string): void {
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
export function requestNewerSettings(turn: Turn, peerId: string): void {
  const { settings } = turn.board;
  if (turn.nowMs >= (settings.nextWantedAtMs ?? -Infinity)) {
    settings.nextWantedAtMs = turn.nowMs + MIN_WANTED_INTERVAL_MS;
    requestSettings(turn, peerId);
  }
}

/**
 * Notes that a peer has a version, since it offered it.
 *
 * @param turn The present turn.
 * @param peer The peer and the version.
 */
export function recordPeerVersion(
  turn: Turn,
  peer: { peerId: string; version: number },
): void {
  const { peerId, version } = peer;
  lastOffersOf(turn.board).set(peerId, { version, atMs: turn.nowMs });
}

/**
 * Drops what was noted of a peer, whose connection or process is another now.
 *
 * @param board The instance's state.
 * @param peerId The peer.
 */
export function clearOffer(board: Blackboard, peerId: string): void {
  lastOffersOf(board).delete(peerId);
}

function lastOffersOf(
  board: Blackboard,
): Map<string, { version: number; atMs: number }> {
  board.settings.offers ??= new Map();
  return board.settings.offers;
}
