/** Protocol of services: one call with one answer. */

import { Buffer } from "node:buffer";
import {
  serviceAnswerSchema,
  type ServiceCall,
} from "@chestnuthatch/wire/target_protocol";
import type { HttpRequest } from "./http_exchange.ts";
import { parseJson } from "./ndjson_reader.ts";
import type {
  AnswerLimits,
  AnswerReader,
  AnswerSink,
  OutgoingAttempt,
  TargetAdapter,
} from "./target_adapter.ts";

const REASON_INVALID_ANSWER = "answer is not a service answer";
const REASON_TOO_LARGE = "answer too large";

/** Adapter for services, whose calls cannot be resumed or cancelled. */
export class ServiceAdapter implements TargetAdapter {
  /** @inheritdoc */
  dispatchRequest(attempt: OutgoingAttempt): HttpRequest {
    const call: ServiceCall = {
      requestId: attempt.requestId,
      attemptNonce: attempt.attemptNonce,
      idempotencyKey: attempt.input.idempotencyKey,
      body: attempt.input.body,
    };
    return { method: "POST", path: "/v1/call", body: JSON.stringify(call) };
  }

  /** @inheritdoc */
  resumeRequest(): undefined {
    return undefined;
  }

  /** @inheritdoc */
  cancelRequest(): undefined {
    return undefined;
  }

  /** @inheritdoc */
  createReader(sink: AnswerSink, limits: AnswerLimits): AnswerReader {
    return new ServiceAnswerReader(sink, limits);
  }
}

class ServiceAnswerReader implements AnswerReader {
  readonly #sink: AnswerSink;
  readonly #limits: AnswerLimits;
  readonly #chunks: Buffer[] = [];
  #bytesRead = 0;

  constructor(sink: AnswerSink, limits: AnswerLimits) {
    this.#sink = sink;
    this.#limits = limits;
  }

  push(chunk: Buffer): string {
    this.#bytesRead += chunk.length;
    if (this.#bytesRead > this.#limits.maxBodyBytes) {
      return REASON_TOO_LARGE;
    }
    this.#chunks.push(chunk);
    return "";
  }

  end(): string {
    const json = parseJson(Buffer.concat(this.#chunks).toString("utf8"));
    const answer = serviceAnswerSchema.safeParse(json.unwrapOr(undefined));
    if (!answer.success) {
      return REASON_INVALID_ANSWER;
    }
    const { requestId, attemptNonce, body } = answer.data;
    this.#sink.onServiceAnswer({ requestId, attemptNonce }, body);
    return "";
  }
}
