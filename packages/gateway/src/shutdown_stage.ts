/** Stages of an instance's graceful shutdown, as seen by callers. */

/** Current stage of an instance's graceful shutdown. */
export enum ShutdownStage {
  /** The instance is not shutting down. */
  Open = "open",
  /** Requests are served, and each answer closes its connection. */
  Announcing = "announcing",
  /** New requests are refused, as they might not finish in time. */
  Refusing = "refusing",
}
