/** Since when the configuration in force may be out of date. */

/** Keeps when the configuration in force was last known to be the newest. */
export class ConfigurationAge {
  #newestAtMs?: number;

  /**
   * Notes that the configuration in force is the newest, or lately was.
   *
   * @param nowMs The local time.
   * @param ageMs How long ago it was.
   */
  confirm(nowMs: number, ageMs = 0): void {
    this.#newestAtMs = Math.max(this.#newestAtMs ?? -Infinity, nowMs - ageMs);
  }

  /**
   * @param nowMs The local time.
   * @returns Milliseconds since it was last known to be the newest; undefined
   * before it first was.
   */
  ageMs(nowMs: number): number | undefined {
    return this.#newestAtMs === undefined
      ? undefined
      : nowMs - this.#newestAtMs;
  }
}
