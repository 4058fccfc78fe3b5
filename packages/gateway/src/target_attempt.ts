/** One send of one request to one target, and what comes of it. */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { RequestKind } from "@chestnuthatch/routing/fleet_configuration";
import { AttemptEnd } from "@chestnuthatch/routing/next_step";
import { PROMISES_NOT_RUN } from "@chestnuthatch/routing/refusal";
import type { KnownTarget } from "@chestnuthatch/routing/target_directory";
import type { WorkEnd } from "@chestnuthatch/routing/work_ask";
import { EventSplitter, type StreamedEvent } from "./event_splitter.ts";
import type { GatewayParts } from "./gateway_parts.ts";
import { deadlineAtMs, type RoutedCall } from "./routed_call.ts";
import { type ExchangeFault, TargetExchange } from "./target_exchange.ts";

/** Where and on what an attempt is made. */
export interface AttemptOrder {
  readonly call: RoutedCall;
  readonly askId: string;
  readonly target: KnownTarget;
  /** When the first event or the answer is expected, from now. */
  readonly expectedMs: number;
  /** Last event that the caller has. */
  readonly resumeAfter?: number;
  /** Whether it runs on trial, as targets ended under the request. */
  readonly isTrial: boolean;
}

/** Who hears what comes of an attempt. */
export interface AttemptSink {
  /** The next event of the stream, whole. */
  event(bytes: Buffer): void;
  /** The stream ended as a whole one; bytes after its last event. */
  streamEnded(rest: Buffer): void;
  /** The target answered, and its answer may be passed on. */
  answered(): void;
  /** There is no answer to pass on, or only a failure of the target's own. */
  ended(end: AttemptEnd, reason: string): void;
}

/** Answers up to this size are passed on, once they are whole. */
const MAX_WHOLE_BYTES = 1024 * 1024;

/** Status codes from here on are failures of a target. */
const FIRST_FAILURE_STATUS = 500;
const STATUS_OK = 200;

const IS_STREAM: Readonly<Record<RequestKind, boolean>> = {
  [RequestKind.Repeatable]: false,
  [RequestKind.AtMostOnce]: false,
  [RequestKind.Stream]: true,
  [RequestKind.ResumableStream]: true,
};

/**
 * @param kind Kind of a request.
 * @returns Whether its answer is a stream of events.
 */
export function isStream(kind: RequestKind): boolean {
  return IS_STREAM[kind];
}

/** Runs one attempt. */
export class TargetAttempt {
  readonly order: AttemptOrder;
  readonly sentAtMs: number;
  /** Events that were passed on. */
  events = 0;
  /** Last event that the caller has by now. */
  lastEventId?: number;
  readonly #parts: GatewayParts;
  readonly #sink: AttemptSink;
  readonly #splitter = new EventSplitter();
  readonly #body: Buffer[] = [];
  #bodyBytes = 0;
  #exchange?: TargetExchange;
  #answer?: IncomingMessage;
  #firstAtMs?: number;
  #lastEventAtMs = 0;
  #over = false;

  /**
   * @param parts The instance's parts.
   * @param order Where and on what.
   * @param sink Who hears what comes of it.
   */
  constructor(parts: GatewayParts, order: AttemptOrder, sink: AttemptSink) {
    this.#parts = parts;
    this.order = order;
    this.#sink = sink;
    this.lastEventId = order.resumeAfter;
    this.sentAtMs = parts.clock.nowMs();
  }

  /** The target's status and headers; only once it has answered. */
  get answer(): IncomingMessage {
    return this.#answer!;
  }

