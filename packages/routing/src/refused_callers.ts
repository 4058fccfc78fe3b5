/**
 * Record of recently refused requests, by which a caller that retries is
 * recognised.
 *
 * A caller that retries is late already: within a rank, requests that can still
 * meet their objective go first. The time left to a deadline does not
 * distinguish the two, as callers of one route set different deadlines.
 */

/** Retention of a refusal: refused callers retry within their own deadlines. */
const RETENTION_MS = 15_000;

/** Recently refused requests, by the hash that all attempts at one share. */
export class RefusedCallers {
  /**
   * Times of the first attempt and of the last refusal, the oldest refusal
   * first.
   */
  readonly #byCall = new Map<
    number,
    { firstAttemptAtMs: number; refusedAtMs: number }
  >();

  /**
   * Records a refusal.
   *
   * @param callHash Hash that all attempts share; 0 if unknown.
   * @param firstAttemptAtMs Local time of the caller's first attempt.
   * @param nowMs Current local time in milliseconds.
   */
  record(callHash: number, firstAttemptAtMs: number, nowMs: number): void {
    this.#evictExpired(nowMs);
    if (callHash !== 0) {
      this.#byCall.delete(callHash);
      this.#byCall.set(callHash, { firstAttemptAtMs, refusedAtMs: nowMs });
    }
  }

  /**
   * Returns when a caller first attempted a request.
   *
   * @param callHash Hash that all attempts share; 0 if unknown.
   * @param nowMs Current local time in milliseconds.
   * @returns Local time of the first attempt if the request was refused
   * recently; otherwise the current time.
   */
  firstAttemptAtMs(callHash: number, nowMs: number): number {
    const refused = this.#byCall.get(callHash);
    const isRecent = refused !== undefined &&
      nowMs - refused.refusedAtMs <= RETENTION_MS;
    return isRecent ? refused.firstAttemptAtMs : nowMs;
  }

  #evictExpired(nowMs: number): void {
    for (const [callHash, { refusedAtMs }] of this.#byCall) {
      if (nowMs - refusedAtMs <= RETENTION_MS) {
        return;
      }
      this.#byCall.delete(callHash);
    }
  }
}
