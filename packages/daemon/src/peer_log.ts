/** Log lines and counters of the links to peers. */

import { LogLevel, LogPart } from "@chestnuthatch/core/effects";
import type { FrameFault } from "@chestnuthatch/wire/frame_codec";
import { CLOSE_REPORTS, type CloseReason } from "./close_reason.ts";
import { LogRateLimit } from "./log_rate_limit.ts";
import { type EdgeContext, EdgeCounterName } from "./ports.ts";

interface PeerLogLine {
  /** One of a fixed set of keys; lines with the same key share a rate limit. */
  readonly throttleKey: string;
  readonly level: LogLevel;
  readonly text: string;
}

/**
 * Writes at most one line per throttle key and interval, and reports how many
 * were suppressed.
 */
export class PeerLog {
  readonly #context: EdgeContext;
  readonly #rateLimit: LogRateLimit;

  /**
   * @param context Clock, log and counters of the edge.
   * @param intervalMs Minimum time between two lines with the same throttle
   * key, in milliseconds.
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
   * Counts and logs a rejected frame.
   *
   * @param peerName Instance id or IP address of the sender.
   * @param fault Why the frame was rejected.
   */
  frameRejected(peerName: string, fault: FrameFault): void {
    this.#context.count(EdgeCounterName.PeerFramesRejected, { fault }, 1);
    this.#write({
      throttleKey: fault,
      level: LogLevel.Warn,
      text: `rejected a frame from ${peerName}: ${fault}`,
    });
  }

  /**
   * Logs that a connection closed, and counts it if the peer was refused.
   *
   * @param peerName Instance id or IP address of the peer.
   * @param reason Why the connection closed.
   */
  connectionClosed(peerName: string, reason: CloseReason): void {
    const { level, text, isRefusal } = CLOSE_REPORTS[reason];
    if (isRefusal) {
      const labels = { reason };
      this.#context.count(EdgeCounterName.PeerConnectionsRefused, labels, 1);
    }
    this.#write({
      throttleKey: reason,
      level,
      text: `connection with ${peerName} closed: ${text}`,
    });
  }

  /**
   * Logs an error of the links.
   *
   * @param throttleKey One of a fixed set of keys; errors with the same key
   * share a rate limit.
   * @param text What failed.
   */
  error(throttleKey: string, text: string): void {
    this.#write({ throttleKey, level: LogLevel.Error, text });
  }

  #write({ throttleKey, level, text }: PeerLogLine): void {
    const nowMs = this.#context.clock.nowMs();
    const suppressed = this.#rateLimit.closeExpiredWindow(throttleKey, nowMs);
    if (!this.#rateLimit.allow(throttleKey, nowMs)) {
      return;
    }
    const suffix = suppressed > 0
      ? ` (${suppressed} similar lines suppressed)`
      : "";
    this.#context.log(level, LogPart.Peers, text + suffix);
  }
}
