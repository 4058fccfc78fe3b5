/**
 * Back-off that targets request when they reject requests of this instance. It
 * applies to this instance only: targets ask each instance separately.
 */

/** Back-offs that targets requested, by target id. */
export class TargetBackoffs {
  readonly #untilMs = new Map<string, number>();

  /**
   * Starts or extends the back-off for a target; it is never shortened.
   *
   * @param targetId The target.
   * @param forMs Requested duration in milliseconds, from now.
   * @param nowMs The local time.
   */
  requested(targetId: string, forMs: number, nowMs: number): void {
    const untilMs = this.#untilMs.get(targetId) ?? -Infinity;
    this.#untilMs.set(targetId, Math.max(untilMs, nowMs + forMs));
  }

  /**
   * @param targetId A target.
   * @param nowMs The local time.
   * @returns Remaining back-off in milliseconds; 0 if there is none.
   */
  remainingMs(targetId: string, nowMs: number): number {
    return Math.max(0, (this.#untilMs.get(targetId) ?? -Infinity) - nowMs);
  }

  /**
   * @param nowMs The local time.
   * @returns Ids of the targets that must not be sent requests.
   */
  activeIds(nowMs: number): string[] {
    for (const [targetId, untilMs] of this.#untilMs) {
      if (untilMs <= nowMs) {
        this.#untilMs.delete(targetId);
      }
    }
    return [...this.#untilMs.keys()];
  }

  /**
   * Discards the back-off of a target whose process was restarted.
   *
   * @param targetId Id of the target.
   */
  restarted(targetId: string): void {
    this.#untilMs.delete(targetId);
  }
}
