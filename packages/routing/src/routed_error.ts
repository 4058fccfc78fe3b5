/** Closed table of the errors that callers of routed requests can receive. */

/** Kinds of error answered to callers. */
export enum RoutedError {
  /** No configuration is known yet. */
  NoConfiguration = "no_configuration",
  NoRoute = "no_route",
  UnknownKey = "unknown_key",
  /** The path has a character that HTTP does not allow there. */
  InvalidPath = "invalid_path",
  BodyTooLarge = "body_too_large",
  HeadTooLarge = "head_too_large",
  /** The bodies of this instance's requests take too much memory. */
  MemoryExceeded = "memory_exceeded",
  /** This instance is shutting down; others are not. */
  Leaving = "leaving",
  /** The workspace has spent its allotment. */
  Allotment = "allotment",
  /** The predicted wait exceeds the caller's patience. */
  Overload = "overload",
  /** No target can be reached, or none may be given the request. */
  NoTarget = "no_target",
  /** No target of the software version that began the stream is available. */
  VersionGone = "version_gone",
  /** It is not known which software version began the stream. */
  UnknownStream = "unknown_stream",
  /** The caller takes a stream up after an id that no event can have. */
  InvalidEventId = "invalid_event_id",
  /** The caller takes a stream up that may not be resumed. */
  NotResumable = "not_resumable",
  /** Targets' processes ended while they ran the request. */
  Quarantined = "quarantined",
  /** The deadline passed before a target received the request. */
  TimeoutNotRun = "timeout_not_run",
  /** The deadline passed; a target may have run the request. */
  TimeoutMayHaveRun = "timeout_may_have_run",
  /** The target gave no complete answer, and the request may not run again. */
  AnswerLost = "answer_lost",
}

/** Whether a target may have run the request. */
export enum RanState {
  NotRun = "not_run",
  MayHaveRun = "may_have_run",
}

/** Answer to a caller for one kind of error. */
export interface ErrorAnswer {
  readonly status: number;
  readonly ran: RanState;
  /** Text of the answer's body. */
  readonly text: string;
}

/**
 * Status codes that callers take as a guarantee that the request never runs.
 */
export const NOT_RUN_STATUS_CODES: ReadonlySet<number> = new Set([
  408,
  421,
  429,
  503,
]);

/**
 * Answers by kind of error. Status codes 429 and 503 guarantee that the request
 * never runs.
 */
export const ERROR_ANSWERS: Readonly<Record<RoutedError, ErrorAnswer>> = {
  [RoutedError.NoConfiguration]: {
    status: 503,
    ran: RanState.NotRun,
    text: "This instance has no configuration yet.",
  },
  [RoutedError.NoRoute]: {
    status: 404,
    ran: RanState.NotRun,
    text: "No route has this host and path.",
  },
  [RoutedError.UnknownKey]: {
    status: 401,
    ran: RanState.NotRun,
    text: "The key belongs to no workspace.",
  },
  [RoutedError.InvalidPath]: {
    status: 400,
    ran: RanState.NotRun,
    text: "The path has a character that HTTP does not allow there.",
  },
  [RoutedError.BodyTooLarge]: {
    status: 413,
    ran: RanState.NotRun,
    text: "The body is larger than the configured limit.",
  },
  [RoutedError.HeadTooLarge]: {
    status: 431,
    ran: RanState.NotRun,
    text: "The headers are larger than the configured limit.",
  },
  [RoutedError.MemoryExceeded]: {
    status: 503,
    ran: RanState.NotRun,
    text: "This instance holds too many bodies of requests; try again.",
  },
  [RoutedError.Leaving]: {
    status: 503,
    ran: RanState.NotRun,
    text: "This instance is shutting down; ask again on a new connection.",
  },
  [RoutedError.Allotment]: {
    status: 429,
    ran: RanState.NotRun,
    text: "The workspace has spent its allotment.",
  },
  [RoutedError.Overload]: {
    status: 503,
    ran: RanState.NotRun,
    text: "All targets are busy for longer than the caller waits.",
  },
  [RoutedError.NoTarget]: {
    status: 503,
    ran: RanState.NotRun,
    text: "No target can take the request now.",
  },
  [RoutedError.VersionGone]: {
    status: 503,
    ran: RanState.NotRun,
    text: "The stream cannot go on now: no target of the version that began " +
      "it is available. Try again, or begin the stream anew.",
  },
  [RoutedError.UnknownStream]: {
    status: 503,
    ran: RanState.NotRun,
    text: "The stream cannot go on now: it is not known which version began " +
      "it. Try again, or begin the stream anew.",
  },
  [RoutedError.InvalidEventId]: {
    status: 400,
    ran: RanState.NotRun,
    text: "The id of the last event is no number of an event.",
  },
  [RoutedError.NotResumable]: {
    status: 409,
    ran: RanState.NotRun,
    text: "Streams of this route cannot be taken up after an event.",
  },
  [RoutedError.Quarantined]: {
    status: 503,
    ran: RanState.NotRun,
    text:
      "Targets ended while they ran requests like this one; it is held back.",
  },
  [RoutedError.TimeoutNotRun]: {
    status: 503,
    ran: RanState.NotRun,
    text: "The time was over before a target got the request.",
  },
  [RoutedError.TimeoutMayHaveRun]: {
    status: 504,
    ran: RanState.MayHaveRun,
    text: "The time was over; the request may have run.",
  },
  [RoutedError.AnswerLost]: {
    status: 502,
    ran: RanState.MayHaveRun,
    text: "The target gave no whole answer; the request may have run.",
  },
};
