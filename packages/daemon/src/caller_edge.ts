/**
 * The callers' edge of an instance: receives requests over HTTP, passes them to
 * the core, and sends each outcome to its caller.
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
import { type CallerLimits, DEFAULT_CALLER_LIMITS } from "./caller_limits.ts";
import { parseCallerRequest } from "./caller_request_parser.ts";
import { CallerServer, type CallerServerOptions } from "./caller_server.ts";
import { type EdgeFault, edgeRefusal } from "./edge_refusal.ts";
import { CallStage, OpenCall, OpenCalls } from "./open_calls.ts";
import { type EdgeContext, EdgeCounterName } from "./ports.ts";
import { RequestBodies } from "./request_bodies.ts";
import { createRequestSpec } from "./request_spec.ts";
import type { RequestTracer } from "./request_tracer.ts";
import { NODE_TIMERS, type Timers } from "./timers.ts";
import { refuseUnreadBody } from "./unread_refusal.ts";

/** Options of a {@link CallerEdge}. */
export interface CallerEdgeOptions extends
  Pick<
    CallerServerOptions,
    "host" | "port" | "reader" | "generateRequestId"
  > {
  /** Limits that differ from {@link DEFAULT_CALLER_LIMITS}. */
  readonly limits?: Partial<CallerLimits>;
  /** Timers of Node.js by default. */
  readonly timers?: Timers;
  /** Starts the trace of each accepted request; none by default. */
  readonly tracer?: Pick<RequestTracer, "startTrace">;
}

const BODY_FAULT_MESSAGES: Readonly<Record<BodyFault, string>> = {
  [ErrorKind.BodyTooLarge]: "The body is larger than this instance takes.",
  [ErrorKind.SlowCaller]: "The body did not come in time.",
  [ErrorKind.TooManyOpenRequests]: "The bodies of open requests fill memory.",
  [ErrorKind.CallerGone]: "The caller hung up while sending.",
};

/**
 * HTTP interface of an instance towards callers: reads and validates requests,
 * emits them as events to the core, and writes answers and refusals.
 */
export class CallerEdge {
  readonly #context: EdgeContext;
  readonly #options: CallerEdgeOptions;
  readonly #limits: CallerLimits;
  readonly #timers: Timers;
  readonly #server: CallerServer;
  readonly #calls = new OpenCalls();
  readonly #bodies = new RequestBodies();
  readonly #bodyBudget: ByteBudget;

