/** One attempt to run a request at one target. */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { RequestKind } from "@chestnuthatch/routing/fleet_configuration";
import { AttemptEnd } from "@chestnuthatch/routing/next_step";
import { NOT_RUN_STATUS_CODES } from "@chestnuthatch/routing/routed_error";
import type { MemberRecord } from "@chestnuthatch/routing/member_record";
import type { KnownTarget } from "@chestnuthatch/routing/target_directory";
import { SURVIVAL_MS } from "@chestnuthatch/routing/trials";
import type { WorkEnd } from "@chestnuthatch/routing/work_ask";
import type { LoadReport } from "@chestnuthatch/routing/load_report";
import type { MemoryReservation } from "./answer_memory.ts";
import { AnswerLoad } from "./answer_load.ts";
import { BodyCollector } from "./body_collector.ts";
import { EventSplitter, type StreamedEvent } from "./event_splitter.ts";
import type { GatewayParts } from "./gateway_parts.ts";
import { hostPortOf } from "./host_port.ts";
import { isUnframed, relayFailureOf, relayHeaders } from "./relay_server.ts";
import { deadlineAtMs, type RoutedCall } from "./routed_call.ts";
import { awaitIsolated } from "./run_isolated.ts";
import { EventUse, RunOrder } from "./run_order.ts";
import { type ExchangeFailure, TargetExchange } from "./target_exchange.ts";

/** Request, target and expectations of an attempt. */
export interface AttemptOptions {
  readonly call: RoutedCall;
  readonly askId: string;
  readonly target: KnownTarget;
  /** Expected time to the first event or the answer, from now. */
  readonly expectedMs: number;
  /** Id of the last event that the caller has; absent if it has none. */
  readonly resumeAfter?: number;
  /** Whether the request is a suspect that runs on trial. */
  readonly isTrial: boolean;
}

/**
 * Receives an attempt's events and its result. Nothing follows on a call of
 * `streamEnded`, `answered` or `ended`.
 */
export interface AttemptSink {
  /** The next complete events of the stream, which arrived together. */
  events(bytes: Buffer): void;
  /** The stream is complete; `rest` holds empty lines after its last event. */
  streamEnded(rest: Buffer): void;
  /** The target gave a complete answer that may be forwarded. */
  answered(): void;
  /** The target gave no complete answer, a rejection or an error. */
  ended(end: AttemptEnd, reason: string): void;
}

/** Status codes from this one on are errors of the target. */
const MIN_SERVER_ERROR_STATUS = 500;
const STATUS_OK = 200;
const STATUS_NO_CONTENT = 204;
const MIN_REDIRECTION_STATUS = 300;

/**
 * Pieces that a buffered answer, or an event, may arrive in. Each occupies the
 * event loop for some microseconds, however small it is.
 */
const MAX_PIECES = 64 * 1024;

/**
 * Events without content in a row. Comments that keep a connection open come
 * once in some seconds; without a limit they could be sent as fast as they are
 * read, and would keep the request from going to another target.
 */
const MAX_EMPTY_EVENTS = 4096;

/** Relays that are tried in one attempt, after which it has not been sent. */
const MAX_RELAYS = 2;

const IS_STREAM_KIND: Readonly<Record<RequestKind, boolean>> = {
  [RequestKind.Repeatable]: false,
  [RequestKind.AtMostOnce]: false,
  [RequestKind.Stream]: true,
  [RequestKind.ResumableStream]: true,
};

/**
 * Returns whether requests of a kind are answered by a stream of events.
 *
 * @param kind Kind of a request.
 * @returns True for both kinds of streams.
 */
export function isStream(kind: RequestKind): boolean {
  return IS_STREAM_KIND[kind];
}

/** Sends a request to one target, and checks and forwards the answer. */
export class TargetAttempt {
  readonly options: AttemptOptions;
  /** Local time at which the attempt was created, in milliseconds. */
  readonly sentAtMs: number;
  /** Number of events that were forwarded. */
  eventCount = 0;
  /** Order of the events of the target's answer. */
  readonly order: RunOrder;
  readonly #parts: GatewayParts;
  readonly #sink: AttemptSink;
  readonly #splitter: EventSplitter;
  readonly #body = new BodyCollector();
  /** Memory of the body, or of an event that is not complete. */
  readonly #memory: MemoryReservation;
  /** Events without content since the last one with content. */
  #emptyEventCount = 0;
  #exchange?: TargetExchange;
  /** Instance that relays the request; absent on a connection of its own. */
  #relay?: MemberRecord;
  #relayCount = 0;
  #answer?: IncomingMessage;
  /** Rejections per second that the target withstands, from its answer. */
  #maxRejectionsPerS?: number;
  #load?: AnswerLoad;
  #isWrongTarget = false;
  #isInvalidRequest = false;
  #firstDataAtMs?: number;
  #lastEventAtMs = 0;
  #isDone = false;

