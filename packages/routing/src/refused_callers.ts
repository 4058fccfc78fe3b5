/**
 * Remembers which requests were refused, so that a caller that comes back is
 * known by its request.
 *
 * Who comes back is late already: within a rank those who can still be on time
 * go first. The time that a caller still has does not tell the two apart, since
 * callers of one route set deadlines that differ.
 */

/** Callers that were told to come back do so within their own deadlines. */
const MAX_AGE_MS = 15_000;

/** Refused requests, by what is the same for all attempts at one. */
export class RefusedCallers {
  /** When the first attempt came, the one refused longest ago first. */
  readonly #byCall = new Map<
    number,
    { firstAttemptAtMs: number; refusedAtMs: number }
  >();

  /**
   * Notes a refusal.
   *
   * @param callHash What all attempts share; 0 where nothing tells.
   * @param firstAttemptAtMs Local time of the caller's first attempt.
   * @param nowMs The local time.
   */
  record(callHash: number, firstAttemptAtMs: number, nowMs: number): void {
    this.#evictExpired(nowMs);
    if (callHash !== 0) {
      this.#byCall.delete(callHash);
      this.#byCall.set(callHash, { firstAttemptAtMs, refusedAtMs: nowMs });
    }
  }

  /**
   * @param callHash What all attempts share; 0 where nothing tells.
   * @param nowMs The local time.
   * @returns Local time of the caller's first attempt: now, unless it was
   * refused lately.
   */
  firstAttemptAtMs(callHash: number, nowMs: number): number {
    const refused = this.#byCall.get(callHash);
    const isRecent = refused !== undefined &&
      nowMs - refused.refusedAtMs <= MAX_AGE_MS;
    return isRecent ? refused.firstAttemptAtMs : nowMs;
  }

  #evictExpired(nowMs: number): void {
    for (const [callHash, { refusedAtMs }] of this.#byCall) {
      if (nowMs - refusedAtMs <= MAX_AGE_MS) {
        return;
      }
      this.#byCall.delete(callHash);
    }
  }
}