  /**
   * @param context Clock, event sink, log and counters of the instance.
   * @param options Listening address, limits and sources of the read routes.
   */
  constructor(context: EdgeContext, options: CallerEdgeOptions) {
    this.#context = context;
    this.#options = options;
    this.#limits = { ...DEFAULT_CALLER_LIMITS, ...options.limits };
    this.#timers = options.timers ?? NODE_TIMERS;
    this.#bodyBudget = new ByteBudget(this.#limits.maxTotalBodyBytes);
    this.#server = new CallerServer(context, {
      ...options,
      limits: this.#limits,
      timers: this.#timers,
      onRequest: (request, response) => this.#onRequest(request, response),
    });
  }

  /** Number of open calls, including those still being received. */
  get openRequests(): number {
    return this.#calls.size;
  }

  /**
   * Starts listening.
   *
   * @returns Settles once the edge accepts connections.
   */
  start(): Promise<void> {
    return this.#server.start();
  }

  /**
   * Returns the listening address; valid only after {@link CallerEdge.start}.
   *
   * @returns The address as `host:port`.
   */
  address(): string {
    return this.#server.address();
  }

  /**
   * Finds the body of a request, which the target edge sends on dispatch.
   *
   * @param requestId Id of the request.
   * @returns The body, or `undefined` once the request has its outcome.
   */
  findBody(requestId: string): string | undefined {
    return this.#bodies.find(requestId);
  }

  /**
   * Sends a complete answer; has no effect if the caller has disconnected.
   *
   * @param requestId Id of the call to answer.
   * @param answer The answer to send.
   */
  answer(requestId: string, answer: Answer): void {
    this.#deliverOutcome(requestId, (call) => call.answer(answer));
  }

  /**
   * Sends a refusal; has no effect if the caller has disconnected.
   *
   * @param requestId Id of the call to refuse.
   * @param refusal The refusal to send.
   */
  refuse(requestId: string, refusal: Refusal): void {
    this.#deliverOutcome(requestId, (call) => call.refuse(refusal));
  }

  /**
   * Sends a part of a streamed answer. Closes the connection of a caller whose
   * unread stream exceeds the buffer limit.
   *
   * @param requestId Id of the call.
   * @param text Text that follows the parts sent before.
   */
  streamText(requestId: string, text: string): void {
    const call = this.#calls.findAccepted(requestId);
    if (call === undefined) {
      return;
    }
    if (call.response.writableLength > this.#limits.maxBufferedStreamBytes) {
      this.#log(
        LogLevel.Warn,
        `Closed the connection of ${requestId}: the caller reads too slowly`,
      );
      call.response.destroy();
      return;
    }
    call.streamText(text);
  }

  /** Refuses new requests; open requests continue until their outcome. */
  beginShutdown(): void {
    this.#server.beginShutdown();
  }

  /**
   * Shuts the edge down.
   *
   * @returns Settles once every call has ended and the port is closed.
   */
  stop(): Promise<void> {
    return this.#server.stop();
  }

  #onRequest(request: IncomingMessage, response: ServerResponse): void {
    const call = new OpenCall(this.#options.generateRequestId(), response);
    response.setHeader(REQUEST_ID_HEADER, call.requestId);
    const fault = this.#admissionFault();
    if (fault !== undefined) {
      this.#refuseUnread(call, request, fault);
      return;
    }
    this.#calls.add(call);
    response.once("close", () => this.#onResponseClosed(call));
    this.#receive(call, request).catch((error) =>
      this.#onReceiveError(call, error)
    );
  }

  #admissionFault(): EdgeFault | undefined {
    if (this.#server.isShuttingDown) {
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
      this.#refuseFaultyBody(call, request, body.error);
      return;
    }
    call.reservedBodyBytes = body.value.length;
    if (call.response.destroyed) {
      this.#releaseBodyBudget(call);
      return;
    }
    parseCallerRequest(body.value).match(
      (parsed) => this.#accept(call, parsed, request),
      (fault) =>
        this.#refuseAfterRead(call, { error: ErrorKind.BadRequest, ...fault }),
    );
  }

  #refuseFaultyBody(
    call: OpenCall,
    request: IncomingMessage,
    error: BodyFault,
  ): void {
    if (error === ErrorKind.CallerGone) {
      return;
    }
    this.#refuseUnread(call, request, {
      error,
      message: BODY_FAULT_MESSAGES[error],
      retryAfterMs: this.#limits.retryAfterMs,
    });
  }

  #accept(
    call: OpenCall,
    parsed: CallerRequest,
    request: IncomingMessage,
  ): void {
    const spec = createRequestSpec(parsed, call.requestId);
    call.wantsStream = spec.stream;
    call.stage = CallStage.Accepted;
    this.#bodies.add(spec, parsed.body);
    this.#options.tracer?.startTrace(call.requestId, readTraceparent(request));
    this.#context.emit({ kind: EventKind.RequestArrived, spec });
  }

  #refuseUnread(
    call: OpenCall,
    request: IncomingMessage,
    fault: EdgeFault,
  ): void {
    call.stage = CallStage.Ended;
    this.#countRefusal(fault.error);
    refuseUnreadBody(call.response, edgeRefusal(call.requestId, fault), {
      request,
      limits: this.#limits,
      timers: this.#timers,
    });
  }

  #refuseAfterRead(call: OpenCall, fault: EdgeFault): void {
    this.#countRefusal(fault.error);
    this.#releaseBodyBudget(call);
    call.refuse(edgeRefusal(call.requestId, fault));
    this.#server.startDeliveryTimeout(call.response);
  }

  #deliverOutcome(requestId: string, deliver: (call: OpenCall) => void): void {
    const call = this.#calls.findAccepted(requestId);
    if (call === undefined) {
      return;
    }
    this.#releaseBody(call);
    deliver(call);
    this.#server.startDeliveryTimeout(call.response);
  }

  #onResponseClosed(call: OpenCall): void {
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
    this.#releaseBodyBudget(call);
  }

  #releaseBodyBudget(call: OpenCall): void {
    this.#bodyBudget.release(call.reservedBodyBytes);
    call.reservedBodyBytes = 0;
  }

  #onReceiveError(call: OpenCall, error: unknown): void {
    this.#log(
      LogLevel.Error,
      `Could not receive request ${call.requestId}: ${error}`,
    );
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

function readTraceparent(request: IncomingMessage): string | undefined {
  const value = request.headers.traceparent;
  return typeof value === "string" ? value : undefined;
}
