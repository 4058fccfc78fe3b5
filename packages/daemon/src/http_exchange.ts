/**
 * One HTTP request sent at most once, with the certainty whether it was sent.
 *
 * undici calls `onRequestStart` synchronously right before it hands the first
 * byte of the request to a connected socket. An exchange that ends before that
 * call certainly sent nothing; after it, the request counts as sent. A second
 * such call would be a re-send and is aborted before a byte of it is written.
 */

import type { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import type { Clock } from "./ports.ts";
import { type CancelTimer, NODE_TIMERS, type Timers } from "./timers.ts";

/** What to send. */
export interface HttpRequest {
  readonly method: "GET" | "POST" | "PUT";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** How an exchange ended. */
export interface ExchangeEnd {
  /** False only when certainly no byte of the request left. */
  readonly sent: boolean;
  /** Why it ended early; empty when the whole response came. */
  readonly reason: string;
}

/** What an exchange tells while it runs. */
export interface ExchangeHandlers {
  /** @param statusCode Status of the final response. */
  onStatus(statusCode: number): void;
  /** @param chunk Bytes of the body. */
  onChunk(chunk: Buffer): void;
  /** @param end How it ended; called once, and nothing is called after it. */
  onEnd(end: ExchangeEnd): void;
}

/** Times of an exchange on the instance's clock. */
export interface ExchangeTimes {
  readonly clock: Clock;
  /** The runtime's timers by default. */
  readonly timers?: Timers;
  /** When the exchange is cut off, sent or not. */
  readonly deadlineAtMs: number;
  /** After this moment the request is no longer sent. */
  readonly sendByAtMs?: number;
}

/** Reason of an exchange whose time was over. */
export const REASON_TIMED_OUT = "timed out";
/** Reason of an exchange that got its turn too late to be sent. */
export const REASON_SENT_TOO_LATE = "waited too long to be sent";
const REASON_RESEND = "the connection was lost";

const MAX_TIMER_MS = 2 ** 31 - 1;
const FIRST_FINAL_STATUS = 200;

/** An exchange; its timeout runs from its making, also before it is started. */
export class HttpExchange implements Dispatcher.DispatchHandler {
  readonly #handlers: ExchangeHandlers;
  readonly #times: ExchangeTimes;
  readonly #cancelTimer: CancelTimer;
  #controller?: Dispatcher.DispatchController;
  #sent = false;
  #ended = false;
  #onDeparted!: () => void;
  /** Settles when the request has begun to leave, or never will. */
  readonly departed: Promise<void> = new Promise((resolve) => {
    this.#onDeparted = resolve;
  });

  /**
   * @param handlers Told what comes back.
   * @param times When to give up.
   */
  constructor(handlers: ExchangeHandlers, times: ExchangeTimes) {
    this.#handlers = handlers;
    this.#times = times;
    const leftMs = times.deadlineAtMs - times.clock.nowMs();
    this.#cancelTimer = (times.timers ?? NODE_TIMERS).schedule(
      Math.min(Math.max(leftMs, 0), MAX_TIMER_MS),
      () => this.abort(REASON_TIMED_OUT),
    );
  }

  /** @returns Whether it is over. */
  get ended(): boolean {
    return this.#ended;
  }

  /**
   * Sends the request, unless the exchange is over already.
   *
   * @param dispatcher The connections to send it by.
   * @param request What to send.
   */
  start(dispatcher: Dispatcher, request: HttpRequest): void {
    if (this.#ended) {
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

  /** @param reason Why it is cut off; no effect once it is over. */
  abort(reason: string): void {
    if (this.#ended) {
      return;
    }
    this.#end(reason);
    this.#controller?.abort(new Error(reason));
  }

  /** @param controller Aborts the request. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    const refusal = this.#reasonNotToSend();
    if (refusal !== undefined) {
      this.#end(refusal);
      controller.abort(new Error(refusal));
      return;
    }
    this.#sent = true;
    this.#onDeparted();
  }

  /**
   * @param _controller Aborts the request.
   * @param statusCode The status.
   */
  onResponseStart(
    _controller: Dispatcher.DispatchController,
    statusCode: number,
  ): void {
    if (!this.#ended && statusCode >= FIRST_FINAL_STATUS) {
      this.#handlers.onStatus(statusCode);
    }
  }

  /**
   * @param _controller Aborts the request.
   * @param chunk Bytes of the body.
   */
  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.#ended) {
      this.#handlers.onChunk(chunk);
    }
  }

  /** Called by undici at the end of the whole body. */
  onResponseEnd(): void {
    this.#end("");
  }

  /**
   * @param _controller Aborts the request.
   * @param error What went wrong.
   */
  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.#end(describeError(error));
  }

  #reasonNotToSend(): string | undefined {
    if (this.#ended) {
      return REASON_TIMED_OUT;
    }
    if (this.#sent) {
      return REASON_RESEND;
    }
    // The clock is asked because timers fire late in a process that was paused.
    const nowMs = this.#times.clock.nowMs();
    if (nowMs >= this.#times.deadlineAtMs) {
      return REASON_TIMED_OUT;
    }
    const sendByAtMs = this.#times.sendByAtMs ?? Infinity;
    return nowMs >= sendByAtMs ? REASON_SENT_TOO_LATE : undefined;
  }

  #end(reason: string): void {
    if (this.#ended) {
      return;
    }
    this.#ended = true;
    this.#cancelTimer();
    this.#onDeparted();
    this.#handlers.onEnd({ sent: this.#sent, reason });
  }
}

/**
 * Words for an error of the network.
 *
 * @param error The error.
 * @returns Its code where it has one, or its message; never empty.
 */
export function describeError(error: Error): string {
  const { code } = error as NodeJS.ErrnoException;
  return code ?? (error.message || "unknown error");
}
