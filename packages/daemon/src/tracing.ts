/** Traces with one span for each hop of a request. */

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

/** The hops of a request, in the order of its life. */
export enum HopName {
  Receive = "receive",
  Wait = "wait",
  Claim = "claim",
  Grant = "grant",
  Dispatch = "dispatch",
  Stream = "stream",
  Deliver = "deliver",
}

/** Told of a request's steps; makes spans of them, or nothing. */
export interface RequestTracing {
  /**
   * Begins a request's trace and its first hop.
   *
   * @param requestId The request.
   * @param traceparent The caller's header, if it sent one.
   */
  received(requestId: string, traceparent?: string): void;
  /**
   * Begins a hop and ends the one before it.
   *
   * @param requestId The request.
   * @param name The hop that begins.
   * @param atMs When, by the instance's clock.
   */
  hop(requestId: string, name: HopName, atMs: number): void;
  /** @param requestId The request that has its outcome. */
  finished(requestId: string): void;
  /**
   * @param requestId The request.
   * @returns The header for calls made on its behalf, if it is traced.
   */
  traceparentOf(requestId: string): string | undefined;
  /** @returns Nothing, once all spans are exported. */
  stop(): Promise<void>;
}

/** Tracing that is turned off. */
export const NO_TRACING: RequestTracing = {
  received() {},
  hop() {},
  finished() {},
  traceparentOf: () => undefined,
  stop: () => Promise.resolve(),
};

/** What tracing needs. */
export interface TracingOptions {
  readonly exporter: SpanExporter;
  readonly clock: Clock;
  /** Wall-clock time at the clock's zero, in milliseconds since 1970. */
  readonly clockZeroMs: number;
  readonly instanceId: string;
  /** Most requests traced at a time; further ones go without a trace. */
  readonly maxOpenTraces?: number;
  readonly idGenerator?: IdGenerator;
}

const TRACER_NAME = "chestnuthatch";
const DEFAULT_MAX_OPEN_TRACES = 4096;
const MS_PER_SECOND = 1000;
const NS_PER_MS = 1_000_000;

interface OpenTrace {
  readonly root: Span;
  readonly context: Context;
  hop: Span;
}

/** Makes a span for each hop under one span for the request. */
export class SpanTracing implements RequestTracing {
  readonly #options: TracingOptions;
  readonly #provider: BasicTracerProvider;
  readonly #tracer: Tracer;
  readonly #open = new Map<string, OpenTrace>();

  /** @param options Where spans go and what time it is. */
  constructor(options: TracingOptions) {
    this.#options = options;
    this.#provider = new BasicTracerProvider({
      idGenerator: options.idGenerator ?? new RandomIdGenerator(),
      spanProcessors: [new SimpleSpanProcessor(options.exporter)],
    });
    this.#tracer = this.#provider.getTracer(TRACER_NAME);
  }

  received(requestId: string, traceparent?: string): void {
    const maxOpen = this.#options.maxOpenTraces ?? DEFAULT_MAX_OPEN_TRACES;
    if (this.#open.size >= maxOpen) {
      return;
    }
    const startTime = this.#time(this.#options.clock.nowMs());
    const attributes = { requestId, instanceId: this.#options.instanceId };
    const root = this.#tracer.startSpan(
      "request",
      { startTime, attributes },
      parentContext(traceparent),
    );
    const context = trace.setSpan(ROOT_CONTEXT, root);
    const hop = this.#tracer.startSpan(HopName.Receive, { startTime }, context);
    this.#open.set(requestId, { root, context, hop });
  }

  hop(requestId: string, name: HopName, atMs: number): void {
    const open = this.#open.get(requestId);
    if (open === undefined) {
      return;
    }
    const startTime = this.#time(atMs);
    open.hop.end(startTime);
    open.hop = this.#tracer.startSpan(name, { startTime }, open.context);
  }

  finished(requestId: string): void {
    const open = this.#open.get(requestId);
    if (open === undefined) {
      return;
    }
    this.#open.delete(requestId);
    const endTime = this.#time(this.#options.clock.nowMs());
    open.hop.end(endTime);
    open.root.end(endTime);
  }

  traceparentOf(requestId: string): string | undefined {
    const open = this.#open.get(requestId);
    return open && formatTraceparent(open.hop.spanContext());
  }

  stop(): Promise<void> {
    return this.#provider.shutdown();
  }

  #time(atMs: number): HrTime {
    const wallMs = this.#options.clockZeroMs + atMs;
    const seconds = Math.floor(wallMs / MS_PER_SECOND);
    const restMs = wallMs - seconds * MS_PER_SECOND;
    return [seconds, Math.floor(restMs * NS_PER_MS)];
  }
}

function parentContext(traceparent: string | undefined): Context {
  const parent = traceparent && parseTraceparent(traceparent);
  return parent ? trace.setSpanContext(ROOT_CONTEXT, parent) : ROOT_CONTEXT;
}
