/** What a command hands back: a report, or a failure with what to do next. */

import { err, type Result } from "neverthrow";
import { ExitCode } from "./exit_code.ts";

/** What a command found or did. */
export interface CommandReport {
  /** For people, without a line feed at its end. */
  readonly text: string;
  /** For programs, printed with `--json`. */
  readonly json: unknown;
  /** Done where absent. */
  readonly exitCode?: ExitCode;
}

/** Why a command did not do what it was asked for. */
export interface CommandFailure {
  readonly exitCode: Exclude<ExitCode, ExitCode.Done>;
  readonly message: string;
  /** What the operator can do now. */
  readonly next: string;
  /** More for programs. */
  readonly detail?: Readonly<Record<string, unknown>>;
}

/** How a command ended. */
export type CommandResult = Result<CommandReport, CommandFailure>;

/** A failure's words. */
export type FailureText = Omit<CommandFailure, "exitCode">;

/**
 * @param text What failed, and what to do next.
 * @returns A failure that left nothing changed.
 */
export function failed(text: FailureText) {
  return err<never, CommandFailure>({ exitCode: ExitCode.Failed, ...text });
}

/**
 * @param text What is wrong with the input, and what to do next.
 * @returns A failure before anything was tried.
 */
export function badInput(text: FailureText) {
  return err<never, CommandFailure>({ exitCode: ExitCode.BadInput, ...text });
}

/**
 * @param text What is in doubt, and how to settle it.
 * @returns A failure that may have taken effect.
 */
export function outcomeUnknown(text: FailureText) {
  return err<never, CommandFailure>({
    exitCode: ExitCode.OutcomeUnknown,
    ...text,
  });
}
