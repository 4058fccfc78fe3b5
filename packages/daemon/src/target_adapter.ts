/** Common interface of the protocols of engines and services. */

import type { Buffer } from "node:buffer";
import type { AttemptRef } from "@chestnuthatch/core/events";
import type { EngineEvent } from "@chestnuthatch/wire/target_protocol";
import type { TargetKind } from "@chestnuthatch/wire/shared_types";
import type { HttpRequest } from "./http_exchange.ts";

/** Data sent with a dispatch that the core's effect does not contain. */
export interface DispatchInput {
  readonly kind: TargetKind;
  /** `host:port` of the target's HTTP interface. */
  readonly address: string;
  readonly body: string;
  /** Model of the request's pool. */
  readonly model: string;
  readonly promptTokens: number;
  /** Hashes of the prompt's blocks, by which an engine finds cached blocks. */
  readonly blockHashes: readonly string[];
  readonly idempotencyKey?: string;
}

/** An attempt with the data to send. */
export interface OutgoingAttempt extends AttemptRef {
  readonly maxOutputTokens: number;
  readonly input: DispatchInput;
}

/** Receives the parts of an answer that an adapter has read. */
export interface AnswerSink {
  /**
   * Handles an event of an engine's stream.
   *
   * @param event The event, with the ids that it was received with.
   */
  onStreamEvent(event: EngineEvent): void;
  /**
   * Handles the answer of a service.
   *
   * @param answered Ids of the attempt that the answer names.
   * @param body Body of the answer.
   */
  onServiceAnswer(answered: AttemptRef, body: string): void;
}

/** Maximum sizes of an answer of a target. */
export interface AnswerLimits {
  /** Maximum size of one line of a stream. */
  readonly maxLineBytes: number;
  /** Maximum size of the whole answer. */
  readonly maxBodyBytes: number;
}

/** Incrementally parses the body of one answer. */
export interface AnswerReader {
  /**
   * Parses the next bytes.
   *
   * @param chunk Bytes that follow those of earlier calls.
   * @returns Reason to stop reading, or an empty string.
   */
  push(chunk: Buffer): string;
  /**
   * Parses the end of the body.
   *
   * @returns Reason why the answer is invalid, or an empty string.
   */
  end(): string;
}

/** Creates the requests and parses the answers of one kind of target. */
export interface TargetAdapter {
  /**
   * Creates the HTTP request that dispatches an attempt.
   *
   * @param attempt Attempt to dispatch.
   * @returns The HTTP request.
   */
  dispatchRequest(attempt: OutgoingAttempt): HttpRequest;
  /**
   * Creates the HTTP request that resumes the stream of an attempt.
   *
   * @param attempt Attempt that has been dispatched.
   * @param fromToken Index of the first token to read.
   * @returns The HTTP request, or `undefined` if this kind cannot resume.
   */
  resumeRequest(
    attempt: AttemptRef,
    fromToken: number,
  ): HttpRequest | undefined;
  /**
   * Creates the HTTP request that cancels an attempt.
   *
   * @param attempt Attempt that has been dispatched.
   * @returns The HTTP request, or `undefined` if this kind cannot cancel.
   */
  cancelRequest(attempt: AttemptRef): HttpRequest | undefined;
  /**
   * Creates a reader for one answer.
   *
   * @param sink Receives the parsed parts of the answer.
   * @param limits Maximum sizes of the answer.
   * @returns The reader.
   */
  createReader(sink: AnswerSink, limits: AnswerLimits): AnswerReader;
}
