/**
 * The HTTP protocol of callers.
 *
 * `POST /v1/requests` sends a request; `GET /v1/requests/{requestId}` tells its
 * state; `GET /healthz` and `GET /readyz` tell health and readiness.
 * A whole answer is one JSON body; with `stream: true` it is NDJSON that always
 * ends in one `final` or one `error` event.
 */

import * as z from "zod";
import { ErrorKind, RunState } from "./work.ts";

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
  /** Time the caller will wait, from when the request is received. */
  deadlineMs: z.number().int().positive().optional(),
  /** False for work that must not run twice. */
  idempotent: z.boolean().optional(),
  idempotencyKey: z.string().min(1).max(200).optional(),
  /** True where the caller has never sent this key before. */
  firstAttempt: z.boolean().optional(),
  stream: z.boolean().optional(),
});
export type CallerRequest = z.infer<typeof callerRequestSchema>;

/** A whole answer. */
export const callerAnswerSchema = z.strictObject({
  requestId: z.string(),
  text: z.string(),
  outputTokens: z.number().int().nonnegative(),
  targetId: z.string(),
  waitedMs: z.number().nonnegative(),
  totalMs: z.number().nonnegative(),
});
export type CallerAnswer = z.infer<typeof callerAnswerSchema>;

/** A refusal: always truthful about whether the request ran. */
export const callerRefusalSchema = z.strictObject({
  requestId: z.string(),
  error: z.enum(ErrorKind),
  ran: z.enum(RunState),
  /** What failed, on what, and what to do. */
  message: z.string(),
  /** Path of the field at fault, for bad input. */
  path: z.string().optional(),
  mayRetry: z.boolean(),
  retryAfterMs: z.number().nonnegative().optional(),
  /** What happened to the request, step by step. */
  callLog: z.array(z.string()),
});
export type CallerRefusal = z.infer<typeof callerRefusalSchema>;

/** One NDJSON line of a streamed answer. */
export enum CallerEventKind {
  Text = "text",
  Final = "final",
  Error = "error",
}
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
export type CallerEvent = z.infer<typeof callerEventSchema>;

/** The response header that carries the request's id. */
export const REQUEST_ID_HEADER = "x-request-id";
