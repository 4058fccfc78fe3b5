/**
 * Types shared by all protocols: kinds of target, run states, reasons for a
 * refusal, and the load report of a target.
 */

import * as z from "zod";

/** Kinds of back end that a target can be. */
export enum TargetKind {
  /**
   * A model engine: it streams tokens, supports cancel and resume, has a prefix
   * cache and accepts orders.
   */
  Engine = "engine",
  /** A plain service: one call with one answer, without cancel. */
  Service = "service",
}

/** Whether a target ran a request, as reported to its caller. */
export enum RunState {
  /** The request certainly did not run and will not run. */
  NotRun = "not_run",
  /** The request was sent to a target, and its outcome is unknown. */
  MayHaveRun = "may_have_run",
  /** The request ran. */
  Ran = "ran",
}

/** Reasons for refusing a request. The list is complete. */
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

/** The load of one target, as load reports and gossip carry it. */
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

/** A target's report of its own load, always out of date by `ageMs` or more. */
export type TargetLoad = z.infer<typeof targetLoadSchema>;
