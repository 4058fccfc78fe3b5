/** The port behind which engines and services look alike to the client. */

import type { Buffer } from "node:buffer";
import type { AttemptRef } from "@chestnuthatch/core/events";
import type { EngineEvent } from "@chestnuthatch/wire/target_protocol";
import type { TargetKind } from "@chestnuthatch/wire/shared_types";
import type { HttpRequest } from "./http_exchange.ts";

/** What is sent for a request, apart from what the core's effect says. */
export interface DispatchInput {
  readonly kind: TargetKind;
  /** `host:port` of the target's HTTP interface. */
  readonly address: string;
  readonly body: string;
  readonly model: string;
  readonly promptTokens: number;
  readonly blockHashes: readonly string[];
  readonly idempotencyKey?: string;
}

/** One attempt as it is to be sent. */
export interface OutgoingAttempt extends AttemptRef {
  readonly maxOutputTokens: number;
  readonly input: DispatchInput;
}

/** Where an adapter puts what it has read. */
export interface AnswerSink {
  /** @param event A line of an engine's stream, as received. */
  streamEvent(event: EngineEvent): void;
  /**
   * @param answered Ids as the answer names them.
   * @param body The service's answer.
   */
  serviceAnswered(answered: AttemptRef, body: string): void;
}

/** Bounds on what a target may send. */
export interface AnswerLimits {
  readonly maxLineBytes: number;
  readonly maxBodyBytes: number;
}

/** Reads the body of one answer. */
export interface AnswerReader {
  /**
   * @param chunk The next bytes.
   * @returns Why reading has to stop; empty to go on.
   */
  push(chunk: Buffer): string;
  /** @returns What was wrong with the whole; empty when nothing was. */
  end(): string;
}

/** Speaks the protocol of one kind of target. */
export interface TargetAdapter {
  /**
   * @param attempt The attempt.
   * @returns The request that dispatches it.
   */
  dispatch(attempt: OutgoingAttempt): HttpRequest;
  /**
   * @param attempt The attempt, already dispatched.
   * @param fromToken The first token wanted.
   * @returns The request, or nothing where streams cannot be resumed.
   */
  resume(attempt: AttemptRef, fromToken: number): HttpRequest | undefined;
  /**
   * @param attempt The attempt, already dispatched.
   * @returns The request, or nothing where work cannot be cancelled.
   */
  cancel(attempt: AttemptRef): HttpRequest | undefined;
  /**
   * @param sink Told what was read.
   * @param limits Bounds of the answer.
   * @returns A reader for one answer.
   */
  reader(sink: AnswerSink, limits: AnswerLimits): AnswerReader;
}
