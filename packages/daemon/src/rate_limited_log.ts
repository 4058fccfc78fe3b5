/** A log that repeats a line of the same kind only now and then. */

import type { LogLevel, LogPart } from "@chestnuthatch/core/effects";
import type { EdgeContext } from "./ports.ts";

/** One line; lines of the same kind share a limit. */
export interface LimitedLine {
  /** From a closed list, so that the table of kinds stays small. */
  readonly lineKind: string;
  readonly level: LogLevel;
  readonly text: string;
}

/** Where the lines go, and how often. */
export interface RateLimitedLogOptions {
  readonly part: LogPart;
  /** Least time between two lines of one kind. */
  readonly intervalMs: number;
}

interface KindState {
  readonly lastWrittenMs: number;
  suppressed: number;
}

/** Writes at most one line of each kind in an interval, and counts the rest. */
export class RateLimitedLog {
  readonly #context: EdgeContext;
  readonly #options: RateLimitedLogOptions;
  readonly #states = new Map<string, KindState>();

  /**
   * @param context The edge's clock and log.
   * @param options The part and the interval.
   */
  constructor(context: EdgeContext, options: RateLimitedLogOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** @param line The line to write, unless one of its kind was just written. */
  write(line: LimitedLine): void {
    const nowMs = this.#context.clock.nowMs();
    const state = this.#states.get(line.lineKind);
    if (state && nowMs - state.lastWrittenMs < this.#options.intervalMs) {
      state.suppressed += 1;
      return;
    }
    this.#states.set(line.lineKind, { lastWrittenMs: nowMs, suppressed: 0 });
    const suppressed = state?.suppressed ?? 0;
    const suffix = suppressed > 0 ? ` (${suppressed} more not logged)` : "";
    this.#context.log(line.level, this.#options.part, line.text + suffix);
  }
}
