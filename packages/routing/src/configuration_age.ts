/** Age of the configuration in force, for the detection of stale ones. */

/** Records when the configuration in force was last known to be the newest. */
export class ConfigurationAge {
  #newestAtMs?: number;

  /**
   * Records that the configuration in force is, or recently was, the newest
   * one.
   *
   * @param nowMs The local time.
   * @param ageMs Time since it was known to be the newest, in milliseconds.
   */
  confirm(nowMs: number, ageMs = 0): void {
    this.#newestAtMs = Math.max(this.#newestAtMs ?? -Infinity, nowMs - ageMs);
  }

  /**
   * @param nowMs The local time.
   * @returns Milliseconds since the configuration was last known to be the
   * newest; undefined if it never was.
   */
  ageMs(nowMs: number): number | undefined {
    return this.#newestAtMs === undefined
      ? undefined
      : nowMs - this.#newestAtMs;
  }
}
