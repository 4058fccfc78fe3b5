/** Counter of the messages between instances and their cores' CPU time. */

import { encodeFrame } from "@chestnuthatch/wire/frame_codec";
import type {
  PeerMessage,
  PeerMessageKind,
} from "@chestnuthatch/wire/peer_messages";

/** Counts what the instances of one run spend on coordination. */
export class ControlCostCounter {
  messages = 0;
  /** Size of the encoded frames of all messages. */
  bytes = 0;
  /** Time spent in the cores, in real milliseconds. */
  coreMs = 0;
  /** Number of events that the cores handled. */
  coreEvents = 0;
  readonly bytesByKind: Partial<Record<PeerMessageKind, number>> = {};

  /**
   * Counts a message that one instance sends to another.
   *
   * @param message The message.
   */
  recordMessage(message: PeerMessage): void {
    const frame = encodeFrame(message);
    const bytes = frame.isOk() ? frame.value.length : 0;
    this.messages += 1;
    this.bytes += bytes;
    const previousBytes = this.bytesByKind[message.kind] ?? 0;
    this.bytesByKind[message.kind] = previousBytes + bytes;
  }

  /**
   * Counts an event that a core handled.
   *
   * @param durationMs Time that the core took, in real milliseconds.
   */
  recordEvent(durationMs: number): void {
    this.coreMs += durationMs;
    this.coreEvents += 1;
  }
}
