/** Which targets have failed lately, and when they are tried again. */

/** First and longest pause before a failing target is tried again. */
const FIRST_PAUSE_MS = 400;
const LONGEST_PAUSE_MS = 3200;
/** Failures within this time of each other lengthen the pause. */
const FAILURES_JOIN_MS = 5000;

/** Failures in a row that one request may meet by bad luck. */
const TOLERATED_FAILURES = 1;

interface Health {
  failuresInRow: number;
  lastFailureAtMs: number;
  pausedUntilMs: number;
}

/** Pauses after failures, for each target. */
export class TargetHealth {
  readonly #byId = new Map<string, Health>();

  /**
   * Notes that a target failed a request.
   *
   * @param targetId The target.
   * @param unreachable Whether it could not even be connected to.
   * @param nowMs The local time.
   */
  failed(targetId: string, unreachable: boolean, nowMs: number): void {
    const health = this.#byId.get(targetId);
    const recent = health !== undefined &&
      nowMs - health.lastFailureAtMs < FAILURES_JOIN_MS;
    const failuresInRow = (recent ? health.failuresInRow : 0) + 1;
    const counted = failuresInRow - (unreachable ? 0 : TOLERATED_FAILURES);
    const pauseMs = counted <= 0
      ? 0
      : Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (counted - 1));
    this.#byId.set(targetId, {
      failuresInRow,
      lastFailureAtMs: nowMs,
      pausedUntilMs: nowMs + pauseMs,
    });
  }

  /** @param targetId A target whose process started again. */
  restarted(targetId: string): void {
    this.#byId.delete(targetId);
  }

  /** @param targetId A target that has just served a request well. */
  served(targetId: string): void {
    this.#byId.delete(targetId);
  }

  /**
   * @param targetId The target.
   * @param nowMs The local time.
   * @returns Whether it should get no work for now.
   */
  isPaused(targetId: string, nowMs: number): boolean {
    return nowMs < (this.#byId.get(targetId)?.pausedUntilMs ?? -Infinity);
  }

  /**
   * @param targetId The target.
   * @returns Failures since it last served well.
   */
  failuresInRow(targetId: string): number {
    return this.#byId.get(targetId)?.failuresInRow ?? 0;
  }

  /**
   * @param nowMs The local time.
   * @returns Ids of all targets that should get no work for now.
   */
  paused(nowMs: number): string[] {
    return [...this.#byId.keys()].filter((id) => this.isPaused(id, nowMs));
  }
}
