/** One attempt inside an engine, and the events that tell its story. */

import {
  type EngineEvent,
  EngineEventKind,
  type GenerateRequest,
} from "@chestnuthatch/wire/target_protocol";
import { answerTextOf, answerTokenOf, promptTailOf } from "./answer_text.ts";
import { fractionOf } from "./randomness.ts";

/** How far an attempt has come. */
export enum StreamPhase {
  /** In the engine's queue, without a slot. */
  Waiting = "waiting",
  /** Holds a slot; its prompt work has not begun. */
  Admitted = "admitted",
  Prefilling = "prefilling",
  Decoding = "decoding",
  Ended = "ended",
}

/** Names one attempt. */
export interface AttemptRef {
  readonly requestId: string;
  readonly attemptNonce: string;
}

/** One attempt inside an engine. */
export interface EngineStream extends AttemptRef {
  readonly promptTail: string;
  readonly promptTokens: number;
  readonly idempotencyKey?: string;
  /** Released once the prompt has been worked. */
  blockHashes: readonly string[];
  /** KV memory it may need at most. */
  readonly reservedKvTokens: number;
  /** Length its answer will have. */
  readonly outputTokens: number;
  phase: StreamPhase;
  cachedTokens: number;
  prefillLeftTokens: number;
  /** The engine's decode clock when its decoding began. */
  startClockTokens: number;
  /** Token events given so far. */
  emittedTokens: number;
  /** Its last event, once ended. */
  end?: EngineEvent;
  endedAtMs: number;
}

const MIN_OUTPUT_SHARE = 0.3;
const OUTPUT_TAG = /\[output=(\d{1,9})\]\s*$/;

/**
 * Makes an identity for maps.
 *
 * @param attempt The attempt.
 * @returns A text that differs for different attempts.
 */
export function attemptKeyOf(attempt: AttemptRef): string {
  return `${attempt.requestId}\n${attempt.attemptNonce}`;
}

/**
 * Makes a stream that waits.
 *
 * @param request The request as it came.
 * @param seed The engine's seed, from which the answer's length follows.
 * @returns The stream.
 */
export function waitingStreamOf(
  request: GenerateRequest,
  seed: number,
): EngineStream {
  return {
    requestId: request.requestId,
    attemptNonce: request.attemptNonce,
    promptTail: promptTailOf(request.prompt),
    promptTokens: request.promptTokens,
    idempotencyKey: request.idempotencyKey,
    blockHashes: request.blockHashes,
    reservedKvTokens: request.promptTokens + request.maxOutputTokens,
    outputTokens: outputTokensOf(request, seed),
    phase: StreamPhase.Waiting,
    cachedTokens: 0,
    prefillLeftTokens: 0,
    startClockTokens: 0,
    emittedTokens: 0,
    endedAtMs: 0,
  };
}

/**
 * Makes the start event of a stream whose prompt has been worked.
 *
 * @param stream The stream.
 * @returns The event.
 */
export function startEventOf(stream: EngineStream): EngineEvent {
  return {
    kind: EngineEventKind.Start,
    ...refOf(stream),
    cachedTokens: stream.cachedTokens,
    prefilledTokens: stream.promptTokens - stream.cachedTokens,
  };
}

/**
 * Makes one token event.
 *
 * @param stream The stream.
 * @param index Position of the token, from 0.
 * @returns The event.
 */
export function tokenEventOf(stream: EngineStream, index: number): EngineEvent {
  const text = answerTokenOf(stream, index);
  return { kind: EngineEventKind.Token, ...refOf(stream), index, text };
}

/**
 * Makes the one token event that carries a whole answer.
 *
 * @param stream The stream.
 * @returns The event.
 */
export function wholeTextEventOf(stream: EngineStream): EngineEvent {
  const text = answerTextOf(stream, stream.outputTokens);
  return { kind: EngineEventKind.Token, ...refOf(stream), index: 0, text };
}

/**
 * Makes the end event of a whole answer.
 *
 * @param stream The stream.
 * @returns The event.
 */
export function endEventOf(stream: EngineStream): EngineEvent {
  const outputTokens = stream.outputTokens;
  return { kind: EngineEventKind.End, ...refOf(stream), outputTokens };
}

/**
 * Makes an error event.
 *
 * @param attempt The attempt that failed.
 * @param error What failed, and whether no work was done.
 * @returns The event.
 */
export function errorEventOf(
  attempt: AttemptRef,
  error: { readonly message: string; readonly notRun: boolean },
): EngineEvent {
  return { kind: EngineEventKind.Error, ...refOf(attempt), ...error };
}

function refOf({ requestId, attemptNonce }: AttemptRef): AttemptRef {
  return { requestId, attemptNonce };
}

function outputTokensOf(request: GenerateRequest, seed: number): number {
  const tag = OUTPUT_TAG.exec(promptTailOf(request.prompt));
  if (tag !== null) {
    return Math.max(1, Math.min(Number(tag[1]), request.maxOutputTokens));
  }
  const fraction = fractionOf(seed, request.requestId);
  const share = MIN_OUTPUT_SHARE + (1 - MIN_OUTPUT_SHARE) * fraction;
  return Math.max(1, Math.round(share * request.maxOutputTokens));
}

/**
 * Tells a stream's story again.
 *
 * @param stream The stream.
 * @param fromToken Position of the first token wanted; from 0 the start event
 * comes too.
 * @param options Whether the whole text comes as one token event.
 * @returns Its events up to now.
 */
export function replayOf(
  stream: EngineStream,
  fromToken: number,
  options: { readonly coalesceTokens: boolean },
): EngineEvent[] {
  const events: EngineEvent[] = [];
  const started = stream.phase === StreamPhase.Decoding ||
    stream.emittedTokens > 0;
  if (started && fromToken === 0) {
    events.push(startEventOf(stream));
  }
  const end = options.coalesceTokens
    ? Math.min(1, stream.emittedTokens)
    : stream.emittedTokens;
  for (let i = fromToken; i < end; i++) {
    events.push(
      options.coalesceTokens
        ? wholeTextEventOf(stream)
        : tokenEventOf(stream, i),
    );
  }
  if (stream.end !== undefined) {
    events.push(stream.end);
  }
  return events;
}
