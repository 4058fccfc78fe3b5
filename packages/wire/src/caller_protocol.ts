/**
 * The HTTP protocol between callers and entry instances.
 *
 * `POST /v1/requests` sends a request; `GET /v1/requests/{requestId}` returns
 * its state; `GET /healthz` and `GET /readyz` return health and readiness.
 * A whole answer is one JSON body; with `stream: true` it is NDJSON that always
 * ends with one `final` or one `error` event.
 */

import * as z from "zod";
import { ErrorKind, RunState } from "./shared_types.ts";

/** Body of `POST /v1/requests`. */
export const callerRequestSchema = z.strictObject({
  workspace: z.string().min(1),
  tier: z.string().min(1),
  pool: z.string().min(1),
  /** Prompt for engines, body for services. */
  body: z.string(),
  /** Length in tokens; estimated from the body where absent. */
  promptTokens: z.number().int().positive().optional(),
  maxOutputTokens: z.number().int().positive().optional(),
  /** Deadline of the answer, counted from receipt of the request. */
  deadlineMs: z.number().int().positive().optional(),
  /** False where the work must not run twice. */
  idempotent: z.boolean().optional(),
  idempotencyKey: z.string().min(1).max(200).optional(),
  /** True where the caller has never sent this idempotency key before. */
  firstAttempt: z.boolean().optional(),
  stream: z.boolean().optional(),
});

/** A request as its caller sent it, validated. */
export type CallerRequest = z.infer<typeof callerRequestSchema>;

/** A whole answer to a request. */
export const callerAnswerSchema = z.strictObject({
  requestId: z.string(),
  text: z.string(),
  outputTokens: z.number().int().nonnegative(),
  targetId: z.string(),
  waitedMs: z.number().nonnegative(),
  totalMs: z.number().nonnegative(),
});

/** The answer to a request that ran, with its timing. */
export type CallerAnswer = z.infer<typeof callerAnswerSchema>;

/** Body of a refusal; `ran` always states whether the request ran. */
export const callerRefusalSchema = z.strictObject({
  requestId: z.string(),
  error: z.enum(ErrorKind),
  ran: z.enum(RunState),
  /** What failed, for which value, and what the caller can do. */
  message: z.string(),
  /** Path of the invalid field, for invalid input. */
  path: z.string().optional(),
  mayRetry: z.boolean(),
  retryAfterMs: z.number().nonnegative().optional(),
  /** Steps of the request's processing, in order. */
  callLog: z.array(z.string()),
});

/** A refusal of a request, with its reason and whether a retry is allowed. */
export type CallerRefusal = z.infer<typeof callerRefusalSchema>;

/** Kinds of event in a streamed answer. */
export enum CallerEventKind {
  Text = "text",
  Final = "final",
  Error = "error",
}

/** One event of a streamed answer, sent as one NDJSON line. */
export const callerEventSchema = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal(CallerEventKind.Text), text: z.string() }),
  z.strictObject({
    kind: z.literal(CallerEventKind.Final),
    answer: callerAnswerSchema.omit({ text: true }),
  }),
  z.strictObject({
    kind: z.literal(CallerEventKind.Error),
    refusal: callerRefusalSchema,
  }),
]);

/** One event of a streamed answer: text, the final answer or an error. */
export type CallerEvent = z.infer<typeof callerEventSchema>;

/** Name of the response header that carries the request's id. */
export const REQUEST_ID_HEADER = "x-request-id";
