/** Fault injection of target stand-ins, by way of `POST /standin/faults`. */

import * as z from "zod";
import type { AttemptRef } from "./engine_stream.ts";

/** Faults of a target that can be injected. */
export enum TargetFaultKind {
  /** Close the next streams' connections after some tokens; resuming works. */
  BreakStream = "break_stream",
  /** Run the next requests, but close their connections without an answer. */
  DropBeforeAnswer = "drop_before_answer",
  /** Run the next calls, then close instead of answering (services only). */
  CutAfterRun = "cut_after_run",
  /** Answer the next requests with another request's ids. */
  CrossAnswers = "cross_answers",
  /** Send the end event of the next streams twice. */
  DuplicateEnd = "duplicate_end",
  /** Delay all answers. */
  DelayAnswers = "delay_answers",
  /** Refuse all orders. */
  RefuseOrders = "refuse_orders",
  /** Work slower by a factor; factor 1 restores the rates. */
  Straggle = "straggle",
  /** Report that the target is leaving. */
  Leave = "leave",
  /** End the process: lose all work and refuse connections. */
  Die = "die",
}

/** Kinds of faults that apply to a number of requests. */
export type CountedFaultKind =
  | TargetFaultKind.BreakStream
  | TargetFaultKind.DropBeforeAnswer
  | TargetFaultKind.CutAfterRun
  | TargetFaultKind.CrossAnswers
  | TargetFaultKind.DuplicateEnd;

/** Ids of a crossed answer if the target has received no earlier attempt. */
const UNKNOWN_ATTEMPT: AttemptRef = {
  requestId: "unknown-request",
  attemptNonce: "unknown-attempt",
};

const timesSchema = z.number().int().nonnegative();

/** Body of `POST /standin/faults`: a fault to inject or to end. */
export const targetFaultSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal(TargetFaultKind.BreakStream),
    times: timesSchema,
    afterTokens: z.number().int().nonnegative(),
  }),
  z.strictObject({
    kind: z.literal(TargetFaultKind.DropBeforeAnswer),
    times: timesSchema,
  }),
  z.strictObject({
    kind: z.literal(TargetFaultKind.CutAfterRun),
    times: timesSchema,
  }),
  z.strictObject({
    kind: z.literal(TargetFaultKind.CrossAnswers),
    times: timesSchema,
  }),
  z.strictObject({
    kind: z.literal(TargetFaultKind.DuplicateEnd),
    times: timesSchema,
  }),
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
/** A fault of a target to inject or to end. */
export type TargetFault = z.infer<typeof targetFaultSchema>;

/** Faults that are in effect on one target. */
export class ActiveFaults {
  /**
   * Index of the token in whose place {@link TargetFaultKind.BreakStream}
   * closes the connection.
   */
  breakAfterTokens = 0;
  /** Delay of all answers. */
  delayMs = 0;
  /** Whether all orders are refused. */
  refusesOrders = false;
  /** Number of further requests to which each fault applies. */
  readonly #remainingCounts = new Map<CountedFaultKind, number>();
  #lastAttempt = UNKNOWN_ATTEMPT;

  /**
   * Sets the number of requests to which a fault applies from now on.
   *
   * @param kind Kind of the fault.
   * @param count Number of requests.
   */
  set(kind: CountedFaultKind, count: number): void {
    this.#remainingCounts.set(kind, count);
  }

  /**
   * Checks whether a fault applies to the next request, and counts the request.
   *
   * @param kind Kind of the fault.
   * @returns Whether the fault applies to the request.
   */
  consume(kind: CountedFaultKind): boolean {
    const remaining = this.#remainingCounts.get(kind) ?? 0;
    this.#remainingCounts.set(kind, Math.max(0, remaining - 1));
    return remaining > 0;
  }

  /**
   * Checks whether an attempt's answer is crossed, and counts the attempt.
   *
   * @param attempt The attempt.
   * @returns Ids of the previous attempt, to send in place of its own, or
   * undefined if the fault does not apply.
   */
  consumeCrossedAttempt(attempt: AttemptRef): AttemptRef | undefined {
    const previous = this.#lastAttempt;
    const { requestId, attemptNonce } = attempt;
    this.#lastAttempt = { requestId, attemptNonce };
    return this.consume(TargetFaultKind.CrossAnswers) ? previous : undefined;
  }
}
