/**
 * The log: a JSON line for each decision on a request and each change of an
 * instance's state. Lines beyond a rate limit are dropped and counted, and a
 * slow reader never blocks the process.
 */

import { Writable } from "node:stream";
import winston from "winston";
import { LogOutput } from "./log_output.ts";
import type { Clock } from "./ports.ts";

/** Part of the gateway that a line comes from. */
export enum LogPart {
  Process = "process",
  Request = "request",
  Placement = "placement",
  Targets = "targets",
  Members = "members",
  Configuration = "configuration",
  Platform = "platform",
  Rollouts = "rollouts",
}

/** Key-value pairs of a log line, written beside its message. */
export type LogFacts = Readonly<
  Record<string, string | number | boolean | readonly string[] | undefined>
>;

/**
 * Rate limit of log lines. A busy instance of the intended size serves about 50
 * requests a second, with four lines each, and logs other events beside them.
 */
const MAX_LINES_PER_S = 300;

/**
 * Rate limit of lines on the life of the process. They are few, and tell what no
 * later line repeats, so that lines on requests do not use their limit up.
 */
const MAX_PROCESS_LINES_PER_S = 50;
const MS_PER_S = 1000;

/** Lines that were written since the start of a second. */
class RateWindow {
  readonly #maxLines: number;
  #startedAtMs = -Infinity;
  #lines = 0;

  /** @param maxLines Lines that may be written within a second. */
  constructor(maxLines: number) {
    this.#maxLines = maxLines;
  }

  /**
   * Counts a line.
   *
   * @param atMs Local time of the line, in milliseconds.
   * @returns Whether it may be written.
   */
  accept(atMs: number): boolean {
    if (atMs - this.#startedAtMs >= MS_PER_S) {
      this.#startedAtMs = atMs;
      this.#lines = 0;
    }
    this.#lines++;
    return this.#lines <= this.#maxLines;
  }
}

/** Writes log lines within a rate limit. */
export class EventLog {
  readonly #clock: Clock;
  readonly #output: LogOutput;
  readonly #winston: winston.Logger;
  readonly #processLines = new RateWindow(MAX_PROCESS_LINES_PER_S);
  readonly #otherLines = new RateWindow(MAX_LINES_PER_S);
  #droppedLines = 0;

  /**
   * @param clock The instance's clock.
   * @param instanceId Id of the instance, part of each line.
   * @param output Stream that lines are written to; standard output by default.
   */
  constructor(
    clock: Clock,
    instanceId: string,
    output?: NodeJS.WritableStream,
  ) {
    this.#clock = clock;
    this.#output = new LogOutput(output);
    const stream = new Writable({
      decodeStrings: false,
      write: (line: string, _encoding, done) => {
        this.#output.write(line);
        done();
      },
    });
    this.#winston = winston.createLogger({
      format: winston.format.json(),
      defaultMeta: { instance: instanceId },
      transports: [
        new winston.transports.Stream({ stream, eol: "" }),
      ],
    });
  }

  /**
   * Writes a line of level `info`.
   *
   * @param part Part of the gateway that logs the line.
   * @param message A short sentence, the same for every line of its kind.
   * @param facts What the decision or the change of state is based on.
   */
  info(part: LogPart, message: string, facts: LogFacts = {}): void {
    this.#write("info", { part, message, facts });
  }

  /**
   * Writes a line of level `warn` about a failure.
   *
   * @param part Part of the gateway that logs the line.
   * @param message A short sentence, the same for every line of its kind.
   * @param facts Details of the failure.
   */
  warn(part: LogPart, message: string, facts: LogFacts = {}): void {
    this.#write("warn", { part, message, facts });
  }

  /** Writes buffered lines at once, for use before the process ends. */
  flush(): void {
    this.#output.flush();
  }

  #write(
    level: string,
    line: { part: LogPart; message: string; facts: LogFacts },
  ): void {
    const atMs = Math.round(this.#clock.nowMs());
    const { part, message, facts } = line;
    if (!this.#mayWriteLine(part, atMs)) {
      this.#droppedLines++;
      return;
    }
    const leftOut = this.#droppedLines === 0 ? undefined : this.#droppedLines;
    this.#droppedLines = 0;
    this.#winston.log({ level, atMs, part, message, leftOut, ...facts });
  }

  #mayWriteLine(part: LogPart, atMs: number): boolean {
    const window = part === LogPart.Process
      ? this.#processLines
      : this.#otherLines;
    return window.accept(atMs) && this.#output.hasCapacity;
  }
}
