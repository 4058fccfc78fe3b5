/** Stages of an instance's graceful shutdown, as callers see them. */

/** Current stage of a graceful shutdown. */
export enum ShutdownStage {
  /** The instance is not shutting down. */
  Open = "open",
  /** Requests are served, and connections close after their answers. */
  Announcing = "announcing",
  /** Requests that still arrive are refused: they could not finish. */
  Refusing = "refusing",
}
