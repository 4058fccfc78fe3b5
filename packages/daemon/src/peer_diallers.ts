/** The diallers of all peers that this instance keeps a link to. */

import { Backoff } from "./backoff.ts";
import { formatPeerAddress, type PeerAddress } from "./peer_address.ts";
import type { PeerConnection } from "./peer_connection.ts";
import { PeerDialler } from "./peer_dialler.ts";
import type { PeerLimits } from "./peer_limits.ts";

/** Limits, randomness and dial function of {@link PeerDiallers}. */
export interface PeerDiallersOptions {
  readonly limits: PeerLimits;
  /** Returns a random number in [0, 1), for the jitter of redials. */
  readonly random: () => number;
  /** Opens one connection to a peer. */
  readonly dial: (peerId: string, address: PeerAddress) => PeerConnection;
}

/** Keeps one {@link PeerDialler} for each peer. */
export class PeerDiallers {
  readonly #options: PeerDiallersOptions;
  readonly #byPeer = new Map<string, PeerDialler>();

  /** @param options Limits, randomness and dial function. */
  constructor(options: PeerDiallersOptions) {
    this.#options = options;
  }

  /**
   * Looks up the dialler of a peer.
   *
   * @param peerId Instance id of the peer.
   * @returns The dialler, or undefined if the peer is not dialled.
   */
  get(peerId: string): PeerDialler | undefined {
    return this.#byPeer.get(peerId);
  }

  /**
   * Checks whether a peer is dialled at an address.
   *
   * @param peerId Instance id of the peer.
   * @param address Address to compare with the one that is dialled.
   * @returns Whether the peer has a dialler with this address.
   */
  isDiallingAt(peerId: string, address: PeerAddress): boolean {
    const dialler = this.#byPeer.get(peerId);
    return dialler !== undefined &&
      formatPeerAddress(dialler.address) === formatPeerAddress(address);
  }

  /**
   * Adds a dialler for a peer that has none.
   *
   * @param peerId Instance id of the peer.
   * @param address Address at which to dial the peer.
   */
  add(peerId: string, address: PeerAddress): void {
    const { limits, random, dial } = this.#options;
    const backoff = new Backoff({
      baseMs: limits.redialBaseMs,
      maxMs: limits.redialMaxMs,
      random,
    });
    const dialler = new PeerDialler({
      address,
      backoff,
      dial: (to) => dial(peerId, to),
    });
    this.#byPeer.set(peerId, dialler);
  }

  /**
   * Stops and removes the dialler of a peer, if there is one.
   *
   * @param peerId Instance id of the peer.
   */
  remove(peerId: string): void {
    this.#byPeer.get(peerId)?.stop();
    this.#byPeer.delete(peerId);
  }

  /** Stops the diallers of all peers. */
  stop(): void {
    for (const dialler of this.#byPeer.values()) dialler.stop();
  }
}
