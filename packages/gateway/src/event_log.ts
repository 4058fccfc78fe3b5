/**
 * The log: a JSON line for each decision on a request and each change of
 * belief. Lines beyond a bound are left out and counted, and a reader that is
 * slow never holds up the process.
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

/** Facts of a line, beside its message. */
export type LogFacts = Readonly<
  Record<string, string | number | boolean | readonly string[] | undefined>
>;

/**
 * Lines a second. A busy instance of the target size serves about 50 requests
 * a second, with four lines each, and news beside them.
 */
const MAX_LINES_PER_S = 300;
const MS_PER_S = 1000;

/** Writes the lines. */
export class EventLog {
  readonly #clock: Clock;
  readonly #output: LogOutput;
  readonly #winston: winston.Logger;
  #windowBeganAtMs = -Infinity;
  #linesInWindow = 0;
  #leftOut = 0;

  /**
   * @param clock The instance's clock.
   * @param instanceId Named in each line.
   * @param output Where lines go; standard output where absent.
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
   * Writes a line.
   *
   * @param part The part it comes from.
   * @param message A short sentence, the same for every line of its kind.
   * @param facts What the decision or belief rests on.
   */
  info(part: LogPart, message: string, facts: LogFacts = {}): void {
    this.#write("info", { part, message, facts });
  }

  /**
   * Writes a line about something that went wrong.
   *
   * @param part The part it comes from.
   * @param message A short sentence, the same for every line of its kind.
   * @param facts What is known of it.
   */
  warn(part: LogPart, message: string, facts: LogFacts = {}): void {
    this.#write("warn", { part, message, facts });
  }

  /** Writes what was gathered; the process may end now. */
  flush(): void {
    this.#output.flush();
  }

  #write(
    level: string,
    line: { part: LogPart; message: string; facts: LogFacts },
  ): void {
    const atMs = Math.round(this.#clock.nowMs());
    if (!this.#hasRoom(atMs)) {
      this.#leftOut++;
      return;
    }
    const { part, message, facts } = line;
    const leftOut = this.#leftOut === 0 ? undefined : this.#leftOut;
    this.#leftOut = 0;
    this.#winston.log({ level, atMs, part, message, leftOut, ...facts });
  }

  #hasRoom(atMs: number): boolean {
    if (atMs - this.#windowBeganAtMs >= MS_PER_S) {
      this.#windowBeganAtMs = atMs;
      this.#linesInWindow = 0;
    }
    this.#linesInWindow++;
    return this.#linesInWindow <= MAX_LINES_PER_S && this.#output.hasRoom;
  }
}
