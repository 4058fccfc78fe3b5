/** Circuit breaker that pauses targets after failures, with growing pauses. */

/** First pause of a failing target; each further failure doubles it. */
const MIN_PAUSE_MS = 400;

/** Longest pause before a failing target is tried again. */
const MAX_PAUSE_MS = 3200;

/** Failures are consecutive only within this time of each other. */
const FAILURE_STREAK_WINDOW_MS = 5000;

/**
 * Consecutive failures of a reachable target that cause no pause: a single
 * request may fail for a reason of its own.
 */
const MAX_TOLERATED_FAILURES = 1;

interface Health {
  failuresInRow: number;
  lastFailureAtMs: number;
  pausedUntilMs: number;
}

/** Consecutive failures and pauses of targets, by target id. */
export class TargetHealth {
  readonly #byId = new Map<string, Health>();

  /**
   * Records that a target failed a request.
   *
   * @param targetId Id of the target.
   * @param unreachable Whether no connection to it could be opened.
   * @param nowMs The local time.
   */
  failed(targetId: string, unreachable: boolean, nowMs: number): void {
    const health = this.#byId.get(targetId);
    const recent = health !== undefined &&
      nowMs - health.lastFailureAtMs < FAILURE_STREAK_WINDOW_MS;
    const failuresInRow = (recent ? health.failuresInRow : 0) + 1;
    const counted = failuresInRow - (unreachable ? 0 : MAX_TOLERATED_FAILURES);
    const pauseMs = counted <= 0
      ? 0
      : Math.min(MAX_PAUSE_MS, MIN_PAUSE_MS * 2 ** (counted - 1));
    this.#byId.set(targetId, {
      failuresInRow,
      lastFailureAtMs: nowMs,
      pausedUntilMs: nowMs + pauseMs,
    });
  }

  /**
   * Clears the failures of a target whose process restarted.
   *
   * @param targetId Id of the target.
   */
  restarted(targetId: string): void {
    this.#byId.delete(targetId);
  }

  /**
   * Clears the failures of a target that served a request without a failure.
   *
   * @param targetId Id of the target.
   */
  served(targetId: string): void {
    this.#byId.delete(targetId);
  }

  /**
   * @param targetId The target.
   * @param nowMs The local time.
   * @returns Whether the target should get no new work for now.
   */
  isPaused(targetId: string, nowMs: number): boolean {
    return nowMs < (this.#byId.get(targetId)?.pausedUntilMs ?? -Infinity);
  }

  /**
   * @param targetId The target.
   * @returns Number of consecutive failures of the target.
   */
  failuresInRow(targetId: string): number {
    return this.#byId.get(targetId)?.failuresInRow ?? 0;
  }

  /**
   * @param nowMs The local time.
   * @returns Ids of all targets that should get no new work for now.
   */
  paused(nowMs: number): string[] {
    return [...this.#byId.keys()].filter((id) => this.isPaused(id, nowMs));
  }
}
