/** Exit codes of the command line. */

/** Exit codes of the command line. Scripts may rely on this list. */
export enum ExitCode {
  /** The command did what was requested. */
  Done = 0,
  /** The command was refused or failed, and did not take effect. */
  Failed = 1,
  /** An argument, a file or a name is invalid; nothing was attempted. */
  BadInput = 2,
  /** The command may or may not have taken effect. */
  OutcomeUnknown = 3,
}
