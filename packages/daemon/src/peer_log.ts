/** What the links to peers log and count. */

import { LogLevel, LogPart } from "@chestnuthatch/core/effects";
import type { FrameFault } from "@chestnuthatch/wire/frame_codec";
import { CLOSE_REPORTS, type CloseReason } from "./close_reason.ts";
import { LogRateLimit } from "./log_rate_limit.ts";
import { type EdgeContext, EdgeCounterName } from "./ports.ts";

interface PeerLogLine {
  /** From a closed list; lines of one kind share a limit. */
  readonly lineKind: string;
  readonly level: LogLevel;
  readonly text: string;
}

/** Writes at most one line of each kind in an interval, and counts the rest. */
export class PeerLog {
  readonly #context: EdgeContext;
  readonly #rateLimit: LogRateLimit;

  /**
   * @param context The edge's clock, log and counters.
   * @param intervalMs Least time between two lines of one kind.
   */
  constructor(context: EdgeContext, intervalMs: number) {
    this.#context = context;
    this.#rateLimit = new LogRateLimit({
      maxLines: 1,
      windowMs: intervalMs,
      maxPatterns: Infinity,
    });
  }

  /**
   * Reports that a frame was refused.
   *
   * @param peerName Who sent it.
   * @param fault What is wrong with it.
   */
  frameRejected(peerName: string, fault: FrameFault): void {
    this.#context.count(EdgeCounterName.PeerFramesRejected, { fault }, 1);
    this.#write({
      lineKind: fault,
      level: LogLevel.Warn,
      text: `a frame from ${peerName} is refused: ${fault}`,
    });
  }

  /**
   * Reports that a connection closed.
   *
   * @param peerName Whom it led to.
   * @param reason Why it closed.
   */
  connectionClosed(peerName: string, reason: CloseReason): void {
    const { level, text, refused } = CLOSE_REPORTS[reason];
    if (refused) {
      const labels = { reason };
      this.#context.count(EdgeCounterName.PeerConnectionsRefused, labels, 1);
    }
    this.#write({
      lineKind: reason,
      level,
      text: `the connection with ${peerName} is closed: ${text}`,
    });
  }

  /**
   * Logs an error.
   *
   * @param lineKind Its kind, from a closed list.
   * @param text What failed.
   */
  error(lineKind: string, text: string): void {
    this.#write({ lineKind, level: LogLevel.Error, text });
  }

  #write({ lineKind, level, text }: PeerLogLine): void {
    const nowMs = this.#context.clock.nowMs();
    const suppressed = this.#rateLimit.closeWindow(lineKind, nowMs);
    if (!this.#rateLimit.allow(lineKind, nowMs)) {
      return;
    }
    const suffix = suppressed > 0 ? ` (${suppressed} more not logged)` : "";
    this.#context.log(level, LogPart.Peers, text + suffix);
  }
}
