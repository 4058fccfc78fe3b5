/** Keeps one fault from flooding the log. */

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
  /** What the lines have in common, ids and digits removed. */
  readonly pattern: string;
  readonly lines: number;
}

interface PatternWindow {
  readonly startedAtMs: number;
  lines: number;
}

const WORD_WITH_DIGIT = /[\w-]*\d[\w-]*/g;

/** Counts lines by pattern within windows of time. */
export class LogRateLimit {
  readonly #rate: LogRate;
  readonly #windows = new Map<string, PatternWindow>();

  /** @param rate What is allowed. */
  constructor(rate: LogRate = DEFAULT_LOG_RATE) {
    this.#rate = rate;
  }

  /**
   * @param line The line, its prefix included.
   * @param nowMs The time.
   * @returns Whether it may be written.
   */
  allow(line: string, nowMs: number): boolean {
    const pattern = line.replace(WORD_WITH_DIGIT, "#");
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
      if (nowMs - window.startedAtMs < this.#rate.windowMs) {
        // Windows are kept in the order in which they began.
        break;
      }
      this.#windows.delete(pattern);
      if (window.lines > this.#rate.maxLines) {
        suppressed.push({ pattern, lines: window.lines - this.#rate.maxLines });
      }
    }
    return suppressed;
  }
}
