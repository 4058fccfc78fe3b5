/** What the instances spend on control: bytes between them, processor time. */

import { encodeFrame } from "@chestnuthatch/wire/frame_codec";
import type {
  PeerMessage,
  PeerMessageKind,
} from "@chestnuthatch/wire/peer_messages";

/** Counts of one run. */
export class ControlCosts {
  messages = 0;
  bytes = 0;
  /** Processor time inside the cores. */
  coreMs = 0;
  coreEvents = 0;
  readonly bytesByKind: Partial<Record<PeerMessageKind, number>> = {};

  /** @param message A message sent from one instance to another. */
  sent(message: PeerMessage): void {
    const frame = encodeFrame(message);
    const bytes = frame.isOk() ? frame.value.length : 0;
    this.messages += 1;
    this.bytes += bytes;
    const before = this.bytesByKind[message.kind] ?? 0;
    this.bytesByKind[message.kind] = before + bytes;
  }

  /** @param tookMs Time that a core took to handle one event. */
  handled(tookMs: number): void {
    this.coreMs += tookMs;
    this.coreEvents += 1;
  }
}
