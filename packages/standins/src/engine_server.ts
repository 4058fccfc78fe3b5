/** HTTP server of a simulated engine, on the real clock. */

import type { IncomingMessage, ServerResponse } from "node:http";
import {
  cancelRequestSchema,
  type GenerateRequest,
  generateRequestSchema,
  type OrderRequest,
  orderRequestSchema,
} from "@chestnuthatch/wire/target_protocol";
import { EngineModel, type EngineOutput } from "./engine_model.ts";
import type { EngineModelOptions } from "./engine_model_options.ts";
import { type AttemptRef, toAttemptKey } from "./engine_stream.ts";
import {
  jsonRoute,
  parseQuery,
  sendBadRequest,
  sendJson,
} from "./http_server.ts";
import {
  NO_STREAM_FAULTS,
  type StreamFaults,
  StreamSink,
} from "./stream_sink.ts";
import { type TargetFault, TargetFaultKind } from "./target_faults.ts";
import { TargetServer, type TargetServerOptions } from "./target_server.ts";

/** Options of an engine server. */
export interface EngineServerOptions extends TargetServerOptions {
  readonly engine: EngineModelOptions;
}

const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;

/** Serves the HTTP interface of engines from an {@link EngineModel}. */
export class EngineServer extends TargetServer<EngineOutput, EngineModel> {
  readonly #sinks = new Map<string, StreamSink>();

  /** @param options Options of the engine, listen address and clock. */
  constructor(options: EngineServerOptions) {
    const model = new EngineModel({ ...options.engine, coalesceTokens: false });
    super(model, options);
    this.#addRoutes();
  }

  /** @inheritdoc */
  override stop(): Promise<void> {
    this.#sinks.clear();
    return super.stop();
  }

  /** @inheritdoc */
  override setFault(fault: TargetFault): void {
    super.setFault(fault);
    this.deliverOutputs();
  }

  /** @inheritdoc */
  protected send(output: EngineOutput): void {
    this.#sendEvent(output, output.event);
  }

  #addRoutes(): void {
    this.app
      .post(
        "/v1/generate",
        jsonRoute(
          generateRequestSchema,
          (body, response) => this.#handleGenerate(body, response),
        ),
      )
      .get(
        "/v1/resume",
        (request, response) => this.#handleResume(request, response),
      )
      .post(
        "/v1/cancel",
        jsonRoute(
          cancelRequestSchema,
          (body, response) => this.#handleCancel(body, response),
        ),
      )
      .get(
        "/v1/load",
        (_request, response) =>
          this.#sendAnswer(response, () => this.model.load(this.nowMs())),
      )
      .get(
        "/v1/cache-events",
        (request, response) => this.#handleCacheEvents(request, response),
      )
      .post(
        "/v1/orders",
        jsonRoute(
          orderRequestSchema,
          (body, response) => this.#handleOrder(body, response),
        ),
      )
      .get(
        "/v1/state",
        (_request, response) =>
          this.#sendAnswer(response, () => this.model.state()),
      );
  }

  #handleGenerate(request: GenerateRequest, response: ServerResponse): void {
    const faults = this.#consumeStreamFaults(request);
    if (this.faults.consume(TargetFaultKind.DropBeforeAnswer)) {
      response.destroy();
    } else {
      this.#attachSink(request, new StreamSink(response, this.nowMs, faults));
    }
    this.model.submit(request, this.nowMs());
    this.deliverOutputs();
  }

  #consumeStreamFaults(attempt: AttemptRef): StreamFaults {
    const breaksStream = this.faults.consume(TargetFaultKind.BreakStream);
    return {
      breakAtToken: breaksStream ? this.faults.breakAfterTokens : undefined,
      crossedAttempt: this.faults.consumeCrossedAttempt(attempt),
      duplicateEnd: this.faults.consume(TargetFaultKind.DuplicateEnd),
    };
  }

  #handleResume(request: IncomingMessage, response: ServerResponse): void {
    const query = parseQuery(request);
    const attempt: AttemptRef = {
      requestId: query.get("requestId") ?? "",
      attemptNonce: query.get("attemptNonce") ?? "",
    };
    const fromToken = Number(query.get("fromToken") ?? "0");
    if (!Number.isInteger(fromToken) || fromToken < 0) {
      sendBadRequest(response, "fromToken must be a whole number from 0");
      return;
    }
    this.deliverOutputs();
    const events = this.model.resume(attempt, fromToken);
    if (events === undefined) {
      sendJson(response, { message: "unknown attempt" }, {
        status: HTTP_NOT_FOUND,
      });
      return;
    }
    const sink = new StreamSink(response, this.nowMs, NO_STREAM_FAULTS);
    this.#attachSink(attempt, sink);
    events.forEach((event) => this.#sendEvent(attempt, event));
  }

  #handleCancel(attempt: AttemptRef, response: ServerResponse): void {
    const cancelled = this.model.cancel(attempt, this.nowMs());
    this.deliverOutputs();
    this.#sendAnswer(response, () => ({ cancelled }));
  }

  #handleCacheEvents(request: IncomingMessage, response: ServerResponse): void {
    const after = Number(parseQuery(request).get("after") ?? "0");
    if (!Number.isInteger(after) || after < 0) {
      sendBadRequest(response, "after must be a whole number from 0");
      return;
    }
    this.#sendAnswer(
      response,
      () => this.model.cacheEvents(after, this.nowMs()),
    );
  }

  #handleOrder(order: OrderRequest, response: ServerResponse): void {
    const answer = this.faults.refusesOrders
      ? { obeyed: false, state: this.model.state() }
      : this.model.applyOrder(order);
    const status = answer.obeyed ? undefined : HTTP_CONFLICT;
    this.#sendAnswer(response, () => answer, { status });
  }

  #sendAnswer(
    response: ServerResponse,
    createBody: () => unknown,
    options: { readonly status?: number } = {},
  ): void {
    const send = () => sendJson(response, createBody(), options);
    const { delayMs } = this.faults;
    if (delayMs === 0) {
      send();
    } else {
      const timer = setTimeout(send, delayMs);
      response.on("close", () => clearTimeout(timer));
    }
  }

  #attachSink(attempt: AttemptRef, sink: StreamSink): void {
    const key = toAttemptKey(attempt);
    this.#sinks.get(key)?.destroy();
    this.#sinks.set(key, sink);
  }

  #sendEvent(attempt: AttemptRef, event: EngineOutput["event"]): void {
    const key = toAttemptKey(attempt);
    const sink = this.#sinks.get(key);
    if (sink !== undefined && !sink.send(event, this.faults.delayMs)) {
      this.#sinks.delete(key);
    }
  }
}
