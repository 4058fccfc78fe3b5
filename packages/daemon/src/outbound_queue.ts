/** A queue of frames to be written to a socket, bounded in bytes. */

import type { Buffer } from "node:buffer";

/** An encoded frame to be sent. */
export interface OutboundFrame {
  readonly bytes: Buffer;
  /** Whether the frame may be dropped, as its content is sent again later. */
  readonly isDroppable: boolean;
}

/** Result of {@link OutboundQueue.enqueue}. */
export enum EnqueueOutcome {
  /** The frame is in the queue. */
  Queued = "queued",
  /** The queue is full and the frame is droppable. */
  Dropped = "dropped",
  /** The queue is full and the frame is not droppable. */
  Overflow = "overflow",
}

/** FIFO queue of frames; droppable frames are evicted when it is full. */
export class OutboundQueue {
  #frames: OutboundFrame[] = [];
  #headIndex = 0;
  #bytes = 0;
  #droppableBytes = 0;

  /** Bytes of all queued frames. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Adds a frame, evicting droppable frames if the queue is full.
   *
   * @param frame Frame to add.
   * @param maxBytes Maximum of queued bytes, including this frame.
   * @returns Whether the frame was queued, or why not.
   */
  enqueue(frame: OutboundFrame, maxBytes: number): EnqueueOutcome {
    const excessBytes = this.#bytes + frame.bytes.length - maxBytes;
    if (excessBytes > 0 && this.#droppableBytes > 0) this.#evictDroppable();
    if (this.#bytes + frame.bytes.length > maxBytes) {
      return frame.isDroppable
        ? EnqueueOutcome.Dropped
        : EnqueueOutcome.Overflow;
    }
    this.#frames.push(frame);
    this.#updateByteCounts(frame, 1);
    return EnqueueOutcome.Queued;
  }

  /**
   * Removes the oldest frame.
   *
   * @returns The frame, or null if the queue is empty.
   */
  dequeue(): OutboundFrame | null {
    const frame = this.#frames[this.#headIndex];
    if (!frame) return null;
    this.#headIndex += 1;
    this.#updateByteCounts(frame, -1);
    if (this.#headIndex * 2 >= this.#frames.length) {
      this.#frames = this.#frames.slice(this.#headIndex);
      this.#headIndex = 0;
    }
    return frame;
  }

  /** Removes all frames. */
  clear(): void {
    this.#frames = [];
    this.#headIndex = 0;
    this.#bytes = 0;
    this.#droppableBytes = 0;
  }

  #evictDroppable(): void {
    const kept = this.#frames.slice(this.#headIndex)
      .filter((frame) => !frame.isDroppable);
    this.#frames = kept;
    this.#headIndex = 0;
    this.#bytes -= this.#droppableBytes;
    this.#droppableBytes = 0;
  }

  #updateByteCounts(frame: OutboundFrame, sign: 1 | -1): void {
    this.#bytes += sign * frame.bytes.length;
    if (frame.isDroppable) this.#droppableBytes += sign * frame.bytes.length;
  }
}
