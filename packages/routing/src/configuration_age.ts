/** Age of the configuration in force, for the detection of stale ones. */

/** Records when the configuration in force was last known to be the newest. */
export class ConfigurationAge {
  #newestAtMs?: number;
  #confirmedByStoreAtMs?: number;

  /**
   * Records that the platform's store has no newer configuration than the one
   * in force.
   *
   * @param nowMs The local time.
   */
  confirmedByStore(nowMs: number): void {
    this.#confirmedByStoreAtMs = nowMs;
    this.confirmedByPeer(nowMs, 0);
  }

  /**
   * Records that the store told another instance that the configuration in
   * force is the newest one.
   *
   * @param nowMs The local time.
   * @param ageMs Time since then, in milliseconds.
   */
  confirmedByPeer(nowMs: number, ageMs: number): void {
    this.#newestAtMs = Math.max(this.#newestAtMs ?? -Infinity, nowMs - ageMs);
  }

  /**
   * @param nowMs The local time.
   * @returns Milliseconds since the configuration was last known to be the
   * newest; undefined if it never was.
   */
  ageMs(nowMs: number): number | undefined {
    return elapsedMs(this.#newestAtMs, nowMs);
  }

  /**
   * Age to report to other instances. Reports of other instances don't count: an
   * age that is relayed lacks the time in transit, so that instances without
   * answers of the store would confirm each other's configuration endlessly.
   *
   * @param nowMs The local time.
   * @returns Milliseconds since the store last confirmed the configuration to
   * this instance; undefined if it never did.
   */
  storeAgeMs(nowMs: number): number | undefined {
    return elapsedMs(this.#confirmedByStoreAtMs, nowMs);
  }
}

function elapsedMs(
  sinceMs: number | undefined,
  nowMs: number,
): number | undefined {
  return sinceMs === undefined ? undefined : nowMs - sinceMs;
}
