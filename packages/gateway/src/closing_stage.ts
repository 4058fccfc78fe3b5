/** Stages of an instance's graceful shutdown, as callers see them. */

/** How far a graceful shutdown has come. */
export enum ClosingStage {
  Open = "open",
  /** Requests are served, and connections close after their answers. */
  Announcing = "announcing",
  /** Requests that still arrive are refused: they could not finish. */
  Refusing = "refusing",
}
