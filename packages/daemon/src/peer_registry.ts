/** The open connections of each peer, and the choice of the one to send on. */

import { CloseReason } from "./close_reason.ts";
import type { PeerConnection } from "./peer_connection.ts";
import { SeenIncarnations } from "./seen_incarnations.ts";

/**
 * Holds the open connections (links) of each peer.
 *
 * If both sides dialled each other, the connection dialled by the instance with
 * the smaller id is kept. The dialler is the last to complete a handshake, so
 * that instance alone closes the other connection: by then both sides send on
 * the one that is kept.
 */
export class PeerRegistry {
  readonly #ownId: string;
  readonly #links = new Map<string, PeerConnection[]>();
  readonly #incarnations = new SeenIncarnations();

  /** @param ownId Instance id of this instance. */
  constructor(ownId: string) {
    this.#ownId = ownId;
  }

  /**
   * Decides whether an authenticated peer is refused.
   *
   * @param connection Connection whose handshake proof was valid.
   * @returns Why the peer is refused, or null if it is accepted.
   */
  refusalReason(connection: PeerConnection): CloseReason | null {
    const { peer, expectedPeerId } = connection;
    if (!peer) return CloseReason.HandshakeAborted;
    if (peer.instanceId === this.#ownId) return CloseReason.OwnId;
    if (expectedPeerId !== undefined && expectedPeerId !== peer.instanceId) {
      return CloseReason.UnexpectedPeer;
    }
    return this.#incarnations.isOutdated(peer.instanceId, peer.incarnation)
      ? CloseReason.OlderIncarnation
      : null;
  }

  /**
   * Adds a connection that has opened and closes those of older incarnations.
   * Call `drainRedundant` afterwards.
   *
   * @param connection Connection that opened.
   * @returns Whether it is the only link to the peer.
   */
  add(connection: PeerConnection): boolean {
    const { peer } = connection;
    if (!peer) return false;
    this.#closeOlderIncarnations(peer.instanceId, peer.incarnation);
    this.#incarnations.record(peer.instanceId, peer.incarnation);
    const links = this.linksOf(peer.instanceId);
    this.#links.set(peer.instanceId, [...links, connection]);
    return links.length === 0;
  }

  /**
   * Removes a connection that has closed.
   *
   * @param connection Connection, whether or not it ever opened.
   * @returns Whether it was the last link to the peer.
   */
  remove(connection: PeerConnection): boolean {
    const peerId = connection.peer?.instanceId;
    if (peerId === undefined) return false;
    const links = this.linksOf(peerId);
    const remaining = links.filter((link) => link !== connection);
    if (remaining.length === links.length) return false;
    if (remaining.length > 0) this.#links.set(peerId, remaining);
    else this.#links.delete(peerId);
    return remaining.length === 0;
  }

  /**
   * Lists the links to a peer.
   *
   * @param peerId Instance id of the peer.
   * @returns Open connections to the peer, oldest first.
   */
  linksOf(peerId: string): readonly PeerConnection[] {
    return this.#links.get(peerId) ?? [];
  }

  /**
   * Chooses the link on which to send to a peer.
   *
   * @param peerId Instance id of the peer.
   * @returns Connection to send on, or null if none accepts messages.
   */
  linkForSending(peerId: string): PeerConnection | null {
    const sendable = this.linksOf(peerId).filter((link) => link.canSend);
    const preferredDiallerId = this.#preferredDiallerId(peerId);
    const preferred = sendable.filter((link) =>
      link.diallerId === preferredDiallerId
    );
    return preferred.at(-1) ?? sendable.at(-1) ?? null;
  }

  /**
   * Drains the links that a new connection makes redundant.
   *
   * @param connection Connection that was added last.
   */
  drainRedundant(connection: PeerConnection): void {
    const peerId = connection.peer?.instanceId;
    if (peerId === undefined) return;
    const chosen = this.linkForSending(peerId);
    const closesDuplicates = this.#preferredDiallerId(peerId) === this.#ownId;
    for (const link of this.linksOf(peerId)) {
      const sameDialler = link.diallerId === chosen?.diallerId;
      if (link !== chosen && (closesDuplicates || sameDialler)) link.drain();
    }
  }

  #preferredDiallerId(peerId: string): string {
    return peerId < this.#ownId ? peerId : this.#ownId;
  }

  #closeOlderIncarnations(peerId: string, incarnation: number): void {
    for (const link of this.linksOf(peerId)) {
      const isOlder = link.peer !== null && link.peer.incarnation < incarnation;
      if (isOlder) link.close(CloseReason.Superseded);
    }
  }
}
