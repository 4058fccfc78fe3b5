/** The diallers of all peers that this instance is to have a link to. */

import { Backoff } from "./backoff.ts";
import { formatPeerAddress, type PeerAddress } from "./peer_address.ts";
import type { PeerConnection } from "./peer_connection.ts";
import { PeerDialler } from "./peer_dialler.ts";
import type { PeerLimits } from "./peer_limits.ts";

/** What the diallers need. */
export interface PeerDiallersOptions {
  readonly limits: PeerLimits;
  /** Gives a number from 0 up to, not including, 1. */
  readonly random: () => number;
  /** Opens one connection to a peer. */
  readonly dial: (peerId: string, address: PeerAddress) => PeerConnection;
}

/** Keeps one dialler for each peer. */
export class PeerDiallers {
  readonly #options: PeerDiallersOptions;
  readonly #byPeer = new Map<string, PeerDialler>();

  /** @param options The delays and how to dial. */
  constructor(options: PeerDiallersOptions) {
    this.#options = options;
  }

  /**
   * @param peerId The peer's id.
   * @returns Its dialler, if it is to be dialled.
   */
  get(peerId: string): PeerDialler | undefined {
    return this.#byPeer.get(peerId);
  }

  /**
   * @param peerId The peer's id.
   * @param address An address.
   * @returns Whether the peer is dialled there.
   */
  dialsAt(peerId: string, address: PeerAddress): boolean {
    const present = this.#byPeer.get(peerId);
    return present !== undefined &&
      formatPeerAddress(present.address) === formatPeerAddress(address);
  }

  /**
   * Adds a peer that has no dialler.
   *
   * @param peerId The peer's id.
   * @param address Where to dial it.
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

  /** @param peerId The peer that is dialled no more. */
  remove(peerId: string): void {
    this.#byPeer.get(peerId)?.stop();
    this.#byPeer.delete(peerId);
  }

  /** Dials no peer any more. */
  stop(): void {
    for (const dialler of this.#byPeer.values()) dialler.stop();
  }
}
