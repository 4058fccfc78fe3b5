/** What the command line's exit codes stand for. */

/** Every exit code. The list is closed, and scripts may rely on it. */
export enum ExitCode {
  /** What was asked for is done. */
  Done = 0,
  /** It was refused or failed; what was asked for is not in force. */
  Failed = 1,
  /** The arguments, a file or a name are wrong; nothing was tried. */
  BadInput = 2,
  /** It may or may not have taken effect. */
  OutcomeUnknown = 3,
}
