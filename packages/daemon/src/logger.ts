/** The log of an instance, with a prefix for each part of the system. */

import process from "node:process";
import { LogLevel, type LogPart } from "@chestnuthatch/core/effects";
import winston from "winston";
import { type LogRate, LogRateLimit } from "./log_rate_limit.ts";
import type { Clock } from "./ports.ts";

/** Output format of log lines. */
export enum LogFormat {
  Text = "text",
  Json = "json",
}

/** Clock, format, level and output of a {@link Logger}. */
export interface LoggerOptions {
  readonly clock: Clock;
  readonly format: LogFormat;
  /** Lowest level that is written. */
  readonly level: LogLevel;
  /** Added to JSON lines, to distinguish instances in a collected log. */
  readonly instanceId: string;
  /** Stream to write to; standard error where absent. */
  readonly output?: NodeJS.WritableStream;
  /** Rate limit of similar lines; `DEFAULT_LOG_RATE` where absent. */
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

/** Writes log lines, with a rate limit for each pattern of text. */
export class Logger {
  readonly #clock: Clock;
  readonly #winston: winston.Logger;
  readonly #rateLimit: LogRateLimit;

  /** @param options Clock, format, level and output. */
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
   * Writes a line unless its pattern has exceeded the rate limit. Bound to the
   * logger, so it can be passed on as a {@link LogSink}.
   *
   * @param level Severity of the line.
   * @param part Part of the system that the line comes from.
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

  /** Logs how many lines were suppressed in windows that have expired. */
  reportSuppressed(): void {
    this.#report(this.#clock.nowMs());
  }

  /** Logs how many lines were suppressed in all windows, and closes the log. */
  close(): void {
    this.#report(Infinity);
    this.#winston.end();
  }

  #report(nowMs: number): void {
    for (
      const { lineCount, pattern } of this.#rateLimit.closeExpiredWindows(nowMs)
    ) {
      const [prefix, ...words] = pattern.split(" ");
      this.#winston.log(
        LogLevel.Warn,
        `Suppressed ${lineCount} more lines like: ${words.join(" ")}`,
        { part: prefix.slice(1, -1) },
      );
    }
  }
}

/** Masks words with digits, so that lines with other ids share a pattern. */
function patternOf(line: string): string {
  return line.replace(WORD_WITH_DIGIT, "#");
}
