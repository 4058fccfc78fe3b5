/** An attempt to run a request at a target, from sending to its end. */

import type { Buffer } from "node:buffer";
import { type AttemptRef, EventKind } from "@chestnuthatch/core/events";
import type { Dispatcher } from "undici";
import {
  type ExchangeEnd,
  type ExchangeTiming,
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

/** Options of a {@link TargetAttempt}. */
export interface AttemptOptions extends ExchangeTiming {
  /** Protocol of the target. */
  readonly adapter: TargetAdapter;
  /** Maximum sizes of the answer. */
  readonly limits: AnswerLimits;
  /** Receives the events of the attempt. */
  readonly emit: EventSink;
  /** Whether an earlier HTTP request of this attempt has been sent. */
  readonly mayHaveRun: boolean;
  /** Called before the attempt's last event. */
  readonly onEnd: () => void;
}

/** Reasons for the end of a resume if the target no longer has the stream. */
const LOST_STREAM_REASONS: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "status 404",
]);

/** Reasons for the end of an attempt if the target refuses connections. */
const UNREACHABLE_REASONS: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ETIMEDOUT",
  "UND_ERR_CONNECT_TIMEOUT",
]);

const STATUS_OK = 200;
const REASON_SUPERSEDED = "resumed by another stream";
const REASON_OTHER_ATTEMPT = "the answer names another attempt";

/**
 * Runs one HTTP exchange for an attempt and emits its events. Unless it is
 * superseded, it emits exactly one end: `DispatchNotSent` if certainly nothing
 * was sent, `ServiceAnswered` for a service's answer to this attempt, and
 * `StreamClosed` otherwise. A service's answer to another attempt is emitted as
 * well, before `StreamClosed`.
 */
export class TargetAttempt implements AnswerSink {
  /** Ids of the attempt. */
  readonly ref: AttemptRef;
  readonly #options: AttemptOptions;
  readonly #reader: AnswerReader;
  readonly #exchange: HttpExchange;
  #hasAnswered = false;
  #hasMismatchedAnswer = false;
  #isSuperseded = false;

  /**
   * @param ref Ids of the attempt, as sent to the target.
   * @param options Protocol, limits and times of the attempt.
   */
  constructor(ref: AttemptRef, options: AttemptOptions) {
    this.ref = ref;
    this.#options = options;
    this.#reader = options.adapter.createReader(this, options.limits);
    this.#exchange = new HttpExchange({
      onStatus: (statusCode) => this.#checkStatus(statusCode),
      onChunk: (chunk) => this.#readChunk(chunk),
      onEnd: (end) => this.#onExchangeEnd(end),
    }, options);
  }

  /**
   * Sends the attempt, unless it ended while it was queued.
   *
   * @param dispatcher Connections to the target.
   * @param request HTTP request to send.
   * @returns Settles once sending has started or the attempt has ended.
   */
  send(dispatcher: Dispatcher, request: HttpRequest): Promise<void> {
    this.#exchange.start(dispatcher, request);
    return this.#exchange.sendStartedOrEnded;
  }

  /**
   * Aborts the attempt; has no effect once it has ended.
   *
   * @param reason Reason to report with the end of the attempt.
   */
  abort(reason: string): void {
    this.#exchange.abort(reason);
  }

  /** Aborts the attempt without an event, as a resumed stream replaces it. */
  supersede(): void {
    this.#isSuperseded = true;
    this.#exchange.abort(REASON_SUPERSEDED);
  }

  /** @inheritdoc */
  onStreamEvent(event: Parameters<AnswerSink["onStreamEvent"]>[0]): void {
    this.#options.emit({ kind: EventKind.StreamEvent, ...this.ref, event });
  }

  /** @inheritdoc */
  onServiceAnswer(answered: AttemptRef, body: string): void {
    this.#hasAnswered = this.#isThisAttempt(answered);
    this.#hasMismatchedAnswer = !this.#hasAnswered;
    this.#options.emit({
      kind: EventKind.ServiceAnswered,
      ...this.ref,
      answered,
      body,
    });
  }

  #isThisAttempt(answered: AttemptRef): boolean {
    return answered.requestId === this.ref.requestId &&
      answered.attemptNonce === this.ref.attemptNonce;
  }

  #checkStatus(statusCode: number): void {
    if (statusCode !== STATUS_OK) {
      this.#exchange.abort(`status ${statusCode}`);
    }
  }

  #readChunk(chunk: Buffer): void {
    const fault = this.#reader.push(chunk);
    if (fault !== "") {
      this.#exchange.abort(fault);
    }
  }

  #onExchangeEnd(end: ExchangeEnd): void {
    this.#options.onEnd();
    if (this.#isSuperseded) {
      return;
    }
    // An attempt that cannot be sent ends while its effect is being executed.
    // Emitting is deferred, so that no event is emitted meanwhile.
    queueMicrotask(() => this.#emitEnd(end));
  }

  #emitEnd(end: ExchangeEnd): void {
    if (!end.sent && !this.#options.mayHaveRun) {
      this.#options.emit({
        kind: EventKind.DispatchNotSent,
        ...this.ref,
        reason: end.reason,
        targetUnreachable: UNREACHABLE_REASONS.has(end.reason),
      });
      return;
    }
    const reason = end.reason === "" ? this.#finishReading() : end.reason;
    if (!this.#hasAnswered) {
      this.#options.emit({
        kind: EventKind.StreamClosed,
        ...this.ref,
        reason,
        lost: LOST_STREAM_REASONS.has(reason),
      });
    }
  }

  #finishReading(): string {
    const fault = this.#reader.end();
    return this.#hasMismatchedAnswer ? REASON_OTHER_ATTEMPT : fault;
  }
}
