/**
 * The callers' edge: takes requests over HTTP, tells the core, and delivers
 * each outcome to the caller that waits for it.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { LogLevel, LogPart } from "@chestnuthatch/core/effects";
import { EventKind } from "@chestnuthatch/core/events";
import type { Answer, Refusal } from "@chestnuthatch/core/request";
import {
  type CallerRequest,
  REQUEST_ID_HEADER,
} from "@chestnuthatch/wire/caller_protocol";
import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import { type BodyFault, readBody } from "./body_reader.ts";
import { ByteBudget } from "./byte_budget.ts";
import { parseCallerRequest } from "./caller_input.ts";
import { type CallerLimits, DEFAULT_CALLER_LIMITS } from "./caller_limits.ts";
import { CallerServer, type CallerServerOptions } from "./caller_server.ts";
import { type EdgeFault, edgeRefusal } from "./edge_refusal.ts";
import { CallStage, OpenCall, OpenCalls } from "./open_calls.ts";
import { type EdgeContext, EdgeCounterName } from "./ports.ts";
import { refuseUnread } from "./refuse_unread.ts";
import { RequestBodies } from "./request_bodies.ts";
import { requestSpecOf } from "./request_spec_of.ts";
import { NODE_TIMERS, type Timers } from "./timers.ts";
import type { RequestTracing } from "./tracing.ts";

/** What the callers' edge is made of. */
export interface CallerFrontOptions extends
  Pick<
    CallerServerOptions,
    "host" | "port" | "reads" | "mintRequestId"
  > {
  readonly limits?: Partial<CallerLimits>;
  readonly timers?: Timers;
  readonly tracing?: Pick<RequestTracing, "received">;
}

const FAULT_MESSAGES: Readonly<Record<BodyFault, string>> = {
  [ErrorKind.BodyTooLarge]: "The body is larger than this instance takes.",
  [ErrorKind.SlowCaller]: "The body did not come in time.",
  [ErrorKind.TooManyOpenRequests]: "The bodies of open requests fill memory.",
  [ErrorKind.CallerGone]: "The caller hung up while sending.",
};

/** Takes callers' requests, and hands each its outcome. */
export class CallerFront {
  readonly #context: EdgeContext;
  readonly #options: CallerFrontOptions;
  readonly #limits: CallerLimits;
  readonly #timers: Timers;
  readonly #server: CallerServer;
  readonly #calls = new OpenCalls();
  readonly #bodies = new RequestBodies();
  readonly #bodyBudget: ByteBudget;

