/** One attempt on its way to a target, and the one end it comes to. */

import type { Buffer } from "node:buffer";
import { type AttemptRef, EventKind } from "@chestnuthatch/core/events";
import type { Dispatcher } from "undici";
import {
  type ExchangeEnd,
  type ExchangeTimes,
  HttpExchange,
  type HttpRequest,
} from "./http_exchange.ts";
import type { EventSink } from "./ports.ts";
import type {
  AnswerLimits,
  AnswerReader,
  AnswerSink,
  TargetAdapter,
} from "./target_adapter.ts";

/** What an attempt is made of. */
export interface AttemptOptions extends ExchangeTimes {
  readonly adapter: TargetAdapter;
  readonly limits: AnswerLimits;
  readonly emit: EventSink;
  /** True when an earlier request of this attempt has been sent. */
  readonly maySoFarHaveRun: boolean;
  /** Called before the attempt's last event. */
  readonly onEnd: () => void;
}

/** Ends of a resume that tell that the target has the stream no more. */
const LOST_REASONS: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "status 404",
]);

/** Ends that tell that the target does not take connections. */
const CONNECT_FAULTS: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ETIMEDOUT",
  "UND_ERR_CONNECT_TIMEOUT",
]);

const STATUS_OK = 200;
const REASON_SUPERSEDED = "resumed by another stream";
const REASON_CROSSED = "the answer names another attempt";

/**
 * Runs one exchange for an attempt and emits its events. Exactly one end is
 * emitted: DispatchNotSent when certainly nothing was sent, ServiceAnswered
 * for a service's answer, StreamClosed for everything else.
 */
export class TargetAttempt implements AnswerSink {
  readonly ref: AttemptRef;
  readonly #options: AttemptOptions;
  readonly #reader: AnswerReader;
  readonly #exchange: HttpExchange;
  #answered = false;
  #crossed = false;
  #superseded = false;

  /**
   * @param ref Names the attempt as sent.
   * @param options How it is sent and read.
   */
  constructor(ref: AttemptRef, options: AttemptOptions) {
    this.ref = ref;
    this.#options = options;
    this.#reader = options.adapter.reader(this, options.limits);
    this.#exchange = new HttpExchange({
      onStatus: (statusCode) => this.#checkStatus(statusCode),
      onChunk: (chunk) => this.#read(chunk),
      onEnd: (end) => this.#finish(end),
    }, options);
  }

  /**
   * Sends the attempt, unless it has ended while it waited.
   *
   * @param dispatcher The connections to use.
   * @param request What to send.
   * @returns Settles when the request has begun to leave, or never will.
   */
  send(dispatcher: Dispatcher, request: HttpRequest): Promise<void> {
    this.#exchange.start(dispatcher, request);
    return this.#exchange.departed;
  }

  /** @param reason Why the attempt is cut off. */
  stop(reason: string): void {
    this.#exchange.abort(reason);
  }

  /** Cuts the attempt off without an event: a resumed stream takes over. */
  supersede(): void {
    this.#superseded = true;
    this.#exchange.abort(REASON_SUPERSEDED);
  }

  /** @inheritdoc */
  streamEvent(event: Parameters<AnswerSink["streamEvent"]>[0]): void {
    this.#options.emit({ kind: EventKind.StreamEvent, ...this.ref, event });
  }

  /** @inheritdoc */
  serviceAnswered(answered: AttemptRef, body: string): void {
    this.#answered = this.#isOwn(answered);
    this.#crossed = !this.#answered;
    this.#options.emit({
      kind: EventKind.ServiceAnswered,
      ...this.ref,
      answered,
      body,
    });
  }

  #isOwn(answered: AttemptRef): boolean {
    return answered.requestId === this.ref.requestId &&
      answered.attemptNonce === this.ref.attemptNonce;
  }

  #checkStatus(statusCode: number): void {
    if (statusCode !== STATUS_OK) {
      this.#exchange.abort(`status ${statusCode}`);
    }
  }

  #read(chunk: Buffer): void {
    const fault = this.#reader.push(chunk);
    if (fault !== "") {
      this.#exchange.abort(fault);
    }
  }

  #finish(end: ExchangeEnd): void {
    this.#options.onEnd();
    if (this.#superseded) {
      return;
    }
    // Ends are emitted later, so that no event arises inside the effect that
    // caused it; an attempt that cannot be sent ends within its own effect.
    queueMicrotask(() => this.#emitEnd(end));
  }

  #emitEnd(end: ExchangeEnd): void {
    if (!end.sent && !this.#options.maySoFarHaveRun) {
      this.#options.emit({
        kind: EventKind.DispatchNotSent,
        ...this.ref,
        reason: end.reason,
        targetUnreachable: CONNECT_FAULTS.has(end.reason),
      });
      return;
    }
    const reason = end.reason === "" ? this.#readEnd() : end.reason;
    if (!this.#answered) {
      this.#options.emit({
        kind: EventKind.StreamClosed,
        ...this.ref,
        reason,
        lost: LOST_REASONS.has(reason),
      });
    }
  }

  #readEnd(): string {
    const fault = this.#reader.end();
    return this.#crossed ? REASON_CROSSED : fault;
  }
}
