/**
 * The HTTP protocol between entry instances and targets: model engines and
 * plain services.
 *
 * Engine paths: `POST /v1/generate` (NDJSON stream of {@link EngineEvent}),
 * `GET /v1/resume?requestId=&attemptNonce=&fromToken=` (the same stream from a
 * given token on), `POST /v1/cancel`, `GET /v1/load`,
 * `GET /v1/cache-events?after=`, `POST /v1/orders`, `GET /v1/state`.
 * Service paths: `POST /v1/call`, `GET /v1/load`.
 */

import * as z from "zod";
import { targetLoadSchema } from "./shared_types.ts";

/** Body of `POST /v1/generate`. */
export const generateRequestSchema = z.strictObject({
  requestId: z.string(),
  attemptNonce: z.string(),
  model: z.string(),
  prompt: z.string(),
  promptTokens: z.number().int().nonnegative(),
  maxOutputTokens: z.number().int().positive(),
  /** Idempotency key, by which a target can count the runs of a request. */
  idempotencyKey: z.string().optional(),
  /** Hashes of the prompt's leading blocks, first block first. */
  blockHashes: z.array(z.string()),
});

/** A request for an engine to generate an answer to a prompt. */
export type GenerateRequest = z.infer<typeof generateRequestSchema>;

/** Body of `POST /v1/call` on a plain service. */
export const serviceCallSchema = z.strictObject({
  requestId: z.string(),
  attemptNonce: z.string(),
  idempotencyKey: z.string().optional(),
  body: z.string(),
});

/** A call of a plain service. */
export type ServiceCall = z.infer<typeof serviceCallSchema>;

/** Answer to `POST /v1/call`; `complete` marks that nothing is cut off. */
export const serviceAnswerSchema = z.strictObject({
  requestId: z.string(),
  attemptNonce: z.string(),
  body: z.string(),
  complete: z.literal(true),
});

/** The answer of a plain service, naming the attempt it answers. */
export type ServiceAnswer = z.infer<typeof serviceAnswerSchema>;

/** Kinds of event in an engine's stream. */
export enum EngineEventKind {
  Start = "start",
  Token = "token",
  End = "end",
  Error = "error",
}

const attemptFields = { requestId: z.string(), attemptNonce: z.string() };

/** One NDJSON line of an engine's stream, naming the attempt it answers. */
export const engineEventSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal(EngineEventKind.Start),
    ...attemptFields,
    cachedTokens: z.number().int().nonnegative(),
    prefilledTokens: z.number().int().nonnegative(),
  }),
  z.strictObject({
    kind: z.literal(EngineEventKind.Token),
    ...attemptFields,
    /** Position of the token in the answer, from 0 without gaps. */
    index: z.number().int().nonnegative(),
    text: z.string(),
    /** Number of tokens in `text`; 1 where absent. */
    tokens: z.number().int().positive().optional(),
  }),
  z.strictObject({
    kind: z.literal(EngineEventKind.End),
    ...attemptFields,
    outputTokens: z.number().int().nonnegative(),
  }),
  z.strictObject({
    kind: z.literal(EngineEventKind.Error),
    ...attemptFields,
    message: z.string(),
    /** True only when the engine certainly did no work for this attempt. */
    notRun: z.boolean(),
  }),
]);

/** One event of an engine's stream: start, token, end or error. */
export type EngineEvent = z.infer<typeof engineEventSchema>;

/** Body of `POST /v1/cancel`, whose answer is `{cancelled: boolean}`. */
export const cancelRequestSchema = z.strictObject(attemptFields);

/** A request to cancel one attempt on an engine. */
export type CancelRequest = z.infer<typeof cancelRequestSchema>;

/** Answer to `GET /v1/load`. */
export const loadAnswerSchema = targetLoadSchema;

/** Changes of an engine's prefix cache. */
export enum CacheEventKind {
  Stored = "stored",
  Evicted = "evicted",
}

/** Answer to `GET /v1/cache-events`. Sequence numbers may have gaps. */
export const cacheEventsAnswerSchema = z.strictObject({
  events: z.array(z.strictObject({
    sequence: z.number().int().nonnegative(),
    kind: z.enum(CacheEventKind),
    blockHash: z.string(),
  })),
  /** Value to pass as `after` in the next call. */
  lastSequence: z.number().int().nonnegative(),
});

/** Changes of an engine's prefix cache since an earlier sequence number. */
export type CacheEventsAnswer = z.infer<typeof cacheEventsAnswerSchema>;

/** Kinds of order that an engine accepts. */
export enum OrderKind {
  LoadModel = "load_model",
  LoadAdapter = "load_adapter",
  SetVersion = "set_version",
  SetRole = "set_role",
}

/** Body of `POST /v1/orders`. */
export const orderRequestSchema = z.strictObject({
  orderId: z.string(),
  fencingNumber: z.number().int().nonnegative(),
  kind: z.enum(OrderKind),
  value: z.string(),
});

/** An order to an engine, with the fencing number of its sender. */
export type OrderRequest = z.infer<typeof orderRequestSchema>;

/**
 * An engine's current model, adapter, version and role. Answer to
 * `GET /v1/state`, and part of the answer to an order.
 */
export const engineStateSchema = z.strictObject({
  targetId: z.string(),
  model: z.string(),
  adapter: z.string(),
  version: z.string(),
  role: z.string(),
  /** Highest fencing number obeyed; 0 where the engine ignores them. */
  fencingNumber: z.number().int().nonnegative(),
  lastOrderId: z.string(),
});

/** What an engine has loaded, and the last order it obeyed. */
export type EngineState = z.infer<typeof engineStateSchema>;

/**
 * Answer to `POST /v1/orders`: 200 when obeyed, 409 when refused for an
 * outdated fencing number.
 */
export const orderAnswerSchema = z.strictObject({
  obeyed: z.boolean(),
  state: engineStateSchema,
});

/** Whether an engine obeyed an order, and its state afterwards. */
export type OrderAnswer = z.infer<typeof orderAnswerSchema>;
