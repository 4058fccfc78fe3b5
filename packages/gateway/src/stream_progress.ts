/** Progress of one stream to its caller. */

import type { RunOrder } from "./run_order.ts";

/** Records the events sent to a caller, over all attempts at its request. */
export class StreamProgress {
  #lastEventId?: number;
  #lastEventAtMs?: number;
  #longestGapMs = 0;
  #canGoOn = true;

  /** @param resumeAfter Id of the last event the caller has already, if any. */
  constructor(resumeAfter: number | undefined) {
    this.#lastEventId = resumeAfter;
  }

  /** Id of the last event sent to the caller; absent if it had none. */
  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  /**
   * Whether another run can go on after the last event sent. It can't after an
   * event without an id: no id tells whether the run repeats it.
   */
  get canGoOn(): boolean {
    return this.#canGoOn;
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
   * @param order Order of the run that the event belongs to.
   * @param nowMs The local time, in milliseconds.
   */
  recordEvent({ lastEventId, endsWithId }: RunOrder, nowMs: number): void {
    const gapMs = nowMs - (this.#lastEventAtMs ?? nowMs);
    this.#longestGapMs = Math.max(this.#longestGapMs, gapMs);
    this.#lastEventAtMs = nowMs;
    this.#lastEventId = lastEventId;
    this.#canGoOn = endsWithId;
  }
}
