/** Tracing of requests, with one span for each step of a request. */

import {
  type Context,
  type HrTime,
  ROOT_CONTEXT,
  type Span,
  trace,
  type Tracer,
} from "@opentelemetry/api";
import {
  BasicTracerProvider,
  type IdGenerator,
  RandomIdGenerator,
  SimpleSpanProcessor,
  type SpanExporter,
} from "@opentelemetry/sdk-trace-base";
import type { Clock } from "./ports.ts";
import { formatTraceparent, parseTraceparent } from "./trace_context.ts";

/** Names of the spans of a request, in order of its processing. */
export enum SpanName {
  Receive = "receive",
  Wait = "wait",
  Claim = "claim",
  Grant = "grant",
  Dispatch = "dispatch",
  Stream = "stream",
  Deliver = "deliver",
}

/** Records the processing steps of requests as spans of traces. */
export interface RequestTracer {
  /**
   * Starts the trace of a request, and its `receive` span.
   *
   * @param requestId Id of the request.
   * @param traceparent Value of the caller's `traceparent` header, if any.
   */
  startTrace(requestId: string, traceparent?: string): void;
  /**
   * Starts the next span of a request and ends the one before it.
   *
   * @param requestId Id of the request.
   * @param name Name of the span to start.
   * @param atMs Time of the step on the instance's clock, in milliseconds.
   */
  startSpan(requestId: string, name: SpanName, atMs: number): void;
  /**
   * Ends the trace of a request.
   *
   * @param requestId Id of a request that has its outcome.
   */
  endTrace(requestId: string): void;
  /**
   * Returns the `traceparent` header for calls made on behalf of a request.
   *
   * @param requestId Id of the request.
   * @returns Value of the header, or `undefined` if the request is not traced.
   */
  currentTraceparent(requestId: string): string | undefined;
  /**
   * Shuts tracing down.
   *
   * @returns Settles once all ended spans are exported.
   */
  stop(): Promise<void>;
}

/** Tracer that records nothing, for use while tracing is off. */
export const NO_OP_REQUEST_TRACER: RequestTracer = {
  startTrace() {},
  startSpan() {},
  endTrace() {},
  currentTraceparent: () => undefined,
  stop: () => Promise.resolve(),
};

/** Options of a {@link SpanRequestTracer}. */
export interface RequestTracerOptions {
  /** Destination of ended spans. */
  readonly exporter: SpanExporter;
  /** Monotonic clock of the instance. */
  readonly clock: Clock;
  /** Unix time in milliseconds at which `clock` reads 0. */
  readonly clockOriginMs: number;
  /** Id of the instance, an attribute of each root span. */
  readonly instanceId: string;
  /** Maximum number of open traces, 4096 by default; excess is not traced. */
  readonly maxOpenTraces?: number;
  /** Generates trace and span ids; random by default. */
  readonly idGenerator?: IdGenerator;
}

const TRACER_NAME = "chestnuthatch";
const DEFAULT_MAX_OPEN_TRACES = 4096;
const MS_PER_SECOND = 1000;
const NS_PER_MS = 1_000_000;

interface OpenTrace {
  readonly root: Span;
  /** Context in which spans become children of `root`. */
  readonly context: Context;
  currentSpan: Span;
}

/** Records one root span for each request, with a child span for each step. */
export class SpanRequestTracer implements RequestTracer {
  readonly #options: RequestTracerOptions;
  readonly #provider: BasicTracerProvider;
  readonly #tracer: Tracer;
  readonly #openTraces = new Map<string, OpenTrace>();

  /** @param options Exporter, clock and limits. */
  constructor(options: RequestTracerOptions) {
    this.#options = options;
    this.#provider = new BasicTracerProvider({
      idGenerator: options.idGenerator ?? new RandomIdGenerator(),
      spanProcessors: [new SimpleSpanProcessor(options.exporter)],
    });
    this.#tracer = this.#provider.getTracer(TRACER_NAME);
  }

  /** @inheritdoc */
  startTrace(requestId: string, traceparent?: string): void {
    const maxOpen = this.#options.maxOpenTraces ?? DEFAULT_MAX_OPEN_TRACES;
    if (this.#openTraces.size >= maxOpen) {
      return;
    }
    const startTime = this.#toUnixTime(this.#options.clock.nowMs());
    const attributes = { requestId, instanceId: this.#options.instanceId };
    const root = this.#tracer.startSpan(
      "request",
      { startTime, attributes },
      createParentContext(traceparent),
    );
    const context = trace.setSpan(ROOT_CONTEXT, root);
    const currentSpan = this.#tracer.startSpan(
      SpanName.Receive,
      { startTime },
      context,
    );
    this.#openTraces.set(requestId, { root, context, currentSpan });
  }

  /** @inheritdoc */
  startSpan(requestId: string, name: SpanName, atMs: number): void {
    const openTrace = this.#openTraces.get(requestId);
    if (openTrace === undefined) {
      return;
    }
    const startTime = this.#toUnixTime(atMs);
    openTrace.currentSpan.end(startTime);
    openTrace.currentSpan = this.#tracer.startSpan(
      name,
      { startTime },
      openTrace.context,
    );
  }

  /** @inheritdoc */
  endTrace(requestId: string): void {
    const openTrace = this.#openTraces.get(requestId);
    if (openTrace === undefined) {
      return;
    }
    this.#openTraces.delete(requestId);
    const endTime = this.#toUnixTime(this.#options.clock.nowMs());
    openTrace.currentSpan.end(endTime);
    openTrace.root.end(endTime);
  }

  /** @inheritdoc */
  currentTraceparent(requestId: string): string | undefined {
    const openTrace = this.#openTraces.get(requestId);
    return openTrace && formatTraceparent(openTrace.currentSpan.spanContext());
  }

  /** @inheritdoc */
  stop(): Promise<void> {
    return this.#provider.shutdown();
  }

  #toUnixTime(atMs: number): HrTime {
    const unixMs = this.#options.clockOriginMs + atMs;
    const seconds = Math.floor(unixMs / MS_PER_SECOND);
    const remainderMs = unixMs - seconds * MS_PER_SECOND;
    return [seconds, Math.floor(remainderMs * NS_PER_MS)];
  }
}

function createParentContext(traceparent: string | undefined): Context {
  const parent = traceparent && parseTraceparent(traceparent);
  return parent ? trace.setSpanContext(ROOT_CONTEXT, parent) : ROOT_CONTEXT;
}
