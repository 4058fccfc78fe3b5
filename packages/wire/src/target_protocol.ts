/**
 * The HTTP protocol of targets: model engines and plain services.
 *
 * Engine paths: `POST /v1/generate` (NDJSON stream of {@link EngineEvent}),
 * `GET /v1/resume?requestId=&attemptNonce=&fromToken=` (same stream from a
 * token), `POST /v1/cancel`, `GET /v1/load`, `GET /v1/cache-events?after=`,
 * `POST /v1/orders`, `GET /v1/state`.
 * Service paths: `POST /v1/call`, `GET /v1/load`.
 */

import * as z from "zod";
import { targetLoadSchema } from "./work.ts";

/** Body of `POST /v1/generate`. */
export const generateRequestSchema = z.strictObject({
  requestId: z.string(),
  attemptNonce: z.string(),
  model: z.string(),
  prompt: z.string(),
  promptTokens: z.number().int().nonnegative(),
  maxOutputTokens: z.number().int().positive(),
  /** Idempotency key, sent so that a target may count runs by it. */
  idempotencyKey: z.string().optional(),
  /** Fingerprints of the prompt's blocks, first block first. */
  blockHashes: z.array(z.string()),
});
export type GenerateRequest = z.infer<typeof generateRequestSchema>;

/** Body of `POST /v1/call` on a plain service. */
export const serviceCallSchema = z.strictObject({
  requestId: z.string(),
  attemptNonce: z.string(),
  idempotencyKey: z.string().optional(),
  body: z.string(),
});
export type ServiceCall = z.infer<typeof serviceCallSchema>;

/** Answer of `POST /v1/call`. `complete` is the end marker. */
export const serviceAnswerSchema = z.strictObject({
  requestId: z.string(),
  attemptNonce: z.string(),
  body: z.string(),
  complete: z.literal(true),
});
export type ServiceAnswer = z.infer<typeof serviceAnswerSchema>;

/** One NDJSON line of an engine's stream. */
export enum EngineEventKind {
  Start = "start",
  Token = "token",
  End = "end",
  Error = "error",
}

const ofAttempt = { requestId: z.string(), attemptNonce: z.string() };

/** One line of an engine's stream; every line names the attempt it answers. */
export const engineEventSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal(EngineEventKind.Start),
    ...ofAttempt,
    cachedTokens: z.number().int().nonnegative(),
    prefilledTokens: z.number().int().nonnegative(),
  }),
  z.strictObject({
    kind: z.literal(EngineEventKind.Token),
    ...ofAttempt,
    /** Position of the token in the answer, from 0 without gaps. */
    index: z.number().int().nonnegative(),
    text: z.string(),
    /** Tokens that `text` holds; 1 where absent. */
    tokens: z.number().int().positive().optional(),
  }),
  z.strictObject({
    kind: z.literal(EngineEventKind.End),
    ...ofAttempt,
    outputTokens: z.number().int().nonnegative(),
  }),
  z.strictObject({
    kind: z.literal(EngineEventKind.Error),
    ...ofAttempt,
    message: z.string(),
    /** True only when the engine certainly did no work for this attempt. */
    notRun: z.boolean(),
  }),
]);
export type EngineEvent = z.infer<typeof engineEventSchema>;

/** Body of `POST /v1/cancel`; the answer is `{cancelled: boolean}`. */
export const cancelRequestSchema = z.strictObject(ofAttempt);
export type CancelRequest = z.infer<typeof cancelRequestSchema>;

/** Answer of `GET /v1/load`. */
export const loadAnswerSchema = targetLoadSchema;

/** What an engine's cache event tells. */
export enum CacheEventKind {
  Stored = "stored",
  Evicted = "evicted",
}

/** Answer of `GET /v1/cache-events`. Sequence numbers may have gaps. */
export const cacheEventsAnswerSchema = z.strictObject({
  events: z.array(z.strictObject({
    sequence: z.number().int().nonnegative(),
    kind: z.enum(CacheEventKind),
    blockHash: z.string(),
  })),
  /** Pass as `after` next time. */
  lastSequence: z.number().int().nonnegative(),
});
export type CacheEventsAnswer = z.infer<typeof cacheEventsAnswerSchema>;

/** Orders an engine takes. */
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
export type OrderRequest = z.infer<typeof orderRequestSchema>;

/** What an engine holds now; answer of `GET /v1/state` and of an order. */
export const engineStateSchema = z.strictObject({
  targetId: z.string(),
  model: z.string(),
  adapter: z.string(),
  version: z.string(),
  role: z.string(),
  /** Highest fencing number obeyed, 0 where the engine ignores numbers. */
  fencingNumber: z.number().int().nonnegative(),
  lastOrderId: z.string(),
});
export type EngineState = z.infer<typeof engineStateSchema>;

/** Answer of `POST /v1/orders`: 200 obeyed, 409 refused as an old number. */
export const orderAnswerSchema = z.strictObject({
  obeyed: z.boolean(),
  state: engineStateSchema,
});
export type OrderAnswer = z.infer<typeof orderAnswerSchema>;
