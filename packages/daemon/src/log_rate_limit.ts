/** A bound on how often lines that are alike may be written. */

/** What the rate limit allows. */
export interface LogRate {
  /** Lines of one pattern let through in one window. */
  readonly maxLines: number;
  readonly windowMs: number;
  /** Patterns told apart at a time. */
  readonly maxPatterns: number;
}

/** A rate that keeps a log readable. */
export const DEFAULT_LOG_RATE: LogRate = {
  maxLines: 5,
  windowMs: 10_000,
  maxPatterns: 500,
};

/** Lines that were held back. */
export interface Suppressed {
  /** What the lines have in common. */
  readonly pattern: string;
  readonly lines: number;
}

interface PatternWindow {
  readonly startedAtMs: number;
  lines: number;
}

/** Counts lines by pattern within windows of time. */
export class LogRateLimit {
  readonly #rate: LogRate;
  readonly #windows = new Map<string, PatternWindow>();

  /** @param rate What is allowed. */
  constructor(rate: LogRate = DEFAULT_LOG_RATE) {
    this.#rate = rate;
  }

  /**
   * Counts a line.
   *
   * @param pattern What it has in common with its like.
   * @param nowMs The time.
   * @returns Whether it may be written.
   */
  allow(pattern: string, nowMs: number): boolean {
    const window = this.#windows.get(pattern);
    if (window !== undefined) {
      window.lines++;
      return window.lines <= this.#rate.maxLines;
    }
    if (this.#windows.size >= this.#rate.maxPatterns) {
      return false;
    }
    this.#windows.set(pattern, { startedAtMs: nowMs, lines: 1 });
    return true;
  }

  /**
   * Closes windows that are over.
   *
   * @param nowMs The time.
   * @returns What they held back.
   */
  closeWindows(nowMs: number): Suppressed[] {
    const suppressed: Suppressed[] = [];
    for (const [pattern, window] of this.#windows) {
      if (!this.#isOver(window, nowMs)) {
        // Windows are kept in the order in which they began.
        break;
      }
      const lines = this.closeWindow(pattern, nowMs);
      if (lines > 0) {
        suppressed.push({ pattern, lines });
      }
    }
    return suppressed;
  }

  /**
   * Closes one pattern's window, if it is over.
   *
   * @param pattern The pattern.
   * @param nowMs The time.
   * @returns How many lines it held back.
   */
  closeWindow(pattern: string, nowMs: number): number {
    const window = this.#windows.get(pattern);
    if (window === undefined || !this.#isOver(window, nowMs)) {
      return 0;
    }
    this.#windows.delete(pattern);
    return Math.max(0, window.lines - this.#rate.maxLines);
  }

  #isOver(window: PatternWindow, nowMs: number): boolean {
    return nowMs - window.startedAtMs >= this.#rate.windowMs;
  }
}