  /**
   * @param context What every edge is handed.
   * @param options Where to listen and what to hand out.
   */
  constructor(context: EdgeContext, options: CallerFrontOptions) {
    this.#context = context;
    this.#options = options;
    this.#limits = { ...DEFAULT_CALLER_LIMITS, ...options.limits };
    this.#timers = options.timers ?? NODE_TIMERS;
    this.#bodyBudget = new ByteBudget(this.#limits.maxKeptBodyBytes);
    this.#server = new CallerServer(context, {
      ...options,
      limits: this.#limits,
      timers: this.#timers,
      onRequest: (request, response) => this.#onRequest(request, response),
    });
  }

  /** How many calls are open, those still being received included. */
  get openRequests(): number {
    return this.#calls.size;
  }

  /** @returns Nothing, once the edge listens. */
  start(): Promise<void> {
    return this.#server.start();
  }

  /** @returns `host:port` that the edge listens on. */
  address(): string {
    return this.#server.address();
  }

  /**
   * Gives the target edge a request's body.
   *
   * @param requestId The request.
   * @returns Its body, until its outcome has been handed over.
   */
  bodyOf(requestId: string): string | undefined {
    return this.#bodies.bodyOf(requestId);
  }

  /**
   * Delivers a whole answer; nothing happens when the caller is gone.
   *
   * @param requestId The call that is answered.
   * @param answer The answer.
   */
  answer(requestId: string, answer: Answer): void {
    this.#deliverOutcome(requestId, (call) => call.answer(answer));
  }

  /**
   * Delivers a refusal; nothing happens when the caller is gone.
   *
   * @param requestId The call that is refused.
   * @param refusal The refusal.
   */
  refuse(requestId: string, refusal: Refusal): void {
    this.#deliverOutcome(requestId, (call) => call.refuse(refusal));
  }

  /**
   * Passes on a piece of an answer. A caller that does not read what it was
   * sent before is cut off.
   *
   * @param requestId The call.
   * @param text The next piece.
   */
  streamText(requestId: string, text: string): void {
    const call = this.#calls.waiting(requestId);
    if (call === undefined) {
      return;
    }
    if (call.response.writableLength > this.#limits.maxBufferedStreamBytes) {
      this.#log(LogLevel.Warn, `Cut off ${requestId}: it reads too slowly`);
      call.response.destroy();
      return;
    }
    call.streamText(text);
  }

  /** Refuses new requests from now on; those open go on to their end. */
  beginShutdown(): void {
    this.#server.beginShutdown();
  }

  /** @returns Nothing, once every call has ended and the port is closed. */
  stop(): Promise<void> {
    return this.#server.stop();
  }

  #onRequest(request: IncomingMessage, response: ServerResponse): void {
    const call = new OpenCall(this.#options.mintRequestId(), response);
    response.setHeader(REQUEST_ID_HEADER, call.requestId);
    const fault = this.#admissionFault();
    if (fault !== undefined) {
      this.#refuseUnread(call, request, fault);
      return;
    }
    this.#calls.add(call);
    response.once("close", () => this.#onClosed(call));
    this.#receive(call, request).catch((error) =>
      this.#onReceiveFault(call, error)
    );
  }

  #admissionFault(): EdgeFault | undefined {
    if (this.#server.shuttingDown) {
      return {
        error: ErrorKind.ShuttingDown,
        message: "This instance is shutting down.",
        retryAfterMs: 0,
      };
    }
    if (this.#calls.size >= this.#limits.maxOpenRequests) {
      return {
        error: ErrorKind.TooManyOpenRequests,
        message: "This instance has as many open requests as it may.",
        retryAfterMs: this.#limits.retryAfterMs,
      };
    }
    return undefined;
  }

  async #receive(call: OpenCall, request: IncomingMessage): Promise<void> {
    const body = await readBody(request, {
      limits: this.#limits,
      timers: this.#timers,
      budget: this.#bodyBudget,
    });
    if (body.isErr()) {
      this.#refuseBody(call, request, body.error);
      return;
    }
    call.bodyBytes = body.value.length;
    if (call.response.destroyed) {
      this.#giveBackBody(call);
      return;
    }
    parseCallerRequest(body.value).match(
      (parsed) => this.#accept(call, parsed, request),
      (fault) =>
        this.#refuseRead(call, { error: ErrorKind.BadRequest, ...fault }),
    );
  }

  #refuseBody(
    call: OpenCall,
    request: IncomingMessage,
    error: BodyFault,
  ): void {
    if (error === ErrorKind.CallerGone) {
      return;
    }
    this.#refuseUnread(call, request, {
      error,
      message: FAULT_MESSAGES[error],
      retryAfterMs: this.#limits.retryAfterMs,
    });
  }

  #accept(
    call: OpenCall,
    parsed: CallerRequest,
    request: IncomingMessage,
  ): void {
    const spec = requestSpecOf(parsed, call.requestId);
    call.streams = spec.stream;
    call.stage = CallStage.Accepted;
    this.#bodies.keep(spec, parsed.body);
    this.#options.tracing?.received(call.requestId, traceparentOf(request));
    this.#context.emit({ kind: EventKind.RequestArrived, spec });
  }

  #refuseUnread(
    call: OpenCall,
    request: IncomingMessage,
    fault: EdgeFault,
  ): void {
    call.stage = CallStage.Ended;
    this.#countRefusal(fault.error);
    refuseUnread(call.response, edgeRefusal(call.requestId, fault), {
      request,
      limits: this.#limits,
      timers: this.#timers,
    });
  }

  #refuseRead(call: OpenCall, fault: EdgeFault): void {
    this.#countRefusal(fault.error);
    this.#giveBackBody(call);
    call.refuse(edgeRefusal(call.requestId, fault));
    this.#server.boundDelivery(call.response);
  }

  #deliverOutcome(requestId: string, deliver: (call: OpenCall) => void): void {
    const call = this.#calls.waiting(requestId);
    if (call === undefined) {
      return;
    }
    this.#releaseBody(call);
    deliver(call);
    this.#server.boundDelivery(call.response);
  }

  #onClosed(call: OpenCall): void {
    this.#calls.remove(call.requestId);
    if (call.stage !== CallStage.Accepted) {
      return;
    }
    call.stage = CallStage.Ended;
    this.#releaseBody(call);
    const { requestId } = call;
    this.#context.emit({ kind: EventKind.CallerHungUp, requestId });
  }

  #releaseBody(call: OpenCall): void {
    this.#bodies.release(call.requestId);
    this.#giveBackBody(call);
  }

  #giveBackBody(call: OpenCall): void {
    this.#bodyBudget.giveBack(call.bodyBytes);
    call.bodyBytes = 0;
  }

  #onReceiveFault(call: OpenCall, error: unknown): void {
    this.#log(LogLevel.Error, `Could not take ${call.requestId}: ${error}`);
    if (call.stage === CallStage.Ended) {
      return;
    }
    const accepted = call.stage === CallStage.Accepted;
    this.#releaseBody(call);
    call.refuse(edgeRefusal(call.requestId, {
      error: ErrorKind.Internal,
      message: "This instance failed while taking the request.",
      ran: accepted ? RunState.MayHaveRun : RunState.NotRun,
    }));
  }

  #countRefusal(error: ErrorKind): void {
    this.#context.count(EdgeCounterName.CallerBodiesRejected, { error }, 1);
  }

  #log(level: LogLevel, text: string): void {
    this.#context.log(level, LogPart.Callers, text);
  }
}

function traceparentOf(request: IncomingMessage): string | undefined {
  const value = request.headers.traceparent;
  return typeof value === "string" ? value : undefined;
}
