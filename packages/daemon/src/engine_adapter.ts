/** Protocol of model engines: streamed answers, resume and cancel. */

import type { Buffer } from "node:buffer";
import type { AttemptRef } from "@chestnuthatch/core/events";
import {
  type CancelRequest,
  engineEventSchema,
  type GenerateRequest,
} from "@chestnuthatch/wire/target_protocol";
import type { HttpRequest } from "./http_exchange.ts";
import { NdjsonReader } from "./ndjson_reader.ts";
import type {
  AnswerLimits,
  AnswerReader,
  AnswerSink,
  OutgoingAttempt,
  TargetAdapter,
} from "./target_adapter.ts";

const REASON_INVALID_EVENT = "line is not an engine event";
const REASON_TOO_LARGE = "stream too large";

/** Adapter for engines, whose streams can be resumed and cancelled. */
export class EngineAdapter implements TargetAdapter {
  /** @inheritdoc */
  dispatchRequest(attempt: OutgoingAttempt): HttpRequest {
    const { input } = attempt;
    const body: GenerateRequest = {
      requestId: attempt.requestId,
      attemptNonce: attempt.attemptNonce,
      model: input.model,
      prompt: input.body,
      promptTokens: input.promptTokens,
      maxOutputTokens: attempt.maxOutputTokens,
      idempotencyKey: input.idempotencyKey,
      blockHashes: [...input.blockHashes],
    };
    return createPostRequest("/v1/generate", body);
  }

  /** @inheritdoc */
  resumeRequest(attempt: AttemptRef, fromToken: number): HttpRequest {
    const query = new URLSearchParams({
      requestId: attempt.requestId,
      attemptNonce: attempt.attemptNonce,
      fromToken: String(fromToken),
    });
    return { method: "GET", path: `/v1/resume?${query}` };
  }

  /** @inheritdoc */
  cancelRequest(attempt: AttemptRef): HttpRequest {
    const body: CancelRequest = {
      requestId: attempt.requestId,
      attemptNonce: attempt.attemptNonce,
    };
    return createPostRequest("/v1/cancel", body);
  }

  /** @inheritdoc */
  createReader(sink: AnswerSink, limits: AnswerLimits): AnswerReader {
    return new EngineStreamReader(sink, limits);
  }
}

class EngineStreamReader implements AnswerReader {
  readonly #sink: AnswerSink;
  readonly #limits: AnswerLimits;
  readonly #lineReader: NdjsonReader;
  #bytesRead = 0;
  #hasInvalidEvent = false;

  constructor(sink: AnswerSink, limits: AnswerLimits) {
    this.#sink = sink;
    this.#limits = limits;
    this.#lineReader = new NdjsonReader(limits.maxLineBytes);
  }

  push(chunk: Buffer): string {
    this.#bytesRead += chunk.length;
    if (this.#bytesRead > this.#limits.maxBodyBytes) {
      return REASON_TOO_LARGE;
    }
    const result = this.#lineReader.push(chunk, (value) => this.#onLine(value));
    return this.#faultReason(result.isErr() ? result.error : "");
  }

  end(): string {
    const result = this.#lineReader.end((value) => this.#onLine(value));
    return this.#faultReason(result.isErr() ? result.error : "");
  }

  #onLine(value: unknown): void {
    if (this.#hasInvalidEvent) {
      return;
    }
    const event = engineEventSchema.safeParse(value);
    if (event.success) {
      this.#sink.onStreamEvent(event.data);
    } else {
      this.#hasInvalidEvent = true;
    }
  }

  #faultReason(fault: string): string {
    return this.#hasInvalidEvent ? REASON_INVALID_EVENT : fault;
  }
}

function createPostRequest(path: string, body: unknown): HttpRequest {
  return { method: "POST", path, body: JSON.stringify(body) };
}
