/** Fault switches of target stand-ins: bodies of `POST /standin/faults`. */

import * as z from "zod";
import type { AttemptRef } from "./engine_stream.ts";

/** What can be made to go wrong. */
export enum TargetFaultKind {
  /** Cut the next streams after some tokens; they can be resumed. */
  BreakStream = "break_stream",
  /** Take the next requests, then cut before any byte of an answer. */
  DropBeforeAnswer = "drop_before_answer",
  /** Run the next calls, then cut instead of answering (services). */
  CutAfterRun = "cut_after_run",
  /** Answer the next requests with another request's ids. */
  CrossAnswers = "cross_answers",
  /** Send the end event of the next streams twice. */
  DuplicateEnd = "duplicate_end",
  /** Hold all answers back. */
  DelayAnswers = "delay_answers",
  RefuseOrders = "refuse_orders",
  /** Work slower; factor 1 heals. */
  Straggle = "straggle",
  /** Report that the target is leaving. */
  Leave = "leave",
  /** Lose everything and refuse connections. */
  Die = "die",
}

/** Faults that apply to a number of requests. */
export type CountedFaultKind =
  | TargetFaultKind.BreakStream
  | TargetFaultKind.DropBeforeAnswer
  | TargetFaultKind.CutAfterRun
  | TargetFaultKind.CrossAnswers
  | TargetFaultKind.DuplicateEnd;

/** Sent by crossed answers when no other request is at hand. */
const UNKNOWN_ATTEMPT: AttemptRef = {
  requestId: "unknown-request",
  attemptNonce: "unknown-attempt",
};

const times = z.number().int().nonnegative();

/** One fault to switch. */
export const targetFaultSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal(TargetFaultKind.BreakStream),
    times,
    afterTokens: z.number().int().nonnegative(),
  }),
  z.strictObject({ kind: z.literal(TargetFaultKind.DropBeforeAnswer), times }),
  z.strictObject({ kind: z.literal(TargetFaultKind.CutAfterRun), times }),
  z.strictObject({ kind: z.literal(TargetFaultKind.CrossAnswers), times }),
  z.strictObject({ kind: z.literal(TargetFaultKind.DuplicateEnd), times }),
  z.strictObject({
    kind: z.literal(TargetFaultKind.DelayAnswers),
    delayMs: z.number().nonnegative(),
  }),
  z.strictObject({
    kind: z.literal(TargetFaultKind.RefuseOrders),
    on: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal(TargetFaultKind.Straggle),
    factor: z.number().positive(),
  }),
  z.strictObject({
    kind: z.literal(TargetFaultKind.Leave),
    leaving: z.boolean(),
  }),
  z.strictObject({ kind: z.literal(TargetFaultKind.Die) }),
]);
export type TargetFault = z.infer<typeof targetFaultSchema>;

/** The faults of one target that are switched on. */
export class ActiveFaults {
  /** Position of the token at which streams break. */
  breakAfterTokens = 0;
  /** How long answers are held back. */
  delayMs = 0;
  refusesOrders = false;
  readonly #left = new Map<CountedFaultKind, number>();
  #lastAttempt = UNKNOWN_ATTEMPT;

  /**
   * Sets how often a fault applies from now on.
   *
   * @param kind The fault.
   * @param count To how many requests it applies.
   */
  set(kind: CountedFaultKind, count: number): void {
    this.#left.set(kind, count);
  }

  /**
   * Counts one request towards a fault.
   *
   * @param kind The fault.
   * @returns Whether the fault applies to the request.
   */
  take(kind: CountedFaultKind): boolean {
    const left = this.#left.get(kind) ?? 0;
    this.#left.set(kind, Math.max(0, left - 1));
    return left > 0;
  }

  /**
   * Counts one attempt towards crossed answers.
   *
   * @param attempt The attempt.
   * @returns Ids to send in place of its own, if the fault applies to it.
   */
  takeCrossing(attempt: AttemptRef): AttemptRef | undefined {
    const previous = this.#lastAttempt;
    const { requestId, attemptNonce } = attempt;
    this.#lastAttempt = { requestId, attemptNonce };
    return this.take(TargetFaultKind.CrossAnswers) ? previous : undefined;
  }
}
