/** Short HTTP calls: one request with one answer of limited size. */

import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import {
  type ExchangeEnd,
  HttpExchange,
  type HttpRequest,
  REASON_TIMED_OUT,
} from "./http_exchange.ts";
import type { Clock } from "./ports.ts";

/** Clock and limits of a call. */
export interface HttpCallOptions {
  readonly clock: Clock;
  /** Time within which the complete answer must arrive. */
  readonly timeoutMs: number;
  /** Maximum size of the body of the answer. */
  readonly maxAnswerBytes: number;
}

/** A complete HTTP answer, of any status. */
export interface HttpAnswer {
  readonly statusCode: number;
  readonly body: Buffer;
}

/** Failure of a call for which no complete answer arrived. */
export interface HttpCallFault extends ExchangeEnd {
  /** Whether the call exceeded its timeout. */
  readonly timedOut: boolean;
}

const REASON_TOO_LARGE = "the answer is too large";

/**
 * Makes a call; the request is sent at most once.
 *
 * @param dispatcher Connections to use.
 * @param request HTTP request to send.
 * @param options Clock and limits of the call.
 * @returns The answer, or the failure, with whether the request was sent.
 */
export function callHttp(
  dispatcher: Dispatcher,
  request: HttpRequest,
  options: HttpCallOptions,
): Promise<Result<HttpAnswer, HttpCallFault>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytesReceived = 0;
    let statusCode = 0;
    const exchange: HttpExchange = new HttpExchange({
      onStatus: (status) => {
        statusCode = status;
      },
      onChunk: (chunk) => {
        chunks.push(chunk);
        bytesReceived += chunk.length;
        if (bytesReceived > options.maxAnswerBytes) {
          exchange.abort(REASON_TOO_LARGE);
        }
      },
      onEnd: (end) => {
        resolve(
          end.reason === ""
            ? ok({ statusCode, body: Buffer.concat(chunks) })
            : err({ ...end, timedOut: end.reason === REASON_TIMED_OUT }),
        );
      },
    }, {
      clock: options.clock,
      deadlineAtMs: options.clock.nowMs() + options.timeoutMs,
    });
    exchange.start(dispatcher, request);
  });
}
