/** What the instances spend on control: bytes between them, processor time. */

import { encodeFrame } from "@chestnuthatch/wire/frame_codec";
import type {
  PeerMessage,
  PeerMessageKind,
} from "@chestnuthatch/wire/peer_messages";

/** Counts of one run. */
export class ControlCostCounter {
  messages = 0;
  bytes = 0;
  /** Processor time inside the cores. */
  coreMs = 0;
  coreEvents = 0;
  readonly bytesByKind: Partial<Record<PeerMessageKind, number>> = {};

  /** @param message A message sent from one instance to another. */
  recordMessage(message: PeerMessage): void {
    const frame = encodeFrame(message);
    const bytes = frame.isOk() ? frame.value.length : 0;
    this.messages += 1;
    this.bytes += bytes;
    const previousBytes = this.bytesByKind[message.kind] ?? 0;
    this.bytesByKind[message.kind] = previousBytes + bytes;
  }

  /** @param durationMs Time that a core took to handle one event. */
  recordEvent(durationMs: number): void {
    this.coreMs += durationMs;
    this.coreEvents += 1;
  }
}