  /**
   * @param parts The instance's parts.
   * @param options Request, target and expectations.
   * @param sink Receiver of the events and the result.
   */
  constructor(parts: GatewayParts, options: AttemptOptions, sink: AttemptSink) {
    this.#parts = parts;
    this.options = options;
    this.#sink = sink;
    this.#memory = parts.answerMemory.reserve(() =>
      this.#end(AttemptEnd.Lost, "answer is too large")
    );
    this.order = new RunOrder(options.resumeAfter);
    const removesMark = options.resumeAfter !== undefined;
    this.#splitter = new EventSplitter({ removesMark });
    this.sentAtMs = parts.clock.nowMs();
  }

  /** The target's status and headers; defined only once they were received. */
  get answer(): IncomingMessage {
    return this.#answer!;
  }

  /**
   * Whether the target's process answered nothing: there is no answer, or one
   * of another target that now listens at the address.
   */
  get isUnanswered(): boolean {
    return this.#answer === undefined || this.#isWrongTarget;
  }

  /**
   * Whether the request could not be created, which shows nothing about the
   * target.
   */
  get isInvalidRequest(): boolean {
    return this.#isInvalidRequest;
  }

  /** The body received so far of an answer that is not a stream. */
  get body(): Buffer {
    return this.#body.bytes;
  }

  /** Time to the first event or the answer, in ms; absent if none arrived. */
  get firstMs(): number | undefined {
    return this.#firstDataAtMs === undefined
      ? undefined
      : Math.round(this.#firstDataAtMs - this.sentAtMs);
  }

  /** Whether the target went on for some time after it began to answer. */
  get hasSurvived(): boolean {
    const begunAtMs = this.#firstDataAtMs ?? Infinity;
    return this.#parts.clock.nowMs() - begunAtMs >= SURVIVAL_MS;
  }

  /** Sends the request. */
  send(): void {
    const { reachability } = this.#parts;
    this.#exchangeThrough(reachability.relayFor(this.options.target));
  }

  /** Id of the instance that relays the request; absent if none does. */
  get relayId(): string | undefined {
    return this.#relay?.instanceId;
  }

  /** Sends the request to the target, or to an instance that relays it. */
  #exchangeThrough(relay: MemberRecord | undefined): void {
    this.#relay = relay;
    try {
      this.#exchange = this.#openExchange(relay);
    } catch (error) {
      // Ends later, as with any other failure, after the attempt was recorded.
      setImmediate(() => this.#onInvalidRequest(String(error)));
    }
  }

  #openExchange(relay: MemberRecord | undefined): TargetExchange {
    const { call, target } = this.options;
    const headers = this.#headers();
    const isRelayed = relay !== undefined;
    this.#relayCount += isRelayed ? 1 : 0;
    const exchange: TargetExchange = new TargetExchange({
      agent: isRelayed
        ? this.#parts.relayAgent
        : this.#parts.agentFor(call.pool, target.address),
      address: isRelayed
        ? `${hostPortOf(relay.address).host}:${this.#parts.relayPort}`
        : target.address,
      method: call.method,
      path: call.path,
      headers: isRelayed ? relayHeaders(headers, target.targetId) : headers,
      body: call.body,
    }, {
      connectDelayed: () => void this.#onConnectDelayed(exchange),
      head: (answer) => this.#onHead(answer),
      data: (chunk) => this.#onData(chunk),
      ended: () => this.#onAnswerEnded(),
      failed: (failure) => this.#onExchangeFailed(failure),
    });
    return exchange;
  }

  #headers(): string[] {
    const { call, target, resumeAfter } = this.options;
    const headers = this.#parts.protocol.forwardHeaders(call.rawHeaders, {
      targetId: target.targetId,
      deadlineLeftMs: Math.floor(
        deadlineAtMs(call) - this.#parts.clock.nowMs(),
      ),
      workspace: call.workspace?.name,
      resumeAfter,
    });
    if (call.body !== undefined) {
      headers.push("Content-Length", String(call.body.length));
    }
    return headers;
  }

  /** Aborts the attempt; the sink is not called any more. */
  cancel(): void {
    this.#finish();
    this.#exchange?.cancel();
  }

  /** Stops reading the answer, while the caller is slow. */
  pause(): void {
    this.#exchange?.pause();
  }

  /** Continues to read the answer. */
  resume(): void {
    this.#exchange?.resume();
  }

  /**
   * Builds the message on this attempt's end for the coordinator.
   *
   * @param failed Whether the target failed the attempt.
   * @returns The end, with the times measured.
   */
  workEnd(failed: boolean): WorkEnd {
    const { call, askId, target } = this.options;
    const { eventCount } = this;
    return {
      askId,
      targetId: target.targetId,
      pool: call.pool,
      promptTokens: call.facts.tokens?.prompt ?? 0,
      firstMs: this.firstMs,
      eventGapMs: eventCount > 1
        ? (this.#lastEventAtMs - this.#firstDataAtMs!) / (eventCount - 1)
        : undefined,
      failed,
      maxRejectionsPerS: this.#maxRejectionsPerS,
      ...this.#loadFact(),
    };
  }

  #loadFact(): { load?: LoadReport } {
    const load = this.#load?.reportAt(this.#parts.clock.nowMs());
    return load === undefined ? {} : { load };
  }

  #onHead(answer: IncomingMessage): void {
    const failure = this.#relay && relayFailureOf(answer.headers);
    if (failure !== undefined) {
      this.#exchange!.cancel();
      this.#onExchangeFailed(failure);
      return;
    }
    if (this.#relay === undefined) {
      this.#parts.reachability.answered(this.options.target.targetId);
    }
    this.#answer = answer;
    const status = answer.statusCode!;
    const facts = this.#parts.protocol.readAnswer(status, answer.headers);
    this.#isWrongTarget = facts.wrongTarget;
    if (!facts.wrongTarget) {
      this.#maxRejectionsPerS = facts.signals.maxRejectionsPerS;
      const { target } = this.options;
      const origin = { target, sentAtMs: this.sentAtMs };
      this.#parts.targetSignals.answerReceived(origin, facts.signals);
      this.#load = facts.load &&
        new AnswerLoad(facts.load, this.#parts.clock.nowMs());
    }
    const { requestId } = this.options.call.facts;
    if (facts.requestId !== undefined && facts.requestId !== requestId) {
      this.#end(AttemptEnd.Lost, "answer belongs to another request");
    } else if (facts.notRun || facts.wrongTarget) {
      this.#end(AttemptEnd.Rejected, `rejected ${status}`);
    } else if (!facts.genuine) {
      this.#end(AttemptEnd.Lost, "answer is not confirmed by the target");
    }
  }

  #onData(chunk: Buffer): void {
    if (this.#isEventStream()) {
      this.#forwardEvents(this.#splitter.push(chunk));
      this.#memory.resize(this.#splitter.pendingBytes);
      this.#limitPieces(this.#splitter.pendingPieceCount);
      return;
    }
    this.#firstDataAtMs ??= this.#parts.clock.nowMs();
    this.#body.push(chunk);
    this.#memory.resize(this.#body.byteLength);
    this.#limitPieces(this.#body.pieceCount);
  }

  #limitPieces(pieceCount: number): void {
    if (pieceCount > MAX_PIECES) {
      this.#end(AttemptEnd.Lost, "answer has too many chunks");
    }
  }

  #isEventStream(): boolean {
    return isStream(this.options.call.route.kind) &&
      this.#answer!.statusCode === STATUS_OK;
  }

  /**
   * Forwards events up to one that is rejected. They are written at once: each
   * write takes some hundred bytes until the caller has read it.
   */
  #forwardEvents(events: readonly StreamedEvent[]): void {
    const accepted: Buffer[] = [];
    let rejection: string | undefined;
    for (const event of events) {
      const verdict = this.order.accept(event);
      this.#emptyEventCount = event.hasContent ? 0 : this.#emptyEventCount + 1;
      if (this.#emptyEventCount > MAX_EMPTY_EVENTS) {
        rejection = "stream has too many events without content";
        break;
      }
      if (verdict.use === EventUse.Reject) {
        rejection = verdict.reason;
        break;
      }
      if (verdict.use === EventUse.Forward) {
        accepted.push(event.bytes);
      }
    }
    if (accepted.length > 0) {
      this.#forward(accepted);
    }
    if (rejection !== undefined) {
      this.#end(AttemptEnd.Lost, rejection);
    }
  }

  #forward(events: readonly Buffer[]): void {
    const nowMs = this.#parts.clock.nowMs();
    this.eventCount += events.length;
    this.#lastEventAtMs = nowMs;
    if (this.#firstDataAtMs === undefined) {
      this.#firstDataAtMs = nowMs;
      const { askId } = this.options;
      this.#parts.placementClient.reportFirstEvent(askId, this.#loadFact());
    }
    this.#sink.events(events.length === 1 ? events[0]! : Buffer.concat(events));
  }

  #onAnswerEnded(): void {
    const status = this.#answer!.statusCode!;
    if (this.#isEventStream()) {
      this.#onStreamEnded();
    } else if (NOT_RUN_STATUS_CODES.has(status)) {
      // Callers take this status as a promise that the request did not run, but
      // the target's headers did not confirm it.
      this.#end(AttemptEnd.Lost, `unconfirmed not-run status ${status}`);
    } else if (status >= MIN_SERVER_ERROR_STATUS) {
      this.#finish();
      this.#sink.ended(AttemptEnd.Failed, `target answered ${status}`);
    } else if (this.#isEmpty()) {
      this.#finish();
      this.#sink.ended(AttemptEnd.Empty, "answer ended without a body");
    } else {
      this.#finish();
      this.#sink.answered();
    }
  }

  /** Whether a success that should have a body ended before it. */
  #isEmpty(): boolean {
    const status = this.#answer!.statusCode!;
    return status < MIN_REDIRECTION_STATUS && status !== STATUS_NO_CONTENT &&
      this.options.call.method !== "HEAD" && this.#body.byteLength === 0 &&
      isUnframed(this.#answer!);
  }

  /**
   * Ends the stream if it is complete. The end of the answer does not show that:
   * a target may end it regularly although it broke the stream off. Only a
   * resumed stream may have no events left, if its framing shows its end.
   */
  #onStreamEnded(): void {
    const isNew = this.options.resumeAfter === undefined;
    const needsEvents = isNew || isUnframed(this.answer);
    if (this.#splitter.isInsideEvent) {
      void this.#onAnswerLost("stream ended inside an event");
    } else if (needsEvents && !this.order.hasBegun) {
      void this.#onAnswerLost("stream ended without events");
    } else if (this.order.isBehind) {
      void this.#onAnswerLost("stream ended before the caller's last event");
    } else {
      this.#finish();
      this.#sink.streamEnded(this.#splitter.remainder);
    }
  }

  #onExchangeFailed(
    { isSent, reason, isInvalidRequest }: ExchangeFailure,
  ): void {
    if (isInvalidRequest === true) {
      this.#onInvalidRequest(reason);
    } else if (isSent) {
      void this.#onAnswerLost(reason);
    } else {
      void this.#onNotSent(reason);
    }
  }

  /** Ends the attempt, as the request cannot be sent to a relay either. */
  #onInvalidRequest(reason: string): void {
    this.#isInvalidRequest = true;
    this.#end(AttemptEnd.NotSent, reason);
  }

  /**
   * Switches to a relay if one is found before the connection is established.
   */
  async #onConnectDelayed(exchange: TargetExchange): Promise<void> {
    if (this.#relay !== undefined) {
      return;
    }
    const { reachability } = this.#parts;
    const relay = await reachability.findRelay(this.options.target);
    const isPending = !this.#isDone && this.#exchange === exchange &&
      !exchange.isSent;
    if (relay !== undefined && isPending) {
      exchange.cancel();
      this.#exchangeThrough(relay);
    }
  }

  /** Sends the request through a relay if one is found; else the attempt ends. */
  async #onNotSent(reason: string): Promise<void> {
    const { reachability } = this.#parts;
    const { target } = this.options;
    this.#exchange = undefined;
    if (this.#relay !== undefined) {
      reachability.relayFailed(target, this.#relay.instanceId);
    }
    const relay = this.#relayCount < MAX_RELAYS
      ? await awaitIsolated(() => reachability.findRelay(target))
      : undefined;
    if (relay === undefined) {
      this.#end(AttemptEnd.NotSent, reason);
    } else if (!this.#isDone) {
      this.#exchangeThrough(relay);
    }
  }

  /**
   * Checks whether the target's process has ended before the request may go to
   * another target, which might end as well.
   */
  async #onAnswerLost(reason: string): Promise<void> {
    const { reachability } = this.#parts;
    const hasEnded = await awaitIsolated(() =>
      reachability.hasEnded(this.options.target)
    );
    this.#end(hasEnded ? AttemptEnd.TargetEnded : AttemptEnd.Lost, reason);
  }

  /** Nothing more is received, and what was is about to be forwarded. */
  #finish(): void {
    this.#isDone = true;
    this.#memory.release();
  }

  #end(end: AttemptEnd, reason: string): void {
    if (!this.#isDone) {
      this.cancel();
      this.#sink.ended(end, reason);
    }
  }
}
