/** Short HTTP calls: one request, one bounded answer. */

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

/** Bounds of a call. */
export interface CallLimits {
  readonly clock: Clock;
  /** Time until the whole answer must be here. */
  readonly timeoutMs: number;
  readonly maxAnswerBytes: number;
}

/** A whole HTTP answer, of any status. */
export interface HttpAnswer {
  readonly statusCode: number;
  readonly body: Buffer;
}

/** Why no whole answer came. */
export interface CallFault extends ExchangeEnd {
  readonly timedOut: boolean;
}

const REASON_TOO_LARGE = "the answer is too large";

/**
 * Makes one call; it is never sent twice.
 *
 * @param dispatcher The connections to use.
 * @param request What to send.
 * @param limits Its bounds.
 * @returns The answer, or why there is none and whether the request was sent.
 */
export function callHttp(
  dispatcher: Dispatcher,
  request: HttpRequest,
  limits: CallLimits,
): Promise<Result<HttpAnswer, CallFault>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let statusCode = 0;
    const exchange: HttpExchange = new HttpExchange({
      onStatus: (status) => {
        statusCode = status;
      },
      onChunk: (chunk) => {
        chunks.push(chunk);
        bytes += chunk.length;
        if (bytes > limits.maxAnswerBytes) {
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
      clock: limits.clock,
      deadlineAtMs: limits.clock.nowMs() + limits.timeoutMs,
    });
    exchange.start(dispatcher, request);
  });
}
