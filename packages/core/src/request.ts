/** A request as its holder keeps it, and how it may end. */

import type { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";

/** The life of a request on its holder. */
export enum RequestState {
  /** Waiting for a claim row, or for another's answer to the same key. */
  Claiming = "claiming",
  /** Asks are out at coordinators. */
  Waiting = "waiting",
  /** Handed to a target; a request enters this state once, ever. */
  Dispatched = "dispatched",
  Answered = "answered",
  Refused = "refused",
}

/** What a caller asked for, checked at the edge, body left at the edge. */
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
  /** The caller's word that no earlier call had this key. */
  readonly firstAttempt?: boolean;
  readonly stream: boolean;
  /** Hash of everything that makes the request what it is. */
  readonly contentHash: string;
  /** Fingerprints of the prompt's leading blocks. */
  readonly blockHashes: readonly string[];
}

/** A whole answer. */
export interface Answer {
  readonly requestId: string;
  readonly text: string;
  readonly outputTokens: number;
  readonly targetId: string;
  readonly waitedMs: number;
  readonly totalMs: number;
}

/** A truthful refusal. */
export interface Refusal {
  readonly requestId: string;
  readonly error: ErrorKind;
  readonly ran: RunState;
  readonly message: string;
  readonly path?: string;
  readonly mayRetry: boolean;
  readonly retryAfterMs?: number;
  readonly callLog: readonly string[];
}

/** The one final outcome of a request. */
export type Outcome =
  | { readonly answer: Answer; readonly refusal?: undefined }
  | { readonly refusal: Refusal; readonly answer?: undefined };
