/**
 * Rests that targets ask of this instance as they turn its requests away. They
 * hold for this instance alone: a target asks each one by itself.
 */

/** Ends of rests by target. */
export class TargetRests {
  readonly #untilMs = new Map<string, number>();

  /**
   * A target asked for rest. An earlier request for a longer one stands.
   *
   * @param targetId The target.
   * @param forMs For how long, from now.
   * @param nowMs The local time.
   */
  asked(targetId: string, forMs: number, nowMs: number): void {
    const untilMs = this.#untilMs.get(targetId) ?? -Infinity;
    this.#untilMs.set(targetId, Math.max(untilMs, nowMs + forMs));
  }

  /**
   * @param targetId A target.
   * @param nowMs The local time.
   * @returns How long it is to be left alone; 0 if it need not be.
   */
  leftMs(targetId: string, nowMs: number): number {
    return Math.max(0, (this.#untilMs.get(targetId) ?? -Infinity) - nowMs);
  }

  /**
   * @param nowMs The local time.
   * @returns Targets that are to be left alone.
   */
  resting(nowMs: number): string[] {
    for (const [targetId, untilMs] of this.#untilMs) {
      if (untilMs <= nowMs) {
        this.#untilMs.delete(targetId);
      }
    }
    return [...this.#untilMs.keys()];
  }

  /** @param targetId A target whose process started again. */
  restarted(targetId: string): void {
    this.#untilMs.delete(targetId);
  }
}
