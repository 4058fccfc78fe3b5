/** Which open connections lead to which peer, and which of them is used. */

import { CloseReason } from "./close_reason.ts";
import type { PeerConnection } from "./peer_connection.ts";
import { SeenIncarnations } from "./seen_incarnations.ts";

/**
 * The open connections of each peer.
 *
 * Where both sides dialled, the connection dialled by the smaller instance id
 * is kept. That side learns last that the connection is open, so it alone
 * closes the other one: by then both sides send on the one that is kept.
 */
export class PeerRegistry {
  readonly #ownId: string;
  readonly #links = new Map<string, PeerConnection[]>();
  readonly #incarnations = new SeenIncarnations();

  /** @param ownId The id of this instance. */
  constructor(ownId: string) {
    this.#ownId = ownId;
  }

  /**
   * Decides on a peer that has proved itself.
   *
   * @param connection Its connection.
   * @returns Why it is turned away, or null.
   */
  refusalOf(connection: PeerConnection): CloseReason | null {
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
   * Adds a connection that opened; call `retireRedundant` after it.
   *
   * @param connection The connection.
   * @returns True when it is the peer's first.
   */
  add(connection: PeerConnection): boolean {
    const { peer } = connection;
    if (!peer) return false;
    this.#closeOlder(peer.instanceId, peer.incarnation);
    this.#incarnations.note(peer.instanceId, peer.incarnation);
    const links = this.linksOf(peer.instanceId);
    this.#links.set(peer.instanceId, [...links, connection]);
    return links.length === 0;
  }

  /**
   * Removes a connection that closed.
   *
   * @param connection The connection, opened or not.
   * @returns True when it was the peer's last.
   */
  remove(connection: PeerConnection): boolean {
    const peerId = connection.peer?.instanceId;
    if (peerId === undefined) return false;
    const links = this.linksOf(peerId);
    const left = links.filter((link) => link !== connection);
    if (left.length === links.length) return false;
    if (left.length > 0) this.#links.set(peerId, left);
    else this.#links.delete(peerId);
    return left.length === 0;
  }

  /**
   * @param peerId The peer's id.
   * @returns Its open connections, oldest first.
   */
  linksOf(peerId: string): readonly PeerConnection[] {
    return this.#links.get(peerId) ?? [];
  }

  /**
   * @param peerId The peer's id.
   * @returns The connection to send on, or null.
   */
  usableLink(peerId: string): PeerConnection | null {
    const usable = this.linksOf(peerId).filter((link) => link.isUsable);
    const keptDiallerId = this.#keptDiallerId(peerId);
    const kept = usable.filter((link) => link.diallerId === keptDiallerId);
    return kept.at(-1) ?? usable.at(-1) ?? null;
  }

  /**
   * Retires what a new connection makes redundant.
   *
   * @param connection The connection added last.
   */
  retireRedundant(connection: PeerConnection): void {
    const peerId = connection.peer?.instanceId;
    if (peerId === undefined) return;
    const kept = this.usableLink(peerId);
    const isCloser = this.#keptDiallerId(peerId) === this.#ownId;
    for (const link of this.linksOf(peerId)) {
      const sameDialler = link.diallerId === kept?.diallerId;
      if (link !== kept && (isCloser || sameDialler)) link.retire();
    }
  }

  #keptDiallerId(peerId: string): string {
    return peerId < this.#ownId ? peerId : this.#ownId;
  }

  #closeOlder(peerId: string, incarnation: number): void {
    for (const link of this.linksOf(peerId)) {
      const isOlder = link.peer !== null && link.peer.incarnation < incarnation;
      if (isOlder) link.close(CloseReason.Superseded);
    }
  }
}
