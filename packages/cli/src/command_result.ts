/** Results of commands: a report, or a failure with a hint on what to do. */

import { err, type Result } from "neverthrow";
import { ExitCode } from "./exit_code.ts";

/** Result of a command that did what was requested. */
export interface CommandReport {
  /** Text for people. */
  readonly text: string;
  /** Value that `--json` prints. */
  readonly json: unknown;
  /** Exit code of the process; defaults to {@link ExitCode.Done}. */
  readonly exitCode?: ExitCode;
}

/** Why a command did not do what was requested. */
export interface CommandFailure {
  readonly exitCode: Exclude<ExitCode, ExitCode.Done>;
  readonly message: string;
  /** Hint on what the operator can do next. */
  readonly next: string;
  /** Further fields of the JSON output. */
  readonly detail?: Readonly<Record<string, unknown>>;
}

/** Report or failure of a command. */
export type CommandResult = Result<CommandReport, CommandFailure>;

/** A {@link CommandFailure} without its exit code. */
export type FailureText = Omit<CommandFailure, "exitCode">;

/**
 * Creates a failure with {@link ExitCode.Failed}.
 *
 * @param text What failed, and what to do next.
 * @returns A failure that changed nothing.
 */
export function failed(text: FailureText) {
  return err<never, CommandFailure>({ exitCode: ExitCode.Failed, ...text });
}

/**
 * Creates a failure with {@link ExitCode.BadInput}.
 *
 * @param text What is wrong with the input, and what to do next.
 * @returns A failure that occurred before anything was attempted.
 */
export function badInput(text: FailureText) {
  return err<never, CommandFailure>({ exitCode: ExitCode.BadInput, ...text });
}

/**
 * Creates a failure with {@link ExitCode.OutcomeUnknown}.
 *
 * @param text What is unknown, and how to find it out.
 * @returns The failure of a command that may have taken effect.
 */
export function outcomeUnknown(text: FailureText) {
  return err<never, CommandFailure>({
    exitCode: ExitCode.OutcomeUnknown,
    ...text,
  });
}
