/** Runs commands: prints how each ended and keeps the exit code. */

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

/** Where a command writes. */
export interface CommandOutput {
  /** Results, for people or programs to read. */
  out(text: string): void;
  /** Progress and failures. */
  err(text: string): void;
}

/** What commands are handed. */
export interface CommandServices {
  readonly output: CommandOutput;
  /** Waits, and keeps the process alive meanwhile. */
  readonly sleep: Sleep;
  /** @returns An id that nothing else has. */
  readonly newId: () => string;
}

/** Options that every command has. */
export interface OutputOptions {
  readonly json: boolean;
}

/** @returns The services of a process of its own. */
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

/** Runs the command that was asked for. */
export class CommandRunner {
  readonly services: CommandServices;
  exitCode = ExitCode.Done;

  /** @param services What commands are handed. */
  constructor(services: CommandServices) {
    this.services = services;
  }

  /**
   * Runs a command and prints how it ended.
   *
   * @param options Whether to print JSON.
   * @param run The command.
   */
  async perform(
    options: OutputOptions,
    run: () => Promise<CommandResult> | CommandResult,
  ): Promise<void> {
    const result = await run();
    result.match(
      (report) => this.#report(report, options),
      (failure) => this.#fail(failure, options),
    );
  }

  #report(report: CommandReport, { json }: OutputOptions): void {
    this.exitCode = report.exitCode ?? ExitCode.Done;
    const { output } = this.services;
    output.out(json ? jsonText(report.json) : endLine(report.text));
  }

  #fail(failure: CommandFailure, { json }: OutputOptions): void {
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

function endLine(text: string): string {
  return text === "" || text.endsWith("\n") ? text : `${text}\n`;
}

function jsonText(value: unknown): string {
  return `${JSON.stringify(value, null, 2)}\n`;
}
