/** Propagates settings between instances, to a bounded number at a time. */

import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import type { Blackboard } from "./blackboard.ts";
import type { Turn } from "./controller.ts";

/** Peers offered a new version immediately; gossip reaches the others. */
export const OFFER_FANOUT = 3;

/** Minimum interval between offers of the same version to one peer. */
export const MIN_OFFER_INTERVAL_MS = 3000;

/** Minimum interval between requests to peers for a higher version. */
const MIN_WANTED_INTERVAL_MS = 1000;

/**
 * Offers the version in force to at most {@link OFFER_FANOUT} connected peers
 * that have an older one.
 *
 * @param turn The current turn.
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
 * Offers the version in force to one peer, unless that version was offered
 * to or by it within the last {@link MIN_OFFER_INTERVAL_MS}.
 *
 * @param turn The current turn.
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
 * Requests from one peer a version above the one in force.
 *
 * @param turn The current turn.
 * @param peerId The peer.
 */
export function requestSettings(turn: Turn, peerId: string): void {
  turn.send(peerId, {
    kind: PeerMessageKind.SettingsWanted,
    haveVersion: turn.board.settings.inForce?.version ?? 0,
  });
}

/**
 * Requests the settings of a peer that has a higher version, at most once
 * in {@link MIN_WANTED_INTERVAL_MS} over all peers.
 *
 * @param turn The current turn.
 * @param peerId The peer.
 */
export function requestNewerSettings(turn: Turn, peerId: string): void {
  const { settings } = turn.board;
  if (turn.nowMs >= (settings.nextPeerRequestAtMs ?? -Infinity)) {
    settings.nextPeerRequestAtMs = turn.nowMs + MIN_WANTED_INTERVAL_MS;
    requestSettings(turn, peerId);
  }
}

/**
 * Records that a peer has a version because it offered it, so that the same
 * version is not offered back at once.
 *
 * @param turn The current turn.
 * @param peer The peer's id and the version that it offered.
 */
export function recordPeerVersion(
  turn: Turn,
  peer: { peerId: string; version: number },
): void {
  const { peerId, version } = peer;
  lastOffersOf(turn.board).set(peerId, { version, atMs: turn.nowMs });
}

/**
 * Clears the last offer recorded for a peer that connected or disconnected: it
 * may be another process now, without that version.
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
  board.settings.lastOfferByPeer ??= new Map();
  return board.settings.lastOfferByPeer;
}
