/** Runs commands, prints their results and records the exit code. */

import { randomUUID } from "node:crypto";
import process from "node:process";
import { setTimeout as wait } from "node:timers/promises";
import type { Sleep } from "@chestnuthatch/daemon/sleep";
import type {
  CommandFailure,
  CommandReport,
  CommandResult,
} from "./command_result.ts";
import { ExitCode } from "./exit_code.ts";

/** Output streams of a command. */
export interface CommandOutput {
  /** Writes results, for people or programs. */
  out(text: string): void;
  /** Writes progress and failures. */
  err(text: string): void;
}

/** Output, timer and id source that commands use. */
export interface CommandServices {
  readonly output: CommandOutput;
  /** Waits; the process stays alive until the delay has passed. */
  readonly sleep: Sleep;
  /** @returns A unique id. */
  readonly newId: () => string;
}

/** Output options that every command has. */
export interface OutputOptions {
  /** Whether to print the result as JSON. */
  readonly json: boolean;
}

/** @returns Services that use the streams and timers of this process. */
export function processServices(): CommandServices {
  return {
    output: {
      out: (text) => process.stdout.write(text),
      err: (text) => process.stderr.write(text),
    },
    sleep: async (delayMs) => {
      await wait(delayMs);
    },
    newId: randomUUID,
  };
}

/** Runs the requested command and holds its exit code. */
export class CommandRunner {
  readonly services: CommandServices;
  /** Exit code of the last command that ran. */
  exitCode = ExitCode.Done;

  /** @param services Output, timer and id source of the commands. */
  constructor(services: CommandServices) {
    this.services = services;
  }

  /**
   * Runs a command, prints its result and records its exit code.
   *
   * @param options Whether to print JSON.
   * @param run Action of the command.
   */
  async perform(
    options: OutputOptions,
    run: () => Promise<CommandResult> | CommandResult,
  ): Promise<void> {
    const result = await run();
    result.match(
      (report) => this.#printReport(report, options),
      (failure) => this.#printFailure(failure, options),
    );
  }

  #printReport(report: CommandReport, { json }: OutputOptions): void {
    this.exitCode = report.exitCode ?? ExitCode.Done;
    const { output } = this.services;
    output.out(json ? jsonText(report.json) : endWithLineFeed(report.text));
  }

  #printFailure(failure: CommandFailure, { json }: OutputOptions): void {
    const { exitCode, message, next, detail } = failure;
    this.exitCode = exitCode;
    const { output } = this.services;
    if (json) {
      output.out(jsonText({ exitCode, error: message, next, ...detail }));
      return;
    }
    output.err(`${message}\nNext: ${next}\n`);
  }
}

function endWithLineFeed(text: string): string {
  return text === "" || text.endsWith("\n") ? text : `${text}\n`;
}

function jsonText(value: unknown): string {
  return `${JSON.stringify(value, null, 2)}\n`;
}
