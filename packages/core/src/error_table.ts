/** The table of all error kinds: how each is answered to a caller. */

import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";

/** How one kind of error is answered to a caller. */
export interface ErrorEntry {
  readonly httpStatus: number;
  /** Whether the request may have run, where nothing more exact is known. */
  readonly defaultRun: RunState;
  /**
   * Whether sending the call again can succeed. A call that may have run must
   * also be idempotent or carry an idempotency key.
   */
  readonly mayRetry: boolean;
  /** Advice to the caller, sent with the error. */
  readonly hint: string;
}

/** How each kind of error is answered, by kind. */
export const ERROR_TABLE: Readonly<Record<ErrorKind, ErrorEntry>> = {
  [ErrorKind.BadRequest]: {
    httpStatus: 400,
    defaultRun: RunState.NotRun,
    mayRetry: false,
    hint: "Correct the request; `path` names the field at fault, if it is one.",
  },
  [ErrorKind.UnknownWorkspace]: {
    httpStatus: 404,
    defaultRun: RunState.NotRun,
    mayRetry: false,
    hint: "Name a workspace of the settings.",
  },
  [ErrorKind.UnknownTier]: {
    httpStatus: 404,
    defaultRun: RunState.NotRun,
    mayRetry: false,
    hint: "Name a tier of the settings.",
  },
  [ErrorKind.UnknownPool]: {
    httpStatus: 404,
    defaultRun: RunState.NotRun,
    mayRetry: false,
    hint: "Name a pool of the settings.",
  },
  [ErrorKind.UnknownRequest]: {
    httpStatus: 404,
    defaultRun: RunState.MayHaveRun,
    mayRetry: false,
    hint: "Ask the instance that took the request.",
  },
  [ErrorKind.PromptTooLarge]: {
    httpStatus: 413,
    defaultRun: RunState.NotRun,
    mayRetry: false,
    hint: "Shorten the prompt or lower `maxOutputTokens`.",
  },
  [ErrorKind.BodyTooLarge]: {
    httpStatus: 413,
    defaultRun: RunState.NotRun,
    mayRetry: false,
    hint: "Send a smaller body.",
  },
  [ErrorKind.HeadersTooLarge]: {
    httpStatus: 431,
    defaultRun: RunState.NotRun,
    mayRetry: false,
    hint: "Send fewer or shorter headers.",
  },
  [ErrorKind.TooManyOpenRequests]: {
    httpStatus: 503,
    defaultRun: RunState.NotRun,
    mayRetry: true,
    hint: "Send it again after the hint.",
  },
  [ErrorKind.SlowCaller]: {
    httpStatus: 408,
    defaultRun: RunState.NotRun,
    mayRetry: true,
    hint: "Send the whole request faster.",
  },
  [ErrorKind.KeyReusedDifferently]: {
    httpStatus: 422,
    defaultRun: RunState.NotRun,
    mayRetry: false,
    hint: "Use a new idempotency key for a different request.",
  },
  [ErrorKind.RateLimited]: {
    httpStatus: 429,
    defaultRun: RunState.NotRun,
    mayRetry: true,
    hint: "Send it again after the hint.",
  },
  [ErrorKind.ConcurrencyLimited]: {
    httpStatus: 429,
    defaultRun: RunState.NotRun,
    mayRetry: true,
    hint: "Wait until an open request ends.",
  },
  [ErrorKind.Overloaded]: {
    httpStatus: 503,
    defaultRun: RunState.NotRun,
    mayRetry: true,
    hint: "Send it again after the hint.",
  },
  [ErrorKind.DeadlineUnreachable]: {
    httpStatus: 503,
    defaultRun: RunState.NotRun,
    mayRetry: true,
    hint: "Send it again after the hint, or with a longer deadline.",
  },
  [ErrorKind.DeadlineExceeded]: {
    httpStatus: 504,
    defaultRun: RunState.MayHaveRun,
    mayRetry: true,
    hint: "Look at `ran`; send it again with a longer deadline.",
  },
  [ErrorKind.NoTarget]: {
    httpStatus: 503,
    defaultRun: RunState.NotRun,
    mayRetry: true,
    hint: "Send it again after the hint.",
  },
  [ErrorKind.Preempted]: {
    httpStatus: 503,
    defaultRun: RunState.MayHaveRun,
    mayRetry: true,
    hint: "Send it again after the hint.",
  },
  [ErrorKind.ClaimHeldElsewhere]: {
    httpStatus: 409,
    defaultRun: RunState.MayHaveRun,
    mayRetry: true,
    hint: "Send it again under the same key to get the kept answer.",
  },
  [ErrorKind.StoreUnavailable]: {
    httpStatus: 503,
    defaultRun: RunState.MayHaveRun,
    mayRetry: true,
    hint: "Send it again under the same key after the hint.",
  },
  [ErrorKind.TargetFailed]: {
    httpStatus: 502,
    defaultRun: RunState.MayHaveRun,
    mayRetry: true,
    hint: "Look at `ran`; send it again if it is idempotent.",
  },
  [ErrorKind.TargetRefused]: {
    httpStatus: 502,
    defaultRun: RunState.MayHaveRun,
    mayRetry: true,
    hint: "Look at `ran`; send it again if it is idempotent.",
  },
  [ErrorKind.AnswerIncomplete]: {
    httpStatus: 502,
    defaultRun: RunState.MayHaveRun,
    mayRetry: true,
    hint: "Drop the text received; send it again if it is idempotent.",
  },
  [ErrorKind.CallerGone]: {
    httpStatus: 499,
    defaultRun: RunState.MayHaveRun,
    mayRetry: true,
    hint: "Never sent: the caller hung up. Seen in states and metrics.",
  },
  [ErrorKind.ShuttingDown]: {
    httpStatus: 503,
    defaultRun: RunState.NotRun,
    mayRetry: true,
    hint: "Send it again; the balancer picks another instance.",
  },
  [ErrorKind.NotReady]: {
    httpStatus: 503,
    defaultRun: RunState.NotRun,
    mayRetry: true,
    hint: "Send it again; the balancer picks another instance.",
  },
  [ErrorKind.Internal]: {
    httpStatus: 500,
    defaultRun: RunState.MayHaveRun,
    mayRetry: true,
    hint: "Look at `ran`; report it with the request's id.",
  },
};
