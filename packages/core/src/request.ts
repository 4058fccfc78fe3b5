/** Types of a request, its states and its outcomes. */

import type { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";

/** State of a request on its holder, the instance that accepted it. */
export enum RequestState {
  /** Waits for its claim row, or for another holder's answer to its key. */
  Claiming = "claiming",
  /** Has asks at coordinators and waits for a grant. */
  Waiting = "waiting",
  /**
   * Sent to a target. It returns to `Waiting` only where the connection was
   * refused and no byte was sent.
   */
  Dispatched = "dispatched",
  Answered = "answered",
  Refused = "refused",
}

/**
 * A caller's request, validated by the I/O layer, which keeps the body; the
 * scheduler gets only the fields that its decisions depend on.
 */
export interface RequestSpec {
  readonly requestId: string;
  readonly workspace: string;
  readonly tier: string;
  readonly pool: string;
  readonly promptTokens: number;
  readonly maxOutputTokens?: number;
  readonly deadlineMs?: number;
  readonly idempotent?: boolean;
  readonly idempotencyKey?: string;
  /** Whether the caller asserts that no earlier call had this key. */
  readonly firstAttempt?: boolean;
  readonly stream: boolean;
  /** Hash of the fields that determine the answer, to compare reused keys. */
  readonly contentHash: string;
  /** Hashes of the prompt's leading blocks, for prefix caching. */
  readonly blockHashes: readonly string[];
}

/** A complete answer to a request. */
export interface Answer {
  readonly requestId: string;
  readonly text: string;
  readonly outputTokens: number;
  /** The target that gave it. */
  readonly targetId: string;
  /** Time from the request's arrival to its dispatch. */
  readonly waitedMs: number;
  /** Time from the request's arrival to the complete answer. */
  readonly totalMs: number;
}

/** The error that a caller gets instead of an answer. */
export interface Refusal {
  readonly requestId: string;
  readonly error: ErrorKind;
  /** Whether the request may have run; `NotRun` only where that is certain. */
  readonly ran: RunState;
  readonly message: string;
  /** Name of the field that is at fault. */
  readonly path?: string;
  /** Whether sending the call again is safe and can succeed. */
  readonly mayRetry: boolean;
  /** Time to wait before the call is sent again. */
  readonly retryAfterMs?: number;
  /** Steps of the request's processing as texts. */
  readonly callLog: readonly string[];
}

/** The final outcome of a request, of which it has one. */
export type Outcome =
  | { readonly answer: Answer; readonly refusal?: undefined }
  | { readonly refusal: Refusal; readonly answer?: undefined };
