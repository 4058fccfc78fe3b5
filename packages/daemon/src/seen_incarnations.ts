/** Remembers the newest incarnation of each peer that has proved itself. */

const MAX_REMEMBERED_PEERS = 4096;

/** The newest incarnation seen of each peer id, for a bounded number of ids. */
export class SeenIncarnations {
  readonly #newest = new Map<string, number>();

  /**
   * @param peerId The peer's id.
   * @param incarnation The incarnation it claims.
   * @returns True when a newer one has been seen.
   */
  isOutdated(peerId: string, incarnation: number): boolean {
    return incarnation < (this.#newest.get(peerId) ?? 0);
  }

  /**
   * Notes an incarnation; the id noted longest ago gives way when full.
   *
   * @param peerId The peer's id.
   * @param incarnation Its incarnation; not outdated.
   */
  note(peerId: string, incarnation: number): void {
    this.#newest.delete(peerId);
    this.#newest.set(peerId, incarnation);
    if (this.#newest.size <= MAX_REMEMBERED_PEERS) return;
    for (const oldestId of this.#newest.keys()) {
      this.#newest.delete(oldestId);
      return;
    }
  }
}
