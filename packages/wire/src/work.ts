/**
 * Vocabulary shared by every protocol: kinds of work, kinds of target, and how
 * a request may end.
 */

import * as z from "zod";

/** What kind of back end a target is. */
export enum TargetKind {
  /** A model engine: tokens, streams, cancel, resume, prefix cache, orders. */
  Engine = "engine",
  /** A plain service: one call, one answer, no cancel. */
  Service = "service",
}

/** Whether a request's work was done, as far as the caller may rely on it. */
export enum RunState {
  /** The request certainly did not run and will not run. */
  NotRun = "not_run",
  /** The request was sent to a target and its outcome is unknown. */
  MayHaveRun = "may_have_run",
  /** The request ran. */
  Ran = "ran",
}

/** Every way a request can be refused. The list is closed. */
export enum ErrorKind {
  BadRequest = "bad_request",
  UnknownWorkspace = "unknown_workspace",
  UnknownTier = "unknown_tier",
  UnknownPool = "unknown_pool",
  UnknownRequest = "unknown_request",
  PromptTooLarge = "prompt_too_large",
  BodyTooLarge = "body_too_large",
  HeadersTooLarge = "headers_too_large",
  TooManyOpenRequests = "too_many_open_requests",
  SlowCaller = "slow_caller",
  KeyReusedDifferently = "key_reused_differently",
  RateLimited = "rate_limited",
  ConcurrencyLimited = "concurrency_limited",
  Overloaded = "overloaded",
  DeadlineUnreachable = "deadline_unreachable",
  DeadlineExceeded = "deadline_exceeded",
  NoTarget = "no_target",
  Preempted = "preempted",
  ClaimHeldElsewhere = "claim_held_elsewhere",
  StoreUnavailable = "store_unavailable",
  TargetFailed = "target_failed",
  TargetRefused = "target_refused",
  AnswerIncomplete = "answer_incomplete",
  CallerGone = "caller_gone",
  ShuttingDown = "shutting_down",
  NotReady = "not_ready",
  Internal = "internal",
}

/** One target as the platform's list, load reports and gossip describe it. */
export const targetLoadSchema = z.strictObject({
  targetId: z.string(),
  /** Age of the figures when the target sent them, in milliseconds. */
  ageMs: z.number().nonnegative(),
  slotsUsed: z.number().int().nonnegative(),
  slotsTotal: z.number().int().nonnegative(),
  kvUsedTokens: z.number().nonnegative(),
  kvTotalTokens: z.number().nonnegative(),
  waitingRequests: z.number().int().nonnegative(),
  leaving: z.boolean(),
});

/** A target's own report of its load. It is always stale. */
export type TargetLoad = z.infer<typeof targetLoadSchema>;