  /** The body of an answer that is not a stream. */
  get body(): Buffer {
    return Buffer.concat(this.#body);
  }

  /** Time to the first event or the answer; absent where none came. */
  get firstMs(): number | undefined {
    return this.#firstAtMs === undefined
      ? undefined
      : Math.round(this.#firstAtMs - this.sentAtMs);
  }

  /** Sends the request. */
  send(): void {
    const { call, target, resumeAfter } = this.order;
    const headers = this.#parts.protocol.forwardHeaders(call.rawHeaders, {
      targetId: target.targetId,
      deadlineLeftMs: Math.floor(deadlineAtMs(call) - this.sentAtMs),
      workspace: call.workspace?.name,
      resumeAfter,
    });
    if (call.body !== undefined) {
      headers.push("Content-Length", String(call.body.length));
    }
    this.#exchange = new TargetExchange({
      agent: this.#parts.agentFor(call.pool, target.address),
      address: target.address,
      method: call.method,
      path: call.path,
      headers,
      body: call.body,
    }, {
      head: (answer) => this.#head(answer),
      data: (chunk) => this.#data(chunk),
      ended: () => this.#ended(),
      broke: (fault) => this.#broke(fault),
    });
  }

  /** Breaks it off; nothing is heard of it any more. */
  cancel(): void {
    this.#over = true;
    this.#exchange?.cancel();
  }

  /** Holds the answer back while the caller is slow. */
  pause(): void {
    this.#exchange?.pause();
  }

  /** Lets the answer flow again. */
  resume(): void {
    this.#exchange?.resume();
  }

  /**
   * @param failed Whether the target failed it.
   * @returns How the work ended, for the coordinator.
   */
  workEnd(failed: boolean): WorkEnd {
    const { call, askId, target } = this.order;
    const { events } = this;
    return {
      askId,
      targetId: target.targetId,
      pool: call.pool,
      promptTokens: call.facts.tokens?.prompt ?? 0,
      firstMs: this.firstMs,
      eventGapMs: events > 1
        ? (this.#lastEventAtMs - this.#firstAtMs!) / (events - 1)
        : undefined,
      failed,
    };
  }

  #head(answer: IncomingMessage): void {
    this.#answer = answer;
    const status = answer.statusCode!;
    const facts = this.#parts.protocol.readAnswer(status, answer.headers);
    if (!facts.wrongTarget) {
      const { target } = this.order;
      const origin = { target, sentAtMs: this.sentAtMs };
      this.#parts.targetSignals.answerReceived(origin, facts.signals);
    }
    const { requestId } = this.order.call.facts;
    if (facts.requestId !== undefined && facts.requestId !== requestId) {
      this.#end(AttemptEnd.Lost, "answer to another request");
    } else if (facts.notRun || facts.wrongTarget) {
      this.#end(AttemptEnd.Rejected, `rejected ${status}`);
    } else if (!facts.genuine) {
      this.#end(AttemptEnd.Lost, "answer is not the target's own");
    }
  }

  #data(chunk: Buffer): void {
    if (this.#passesEvents()) {
      this.#passOn(this.#splitter.push(chunk));
      return;
    }
    this.#firstAtMs ??= this.#parts.clock.nowMs();
    this.#body.push(chunk);
    this.#bodyBytes += chunk.length;
    if (this.#bodyBytes > MAX_WHOLE_BYTES) {
      this.#end(AttemptEnd.Lost, "answer is too large");
    }
  }

  #passesEvents(): boolean {
    return isStream(this.order.call.route.kind) &&
      this.#answer!.statusCode === STATUS_OK;
  }

  #passOn(events: readonly StreamedEvent[]): void {
    for (const { bytes, id } of events) {
      if (this.#over) {
        return;
      }
      const last = this.lastEventId;
      if (id !== undefined && last !== undefined && id > last + 1) {
        this.#end(AttemptEnd.Lost, "an event is missing");
        return;
      }
      const isKnown = id !== undefined && last !== undefined && id <= last;
      if (!isKnown) {
        this.lastEventId = id ?? last;
        this.#passOne(bytes);
      }
    }
  }

  #passOne(bytes: Buffer): void {
    const nowMs = this.#parts.clock.nowMs();
    this.events++;
    this.#lastEventAtMs = nowMs;
    if (this.#firstAtMs === undefined) {
      this.#firstAtMs = nowMs;
      this.#parts.desk.firstSeen(this.order.askId);
    }
    this.#sink.event(bytes);
  }

  #ended(): void {
    const status = this.#answer!.statusCode!;
    if (this.#passesEvents()) {
      this.#over = true;
      this.#sink.streamEnded(this.#splitter.rest);
    } else if (PROMISES_NOT_RUN.has(status)) {
      // Without the target's word that it did not run, the status cannot be
      // passed on: callers take it for a promise.
      this.#end(AttemptEnd.Lost, `unfounded status ${status}`);
    } else if (status >= FIRST_FAILURE_STATUS) {
      this.#over = true;
      this.#sink.ended(AttemptEnd.Failed, `target answered ${status}`);
    } else {
      this.#over = true;
      this.#sink.answered();
    }
  }

  #broke({ sent, reason }: ExchangeFault): void {
    if (sent) {
      void this.#lost(reason);
    } else {
      this.#end(AttemptEnd.NotSent, reason);
    }
  }

  /**
   * Before the request goes to another target it has to be known whether this
   * one ended under it: the next may end as well.
   */
  async #lost(reason: string): Promise<void> {
    const { probes } = this.#parts;
    const hasEnded = await probes.hasEnded(this.order.target.address);
    this.#end(hasEnded ? AttemptEnd.TargetEnded : AttemptEnd.Lost, reason);
  }

  #end(end: AttemptEnd, reason: string): void {
    if (!this.#over) {
      this.cancel();
      this.#sink.ended(end, reason);
    }
  }
}
