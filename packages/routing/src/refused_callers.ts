/**
 * Remembers which requests were refused, so that a caller that comes back is
 * known by its request.
 *
 * Who comes back is late already: within a rank those who can still be on time
 * go first. The time that a caller still has does not tell the two apart, since
 * callers of one route set deadlines that differ.
 */

/** Callers that were told to come back do so within their own deadlines. */
const REMEMBERED_MS = 15_000;

/** Refused requests, by what is the same for all attempts at one. */
export class RefusedCallers {
  /** When the first attempt came, the one refused longest ago first. */
  readonly #byCall = new Map<number, { firstAtMs: number; atMs: number }>();

  /**
   * Notes a refusal.
   *
   * @param callHash What all attempts share; 0 where nothing tells.
   * @param firstAtMs Local time of the caller's first attempt.
   * @param nowMs The local time.
   */
  note(callHash: number, firstAtMs: number, nowMs: number): void {
    this.#forgetOld(nowMs);
    if (callHash !== 0) {
      this.#byCall.delete(callHash);
      this.#byCall.set(callHash, { firstAtMs, atMs: nowMs });
    }
  }

  /**
   * @param callHash What all attempts share; 0 where nothing tells.
   * @param nowMs The local time.
   * @returns Local time of the caller's first attempt: now, unless it was
   * refused lately.
   */
  firstAtMs(callHash: number, nowMs: number): number {
    const refused = this.#byCall.get(callHash);
    const isRecent = refused !== undefined &&
      nowMs - refused.atMs <= REMEMBERED_MS;
    return isRecent ? refused.firstAtMs : nowMs;
  }

  #forgetOld(nowMs: number): void {
    for (const [callHash, { atMs }] of this.#byCall) {
      if (nowMs - atMs <= REMEMBERED_MS) {
        return;
      }
      this.#byCall.delete(callHash);
    }
  }
}
