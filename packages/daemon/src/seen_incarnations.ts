/** The newest incarnation seen of each authenticated peer. */

const MAX_TRACKED_PEERS = 4096;

/** Tracks the newest incarnation of each of a bounded number of peer ids. */
export class SeenIncarnations {
  readonly #incarnationByPeer = new Map<string, number>();

  /**
   * Checks whether an incarnation is older than the newest one recorded.
   *
   * @param peerId Instance id of the peer.
   * @param incarnation Incarnation that the peer states.
   * @returns Whether a newer incarnation of the peer has been recorded.
   */
  isOutdated(peerId: string, incarnation: number): boolean {
    return incarnation < (this.#incarnationByPeer.get(peerId) ?? 0);
  }

  /**
   * Records an incarnation. When the bound is exceeded, the least recently
   * recorded id is evicted.
   *
   * @param peerId Instance id of the peer.
   * @param incarnation Incarnation of the peer; must not be outdated.
   */
  record(peerId: string, incarnation: number): void {
    this.#incarnationByPeer.delete(peerId);
    this.#incarnationByPeer.set(peerId, incarnation);
    if (this.#incarnationByPeer.size <= MAX_TRACKED_PEERS) return;
    for (const oldestId of this.#incarnationByPeer.keys()) {
      this.#incarnationByPeer.delete(oldestId);
      return;
    }
  }
}
