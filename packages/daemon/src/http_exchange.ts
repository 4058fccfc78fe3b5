/**
 * An HTTP request that is sent at most once and reports whether it was sent.
 *
 * undici calls `onRequestStart` synchronously just before it writes the first
 * byte of the request to a connected socket. An exchange that ends before that
 * call certainly sent nothing; after it, the request counts as sent. A second
 * call would be a retry and is aborted before any byte is written.
 */

import type { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import type { Clock } from "./ports.ts";
import { type CancelTimer, NODE_TIMERS, type Timers } from "./timers.ts";

/** Content of an HTTP request. */
export interface HttpRequest {
  readonly method: "GET" | "POST" | "PUT";
  /** Path with query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Body; sent as JSON unless `headers` has another `content-type`. */
  readonly body?: string;
}

/** Result of an exchange. */
export interface ExchangeEnd {
  /** False only if certainly no byte of the request was sent. */
  readonly sent: boolean;
  /** Why the exchange failed; empty if the complete response arrived. */
  readonly reason: string;
}

/** Callbacks of an exchange. */
export interface ExchangeHandlers {
  /**
   * Handles the status of the final response.
   *
   * @param statusCode HTTP status code, 200 or above.
   */
  onStatus(statusCode: number): void;
  /**
   * Handles a part of the body of the response.
   *
   * @param chunk Bytes that follow those of earlier calls.
   */
  onChunk(chunk: Buffer): void;
  /**
   * Handles the end of the exchange. It is called once, as the last callback.
   *
   * @param end Result of the exchange.
   */
  onEnd(end: ExchangeEnd): void;
}

/** Clock, timers and deadlines of an exchange. */
export interface ExchangeTiming {
  readonly clock: Clock;
  /** Timers of Node.js by default. */
  readonly timers?: Timers;
  /** Time on `clock` at which the exchange is aborted, sent or not. */
  readonly deadlineAtMs: number;
  /** Time on `clock` from which the request is no longer sent. */
  readonly sendByAtMs?: number;
}

/** Reason of an exchange that exceeded its deadline. */
export const REASON_TIMED_OUT = "timed out";
/** Reason of an exchange that was queued until after `sendByAtMs`. */
export const REASON_SENT_TOO_LATE = "waited too long to be sent";
const REASON_RETRY = "the connection was lost";

/** Maximum delay of `setTimeout`, which fires at once for longer delays. */
const MAX_TIMER_MS = 2 ** 31 - 1;
const MIN_FINAL_STATUS = 200;

/**
 * Sends one request and reports its response. The deadline applies from
 * construction, even before {@link HttpExchange.start}.
 */
export class HttpExchange implements Dispatcher.DispatchHandler {
  readonly #handlers: ExchangeHandlers;
  readonly #timing: ExchangeTiming;
  readonly #cancelTimer: CancelTimer;
  #controller?: Dispatcher.DispatchController;
  #isSent = false;
  #isEnded = false;
  #resolveSendStartedOrEnded!: () => void;
  /** Settles once sending has started or the exchange has ended. */
  readonly sendStartedOrEnded: Promise<void> = new Promise((resolve) => {
    this.#resolveSendStartedOrEnded = resolve;
  });

  /**
   * @param handlers Callbacks for the response and the end of the exchange.
   * @param timing Clock, timers and deadlines.
   */
  constructor(handlers: ExchangeHandlers, timing: ExchangeTiming) {
    this.#handlers = handlers;
    this.#timing = timing;
    const remainingMs = timing.deadlineAtMs - timing.clock.nowMs();
    this.#cancelTimer = (timing.timers ?? NODE_TIMERS).schedule(
      Math.min(Math.max(remainingMs, 0), MAX_TIMER_MS),
      () => this.abort(REASON_TIMED_OUT),
    );
  }

  /** Whether the exchange has ended. */
  get isEnded(): boolean {
    return this.#isEnded;
  }

  /**
   * Sends the request, unless the exchange has already ended.
   *
   * @param dispatcher Connections to use.
   * @param request HTTP request to send.
   */
  start(dispatcher: Dispatcher, request: HttpRequest): void {
    if (this.#isEnded) {
      return;
    }
    const headers: Record<string, string> = { ...request.headers };
    if (request.body !== undefined) {
      headers["content-type"] ??= "application/json";
    }
    dispatcher.dispatch({
      method: request.method,
      path: request.path,
      headers,
      body: request.body,
      idempotent: false,
      headersTimeout: 0,
      bodyTimeout: 0,
    }, this);
  }

  /**
   * Aborts the exchange; has no effect once it has ended.
   *
   * @param reason Reason to report with the end of the exchange.
   */
  abort(reason: string): void {
    if (this.#isEnded) {
      return;
    }
    this.#finish(reason);
    this.#controller?.abort(new Error(reason));
  }

  /**
   * Called by undici just before it writes the request.
   *
   * @param controller Can abort the request.
   */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    const abortReason = this.#reasonNotToSend();
    if (abortReason !== undefined) {
      this.#finish(abortReason);
      controller.abort(new Error(abortReason));
      return;
    }
    this.#isSent = true;
    this.#resolveSendStartedOrEnded();
  }

  /**
   * Called by undici for each response head, including interim responses.
   *
   * @param _controller Can abort the request.
   * @param statusCode HTTP status code.
   */
  onResponseStart(
    _controller: Dispatcher.DispatchController,
    statusCode: number,
  ): void {
    if (!this.#isEnded && statusCode >= MIN_FINAL_STATUS) {
      this.#handlers.onStatus(statusCode);
    }
  }

  /**
   * Called by undici for each part of the body.
   *
   * @param _controller Can abort the request.
   * @param chunk Bytes of the body.
   */
  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.#isEnded) {
      this.#handlers.onChunk(chunk);
    }
  }

  /** Called by undici at the end of the body. */
  onResponseEnd(): void {
    this.#finish("");
  }

  /**
   * Called by undici if the request fails.
   *
   * @param _controller Can abort the request.
   * @param error Cause of the failure.
   */
  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.#finish(describeError(error));
  }

  #reasonNotToSend(): string | undefined {
    if (this.#isEnded) {
      return REASON_TIMED_OUT;
    }
    if (this.#isSent) {
      return REASON_RETRY;
    }
    // The deadline timer may fire late after a pause of the process, so the
    // clock is checked as well.
    const nowMs = this.#timing.clock.nowMs();
    if (nowMs >= this.#timing.deadlineAtMs) {
      return REASON_TIMED_OUT;
    }
    const sendByAtMs = this.#timing.sendByAtMs ?? Infinity;
    return nowMs >= sendByAtMs ? REASON_SENT_TOO_LATE : undefined;
  }

  #finish(reason: string): void {
    if (this.#isEnded) {
      return;
    }
    this.#isEnded = true;
    this.#cancelTimer();
    this.#resolveSendStartedOrEnded();
    this.#handlers.onEnd({ sent: this.#isSent, reason });
  }
}

/**
 * Describes a network error.
 *
 * @param error Error of a socket or of undici.
 * @returns Its code, or else its message; never empty.
 */
export function describeError(error: Error): string {
  const { code } = error as NodeJS.ErrnoException;
  return code ?? (error.message || "unknown error");
}
