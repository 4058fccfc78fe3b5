/** Speaks the protocol of model engines: streams, resume, cancel. */

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

const REASON_BAD_EVENT = "line is not an engine event";
const REASON_TOO_LARGE = "stream too large";

/** Adapter for engines. */
export class EngineAdapter implements TargetAdapter {
  /** @inheritdoc */
  dispatch(attempt: OutgoingAttempt): HttpRequest {
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
    return post("/v1/generate", body);
  }

  /** @inheritdoc */
  resume(attempt: AttemptRef, fromToken: number): HttpRequest {
    const query = new URLSearchParams({
      requestId: attempt.requestId,
      attemptNonce: attempt.attemptNonce,
      fromToken: String(fromToken),
    });
    return { method: "GET", path: `/v1/resume?${query}` };
  }

  /** @inheritdoc */
  cancel(attempt: AttemptRef): HttpRequest {
    const body: CancelRequest = {
      requestId: attempt.requestId,
      attemptNonce: attempt.attemptNonce,
    };
    return post("/v1/cancel", body);
  }

  /** @inheritdoc */
  reader(sink: AnswerSink, limits: AnswerLimits): AnswerReader {
    return new EngineStreamReader(sink, limits);
  }
}

class EngineStreamReader implements AnswerReader {
  readonly #sink: AnswerSink;
  readonly #limits: AnswerLimits;
  readonly #lines: NdjsonReader;
  #bytes = 0;
  #badEvent = false;

  constructor(sink: AnswerSink, limits: AnswerLimits) {
    this.#sink = sink;
    this.#limits = limits;
    this.#lines = new NdjsonReader(limits.maxLineBytes);
  }

  push(chunk: Buffer): string {
    this.#bytes += chunk.length;
    if (this.#bytes > this.#limits.maxBodyBytes) {
      return REASON_TOO_LARGE;
    }
    const read = this.#lines.push(chunk, (value) => this.#take(value));
    return this.#verdict(read.isErr() ? read.error : "");
  }

  end(): string {
    const read = this.#lines.end((value) => this.#take(value));
    return this.#verdict(read.isErr() ? read.error : "");
  }

  #take(value: unknown): void {
    if (this.#badEvent) {
      return;
    }
    const event = engineEventSchema.safeParse(value);
    if (event.success) {
      this.#sink.streamEvent(event.data);
    } else {
      this.#badEvent = true;
    }
  }

  #verdict(fault: string): string {
    return this.#badEvent ? REASON_BAD_EVENT : fault;
  }
}

function post(path: string, body: unknown): HttpRequest {
  return { method: "POST", path, body: JSON.stringify(body) };
}
