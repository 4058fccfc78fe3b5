/** The closed table of errors that callers of routed requests can get. */

/** Kinds of error. */
export enum RoutedError {
  /** No configuration is known yet. */
  NoConfiguration = "no_configuration",
  NoRoute = "no_route",
  UnknownKey = "unknown_key",
  BodyTooLarge = "body_too_large",
  HeadTooLarge = "head_too_large",
  /** This instance is shutting down; others are not. */
  Leaving = "leaving",
  /** The workspace has spent its allotment. */
  Allotment = "allotment",
  /** It would wait longer than its caller does. */
  Overload = "overload",
  /** No target can be reached, or none may get it. */
  NoTarget = "no_target",
  /** Targets ended while they ran it. */
  Quarantined = "quarantined",
  /** The time was over before a target got it. */
  TimeoutNotRun = "timeout_not_run",
  /** The time was over; a target may have run it. */
  TimeoutMayHaveRun = "timeout_may_have_run",
  /** Its target gave no whole answer, and it may not run again. */
  AnswerLost = "answer_lost",
}

/** Whether a target may have run the request. */
export enum RanState {
  NotRun = "not_run",
  MayHaveRun = "may_have_run",
}

/** How an error is answered. */
export interface ErrorAnswer {
  readonly status: number;
  readonly ran: RanState;
  /** What a caller reads. */
  readonly text: string;
}

/** Status codes that callers take for a promise that it never runs. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([
  408,
  421,
  429,
  503,
]);

/** Status codes and texts by kind. 429 and 503 promise that it never runs. */
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
  [RoutedError.Quarantined]: {
    status: 503,
    ran: RanState.NotRun,
    text: "Targets ended while they ran this request; it is held back.",
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
