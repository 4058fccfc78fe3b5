/** State of one attempt inside an engine, and the events of its stream. */

import {
  type EngineEvent,
  EngineEventKind,
  type GenerateRequest,
} from "@chestnuthatch/wire/target_protocol";
import {
  renderAnswerText,
  renderAnswerToken,
  slicePromptTail,
} from "./answer_text.ts";
import { seededFraction } from "./seeded_fraction.ts";

/** Phase of an attempt inside an engine. */
export enum StreamPhase {
  /** Queued, without a slot. */
  Waiting = "waiting",
  /** Holds a slot; its prefill has not started. */
  Admitted = "admitted",
  Prefilling = "prefilling",
  Decoding = "decoding",
  Ended = "ended",
}

/** Identifies one attempt to run a request. */
export interface AttemptRef {
  readonly requestId: string;
  readonly attemptNonce: string;
}

/** State of one attempt inside an engine. */
export interface EngineStream extends AttemptRef {
  readonly promptTail: string;
  readonly promptTokens: number;
  readonly idempotencyKey?: string;
  /** Fingerprints of the prompt's blocks; emptied after the prefill. */
  blockHashes: readonly string[];
  /** KV memory reserved for the prompt and the longest possible answer. */
  readonly reservedKvTokens: number;
  /** Length of the answer in tokens. */
  readonly outputTokens: number;
  phase: StreamPhase;
  cachedTokens: number;
  remainingPrefillTokens: number;
  /** Reading of the engine's decode clock when decoding started. */
  decodeStartClockTokens: number;
  /** Tokens emitted so far. */
  emittedTokens: number;
  /** The last event of the stream; undefined until it has ended. */
  endEvent?: EngineEvent;
  endedAtMs: number;
}

const MIN_OUTPUT_SHARE = 0.3;
const OUTPUT_TAG = /\[output=(\d{1,9})\]\s*$/;

/**
 * Creates a map key for an attempt.
 *
 * @param attempt The attempt.
 * @returns A text that is unique to the attempt.
 */
export function toAttemptKey(attempt: AttemptRef): string {
  return `${attempt.requestId}\n${attempt.attemptNonce}`;
}

/**
 * Creates the state of a new attempt, in the waiting phase.
 *
 * @param request The received request.
 * @param seed The engine's seed, which determines the length of the answer
 * together with the request's id.
 * @returns The waiting stream.
 */
export function createWaitingStream(
  request: GenerateRequest,
  seed: number,
): EngineStream {
  return {
    requestId: request.requestId,
    attemptNonce: request.attemptNonce,
    promptTail: slicePromptTail(request.prompt),
    promptTokens: request.promptTokens,
    idempotencyKey: request.idempotencyKey,
    blockHashes: request.blockHashes,
    reservedKvTokens: request.promptTokens + request.maxOutputTokens,
    outputTokens: chooseOutputTokens(request, seed),
    phase: StreamPhase.Waiting,
    cachedTokens: 0,
    remainingPrefillTokens: 0,
    decodeStartClockTokens: 0,
    emittedTokens: 0,
    endedAtMs: 0,
  };
}

/**
 * Creates the start event of a stream whose prefill is complete.
 *
 * @param stream The stream.
 * @returns The event.
 */
export function createStartEvent(stream: EngineStream): EngineEvent {
  return {
    kind: EngineEventKind.Start,
    ...toAttemptRef(stream),
    cachedTokens: stream.cachedTokens,
    prefilledTokens: stream.promptTokens - stream.cachedTokens,
  };
}

/**
 * Creates a token event for a single token.
 *
 * @param stream The stream.
 * @param index Index of the token, from 0.
 * @returns The event.
 */
export function createTokenEvent(
  stream: EngineStream,
  index: number,
): EngineEvent {
  const text = renderAnswerToken(stream, index);
  return { kind: EngineEventKind.Token, ...toAttemptRef(stream), index, text };
}

/**
 * Creates a token event that carries the whole answer.
 *
 * @param stream The stream.
 * @returns The event.
 */
export function createWholeTextEvent(stream: EngineStream): EngineEvent {
  const text = renderAnswerText(stream, stream.outputTokens);
  return {
    kind: EngineEventKind.Token,
    ...toAttemptRef(stream),
    index: 0,
    text,
  };
}

/**
 * Creates the end event of a complete answer.
 *
 * @param stream The stream.
 * @returns The event.
 */
export function createEndEvent(stream: EngineStream): EngineEvent {
  const outputTokens = stream.outputTokens;
  return { kind: EngineEventKind.End, ...toAttemptRef(stream), outputTokens };
}

/**
 * Creates an error event.
 *
 * @param attempt The attempt that failed.
 * @param error The message, and whether the attempt did not run at all.
 * @returns The event.
 */
export function createErrorEvent(
  attempt: AttemptRef,
  error: { readonly message: string; readonly notRun: boolean },
): EngineEvent {
  return { kind: EngineEventKind.Error, ...toAttemptRef(attempt), ...error };
}

function toAttemptRef({ requestId, attemptNonce }: AttemptRef): AttemptRef {
  return { requestId, attemptNonce };
}

function chooseOutputTokens(request: GenerateRequest, seed: number): number {
  const tag = OUTPUT_TAG.exec(slicePromptTail(request.prompt));
  if (tag !== null) {
    return Math.max(1, Math.min(Number(tag[1]), request.maxOutputTokens));
  }
  const fraction = seededFraction(seed, request.requestId);
  const share = MIN_OUTPUT_SHARE + (1 - MIN_OUTPUT_SHARE) * fraction;
  return Math.max(1, Math.round(share * request.maxOutputTokens));
}

/**
 * Recreates the events that a stream has emitted so far.
 *
 * @param stream The stream.
 * @param fromToken Index of the first token to replay; 0 also replays the start
 * event.
 * @param options Whether the whole text is sent as one token event.
 * @returns The events in order.
 */
export function replayStream(
  stream: EngineStream,
  fromToken: number,
  options: { readonly coalesceTokens: boolean },
): EngineEvent[] {
  const events: EngineEvent[] = [];
  const isStarted = stream.phase === StreamPhase.Decoding ||
    stream.emittedTokens > 0;
  if (isStarted && fromToken === 0) {
    events.push(createStartEvent(stream));
  }
  const tokenEventCount = options.coalesceTokens
    ? Math.min(1, stream.emittedTokens)
    : stream.emittedTokens;
  for (let i = fromToken; i < tokenEventCount; i++) {
    events.push(
      options.coalesceTokens
        ? createWholeTextEvent(stream)
        : createTokenEvent(stream, i),
    );
  }
  if (stream.endEvent !== undefined) {
    events.push(stream.endEvent);
  }
  return events;
}
