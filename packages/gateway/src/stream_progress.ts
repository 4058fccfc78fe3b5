/** How far a stream has come with its caller, over all attempts. */
export class StreamProgress {
  #lastEventId?: number;
  #lastEventAtMs?: number;
  #longestGapMs = 0;

  /** @param resumeAfter Last event that the caller has from before. */
  constructor(resumeAfter: number | undefined) {
    this.#lastEventId = resumeAfter;
  }

  /** Last event that the caller has. */
  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  /** When it was passed on; absent before the first. */
  get lastEventAtMs(): number | undefined {
    return this.#lastEventAtMs;
  }

  /** Longest pause between two events, in milliseconds. */
  get longestGapMs(): number {
    return this.#longestGapMs;
  }

  /**
   * Notes an event that is passed on.
   *
   * @param eventId Its id, or that of the last one that had any.
   * @param nowMs The local time.
   */
  passed(eventId: number | undefined, nowMs: number): void {
    const gapMs = nowMs - (this.#lastEventAtMs ?? nowMs);
    this.#longestGapMs = Math.max(this.#longestGapMs, gapMs);
    this.#lastEventAtMs = nowMs;
    this.#lastEventId = eventId;
  }
}
