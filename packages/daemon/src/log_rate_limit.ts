/** A rate limit for similar log lines. */

/** Bounds of a {@link LogRateLimit}. */
export interface LogRate {
  /** Lines of one pattern that are written in one window. */
  readonly maxLines: number;
  readonly windowMs: number;
  /** Patterns tracked at a time; lines of further ones are not written. */
  readonly maxPatterns: number;
}

/** Rate limit of the logger where its options give none. */
export const DEFAULT_LOG_RATE: LogRate = {
  maxLines: 5,
  windowMs: 10_000,
  maxPatterns: 500,
};

/** Number of suppressed lines of one pattern. */
export interface SuppressedLines {
  /** Text that the lines have in common. */
  readonly pattern: string;
  readonly lineCount: number;
}

interface PatternWindow {
  readonly startedAtMs: number;
  lineCount: number;
}

/** Limits the lines of each pattern in fixed time windows. */
export class LogRateLimit {
  readonly #rate: LogRate;
  readonly #windows = new Map<string, PatternWindow>();

  /** @param rate Bounds of the rate limit. */
  constructor(rate: LogRate = DEFAULT_LOG_RATE) {
    this.#rate = rate;
  }

  /**
   * Counts a line and decides whether it may be written.
   *
   * @param pattern Text that the line has in common with similar lines.
   * @param nowMs Current time, in milliseconds.
   * @returns Whether the line may be written.
   */
  allow(pattern: string, nowMs: number): boolean {
    const window = this.#windows.get(pattern);
    if (window !== undefined) {
      window.lineCount++;
      return window.lineCount <= this.#rate.maxLines;
    }
    if (this.#windows.size >= this.#rate.maxPatterns) {
      return false;
    }
    this.#windows.set(pattern, { startedAtMs: nowMs, lineCount: 1 });
    return true;
  }

  /**
   * Closes the windows that have expired.
   *
   * @param nowMs Current time, in milliseconds.
   * @returns Lines that were suppressed in them, by pattern.
   */
  closeExpiredWindows(nowMs: number): SuppressedLines[] {
    const suppressed: SuppressedLines[] = [];
    for (const [pattern, window] of this.#windows) {
      if (!this.#isExpired(window, nowMs)) {
        // The map holds the windows in the order in which they started.
        break;
      }
      const lineCount = this.closeExpiredWindow(pattern, nowMs);
      if (lineCount > 0) {
        suppressed.push({ pattern, lineCount });
      }
    }
    return suppressed;
  }

  /**
   * Closes the window of a pattern if it has expired.
   *
   * @param pattern Pattern of the window.
   * @param nowMs Current time, in milliseconds.
   * @returns Number of lines that were suppressed in the window.
   */
  closeExpiredWindow(pattern: string, nowMs: number): number {
    const window = this.#windows.get(pattern);
    if (window === undefined || !this.#isExpired(window, nowMs)) {
      return 0;
    }
    this.#windows.delete(pattern);
    return Math.max(0, window.lineCount - this.#rate.maxLines);
  }

  #isExpired(window: PatternWindow, nowMs: number): boolean {
    return nowMs - window.startedAtMs >= this.#rate.windowMs;
  }
}
