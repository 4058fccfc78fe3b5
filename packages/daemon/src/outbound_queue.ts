/** Frames that wait until the socket takes them, bounded in bytes. */

import type { Buffer } from "node:buffer";

/** A frame to send. */
export interface OutboundFrame {
  readonly bytes: Buffer;
  /** True when the sender repeats its content anyway, so it may be dropped. */
  readonly repeated: boolean;
}

/** What became of a frame. */
export enum EnqueueOutcome {
  Queued = "queued",
  /** No room, and the frame is one that is repeated anyway. */
  Dropped = "dropped",
  /** No room for a frame that is not repeated. */
  Overflow = "overflow",
}

/** First in, first out; repeated frames give way when there is no room. */
export class OutboundQueue {
  #frames: OutboundFrame[] = [];
  #head = 0;
  #bytes = 0;
  #repeatedBytes = 0;

  /** @returns Bytes that wait. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Adds a frame when there is room, or room can be made.
   *
   * @param frame The frame.
   * @param maxBytes The most that may wait, this frame included.
   * @returns What became of it.
   */
  enqueue(frame: OutboundFrame, maxBytes: number): EnqueueOutcome {
    const excessBytes = this.#bytes + frame.bytes.length - maxBytes;
    if (excessBytes > 0 && this.#repeatedBytes > 0) this.#dropRepeated();
    if (this.#bytes + frame.bytes.length > maxBytes) {
      return frame.repeated ? EnqueueOutcome.Dropped : EnqueueOutcome.Overflow;
    }
    this.#frames.push(frame);
    this.#account(frame, 1);
    return EnqueueOutcome.Queued;
  }

  /** @returns The oldest frame, taken out, or null. */
  dequeue(): OutboundFrame | null {
    const frame = this.#frames[this.#head];
    if (!frame) return null;
    this.#head += 1;
    this.#account(frame, -1);
    if (this.#head * 2 >= this.#frames.length) {
      this.#frames = this.#frames.slice(this.#head);
      this.#head = 0;
    }
    return frame;
  }

  /** Drops everything. */
  clear(): void {
    this.#frames = [];
    this.#head = 0;
    this.#bytes = 0;
    this.#repeatedBytes = 0;
  }

  #dropRepeated(): void {
    const kept = this.#frames.slice(this.#head)
      .filter((frame) => !frame.repeated);
    this.#frames = kept;
    this.#head = 0;
    this.#bytes -= this.#repeatedBytes;
    this.#repeatedBytes = 0;
  }

  #account(frame: OutboundFrame, sign: 1 | -1): void {
    this.#bytes += sign * frame.bytes.length;
    if (frame.repeated) this.#repeatedBytes += sign * frame.bytes.length;
  }
}
