/** The log: short sentences with a prefix for each part. */

import process from "node:process";
import { LogLevel, type LogPart } from "@chestnuthatch/core/effects";
import winston from "winston";
import { type LogRate, LogRateLimit } from "./log_rate_limit.ts";
import type { Clock } from "./ports.ts";

/** How log lines are written. */
export enum LogFormat {
  Text = "text",
  Json = "json",
}

/** What the log is made of. */
export interface LoggerOptions {
  readonly clock: Clock;
  readonly format: LogFormat;
  /** Least grave level that is written. */
  readonly level: LogLevel;
  /** Told apart in a fleet's collected log. */
  readonly instanceId: string;
  /** The process's standard error where absent. */
  readonly output?: NodeJS.WritableStream;
  readonly rate?: LogRate;
}

const FORMATS: Readonly<Record<LogFormat, winston.Logform.Format>> = {
  [LogFormat.Json]: winston.format.combine(
    winston.format.timestamp(),
    winston.format.json(),
  ),
  [LogFormat.Text]: winston.format.combine(
    winston.format.timestamp(),
    winston.format.printf((line) =>
      `${line.timestamp} ${line.level} [${line.part}] ${line.message}`
    ),
  ),
};

const WORD_WITH_DIGIT = /[\w-]*\d[\w-]*/g;

/** Writes log lines, at a bounded rate for each pattern of text. */
export class Logger {
  readonly #clock: Clock;
  readonly #winston: winston.Logger;
  readonly #rateLimit: LogRateLimit;

  /** @param options Where and how to write. */
  constructor(options: LoggerOptions) {
    this.#clock = options.clock;
    this.#rateLimit = new LogRateLimit(options.rate);
    this.#winston = winston.createLogger({
      level: options.level,
      format: FORMATS[options.format],
      defaultMeta: { instanceId: options.instanceId },
      transports: [
        new winston.transports.Stream({
          stream: options.output ?? process.stderr,
          eol: "\n",
        }),
      ],
    });
  }

  /**
   * Writes a line, unless its like has been written too often lately. It may
   * be passed on as a {@link LogSink} by itself.
   *
   * @param level How grave it is.
   * @param part The part it comes from.
   * @param text A short sentence.
   */
  readonly write = (level: LogLevel, part: LogPart, text: string): void => {
    if (!this.#winston.isLevelEnabled(level)) {
      return;
    }
    this.reportSuppressed();
    const pattern = patternOf(`[${part}] ${text}`);
    if (this.#rateLimit.allow(pattern, this.#clock.nowMs())) {
      this.#winston.log(level, text, { part });
    }
  };

  /** Tells how many lines were held back in windows that are over. */
  reportSuppressed(): void {
    this.#report(this.#clock.nowMs());
  }

  /** Tells what is still held back and closes the log. */
  close(): void {
    this.#report(Infinity);
    this.#winston.end();
  }

  #report(nowMs: number): void {
    for (const { lines, pattern } of this.#rateLimit.closeWindows(nowMs)) {
      const [prefix, ...words] = pattern.split(" ");
      this.#winston.log(
        LogLevel.Warn,
        `Suppressed ${lines} more lines like: ${words.join(" ")}`,
        { part: prefix.slice(1, -1) },
      );
    }
  }
}

/** What lines about different ids and figures have in common. */
function patternOf(line: string): string {
  return line.replace(WORD_WITH_DIGIT, "#");
}
