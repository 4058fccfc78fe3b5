/** Progress of one stream to its caller. */

/** Records the events sent to a caller, over all attempts at its request. */
export class StreamProgress {
  #lastEventId?: number;
  #lastEventAtMs?: number;
  #longestGapMs = 0;

  /** @param resumeAfter Id of the last event the caller has already, if any. */
  constructor(resumeAfter: number | undefined) {
    this.#lastEventId = resumeAfter;
  }

  /** Id of the last event sent to the caller; absent if it had none. */
  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  /** Local time of the last event sent, in ms; absent before the first. */
  get lastEventAtMs(): number | undefined {
    return this.#lastEventAtMs;
  }

  /** Longest gap between two events so far, in milliseconds. */
  get longestGapMs(): number {
    return this.#longestGapMs;
  }

  /**
   * Records an event sent to the caller.
   *
   * @param eventId Its id, or that of the last event that had one.
   * @param nowMs The local time, in milliseconds.
   */
  recordEvent(eventId: number | undefined, nowMs: number): void {
    const gapMs = nowMs - (this.#lastEventAtMs ?? nowMs);
    this.#longestGapMs = Math.max(this.#longestGapMs, gapMs);
    this.#lastEventAtMs = nowMs;
    this.#lastEventId = eventId;
  }
}
