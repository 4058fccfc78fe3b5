/** A model engine over HTTP on the real clock. */

import type { IncomingMessage, ServerResponse } from "node:http";
import {
  cancelRequestSchema,
  type GenerateRequest,
  generateRequestSchema,
  type OrderRequest,
  orderRequestSchema,
} from "@chestnuthatch/wire/target_protocol";
import { plainCountsOf } from "./engine_counts.ts";
import {
  EngineModel,
  type EngineModelOptions,
  type EngineOutput,
} from "./engine_model.ts";
import { attemptKeyOf, type AttemptRef } from "./engine_stream.ts";
import {
  HttpHost,
  jsonRoute,
  type ListenAddress,
  type ListenOptions,
  type NowMs,
  processNowMs,
  queryOf,
  sendBadRequest,
  sendJson,
} from "./http_host.ts";
import { handleByKind, type KindHandlers } from "./kind_handlers.ts";
import { ModelTimer } from "./model_timer.ts";
import {
  NO_STREAM_FAULTS,
  type StreamFaults,
  StreamSink,
} from "./stream_sink.ts";
import {
  FaultCounters,
  type TargetFault,
  TargetFaultKind,
  targetFaultSchema,
  UNKNOWN_ATTEMPT,
} from "./target_faults.ts";

/** What an engine server is like. */
export interface EngineServerOptions extends ListenOptions {
  readonly engine: EngineModelOptions;
  /** The clock; the process's own where absent. */
  readonly nowMs?: NowMs;
}

const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;

/** Serves an {@link EngineModel}. */
export class EngineServer {
  /** The engine behind the server. */
  readonly model: EngineModel;
  readonly #host: HttpHost;
  readonly #nowMs: NowMs;
  readonly #timer: ModelTimer;
  readonly #sinks = new Map<string, StreamSink>();
  readonly #faults = new FaultCounters();
  readonly #faultHandlers: KindHandlers<TargetFault> = this
    .#makeFaultHandlers();
  #breakAfterTokens = 0;
  #delayMs = 0;
  #refusesOrders = false;
  #lastAttempt = UNKNOWN_ATTEMPT;

  /** @param options What the server is like. */
  constructor(options: EngineServerOptions) {
    this.model = new EngineModel({ ...options.engine, coalesceTokens: false });
    this.#host = new HttpHost({ host: options.host, port: options.port });
    this.#nowMs = options.nowMs ?? processNowMs;
    this.#timer = new ModelTimer(this.model, this.#nowMs, {
      onDue: () => this.#deliver(),
    });
    this.#addRoutes();
  }

  /**
   * Starts to listen.
   *
   * @returns Where it listens.
   */
  start(): Promise<ListenAddress> {
    return this.#host.start();
  }

  /** Stops the server and cuts every connection. */
  stop(): Promise<void> {
    this.#timer.stop();
    this.#sinks.clear();
    return this.#host.stop();
  }

  /** Loses everything and refuses connections. */
  kill(): Promise<void> {
    this.model.kill(this.#nowMs());
    return this.stop();
  }

  /**
   * Starts anew after a kill, empty and on the same address.
   *
   * @returns Where it listens.
   */
  revive(): Promise<ListenAddress> {
    this.model.revive(this.#nowMs());
    return this.#host.start();
  }

  /**
   * Switches a fault.
   *
   * @param fault The fault.
   */
  setFault(fault: TargetFault): void {
    handleByKind(this.#faultHandlers, fault);
    this.#deliver();
  }

  #addRoutes(): void {
    this.#host.app
      .post(
        "/v1/generate",
        jsonRoute(
          generateRequestSchema,
          (body, response) => this.#generate(body, response),
        ),
      )
      .get("/v1/resume", (request, response) => this.#resume(request, response))
      .post(
        "/v1/cancel",
        jsonRoute(
          cancelRequestSchema,
          (body, response) => this.#cancel(body, response),
        ),
      )
      .get(
        "/v1/load",
        (_request, response) =>
          this.#answer(response, () => this.model.load(this.#nowMs())),
      )
      .get(
        "/v1/cache-events",
        (request, response) => this.#cacheEvents(request, response),
      )
      .post(
        "/v1/orders",
        jsonRoute(
          orderRequestSchema,
          (body, response) => this.#order(body, response),
        ),
      )
      .get(
        "/v1/state",
        (_request, response) =>
          this.#answer(response, () => this.model.state()),
      )
      .get(
        "/standin/counts",
        (_request, response) =>
          sendJson(response, plainCountsOf(this.model.counts)),
      )
      .post(
        "/standin/faults",
        jsonRoute(targetFaultSchema, (fault, response) => {
          response.on("finish", () => this.setFault(fault));
          sendJson(response, {});
        }),
      );
  }

  #generate(request: GenerateRequest, response: ServerResponse): void {
    const faults = this.#takeStreamFaults();
    this.#lastAttempt = {
      requestId: request.requestId,
      attemptNonce: request.attemptNonce,
    };
    if (this.#faults.take(TargetFaultKind.DropBeforeAnswer)) {
      response.destroy();
    } else {
      this.#follow(request, new StreamSink(response, this.#nowMs, faults));
    }
    this.model.admit(request, this.#nowMs());
    this.#deliver();
  }

  #takeStreamFaults(): StreamFaults {
    const breaks = this.#faults.take(TargetFaultKind.BreakStream);
    const crosses = this.#faults.take(TargetFaultKind.CrossAnswers);
    return {
      breakAtToken: breaks ? this.#breakAfterTokens : undefined,
      crossedWith: crosses ? this.#lastAttempt : undefined,
      duplicateEnd: this.#faults.take(TargetFaultKind.DuplicateEnd),
    };
  }

  #resume(request: IncomingMessage, response: ServerResponse): void {
    const query = queryOf(request);
    const attempt: AttemptRef = {
      requestId: query.get("requestId") ?? "",
      attemptNonce: query.get("attemptNonce") ?? "",
    };
    const fromToken = Number(query.get("fromToken") ?? "0");
    if (!Number.isInteger(fromToken) || fromToken < 0) {
      sendBadRequest(response, "fromToken must be a whole number from 0");
      return;
    }
    this.#deliver();
    const events = this.model.resume(attempt, fromToken);
    if (events === undefined) {
      sendJson(response, { message: "unknown attempt" }, {
        status: HTTP_NOT_FOUND,
      });
      return;
    }
    const sink = new StreamSink(response, this.#nowMs, NO_STREAM_FAULTS);
    this.#follow(attempt, sink);
    events.forEach((event) => this.#send(attempt, event));
  }

  #cancel(attempt: AttemptRef, response: ServerResponse): void {
    const cancelled = this.model.cancel(attempt, this.#nowMs());
    this.#deliver();
    this.#answer(response, () => ({ cancelled }));
  }

  #cacheEvents(request: IncomingMessage, response: ServerResponse): void {
    const after = Number(queryOf(request).get("after") ?? "0");
    if (!Number.isInteger(after) || after < 0) {
      sendBadRequest(response, "after must be a whole number from 0");
      return;
    }
    this.#answer(
      response,
      () => this.model.cacheEvents(after, this.#nowMs()),
    );
  }

  #order(order: OrderRequest, response: ServerResponse): void {
    const answer = this.#refusesOrders
      ? { obeyed: false, state: this.model.state() }
      : this.model.order(order);
    const status = answer.obeyed ? undefined : HTTP_CONFLICT;
    this.#answer(response, () => answer, { status });
  }

  #answer(
    response: ServerResponse,
    makeBody: () => unknown,
    options: { readonly status?: number } = {},
  ): void {
    const send = () => sendJson(response, makeBody(), options);
    if (this.#delayMs === 0) {
      send();
    } else {
      const timer = setTimeout(send, this.#delayMs);
      response.on("close", () => clearTimeout(timer));
    }
  }

  #follow(attempt: AttemptRef, sink: StreamSink): void {
    const key = attemptKeyOf(attempt);
    this.#sinks.get(key)?.destroy();
    this.#sinks.set(key, sink);
  }

  #deliver(): void {
    const outputs = this.model.advance(this.#nowMs());
    outputs.forEach((output: EngineOutput) => this.#send(output, output.event));
    this.#timer.arm();
  }

  #send(attempt: AttemptRef, event: EngineOutput["event"]): void {
    const key = attemptKeyOf(attempt);
    const sink = this.#sinks.get(key);
    if (sink !== undefined && !sink.send(event, this.#delayMs)) {
      this.#sinks.delete(key);
    }
  }

  #makeFaultHandlers(): KindHandlers<TargetFault> {
    const count = (fault: Extract<TargetFault, { times: number }>) =>
      this.#faults.set(fault.kind, fault.times);
    return {
      [TargetFaultKind.BreakStream]: (fault) => {
        this.#breakAfterTokens = fault.afterTokens;
        count(fault);
      },
      [TargetFaultKind.DropBeforeAnswer]: count,
      [TargetFaultKind.CutAfterRun]: () => {},
      [TargetFaultKind.CrossAnswers]: count,
      [TargetFaultKind.DuplicateEnd]: count,
      [TargetFaultKind.DelayAnswers]: (fault) => {
        this.#delayMs = fault.delayMs;
      },
      [TargetFaultKind.RefuseOrders]: (fault) => {
        this.#refusesOrders = fault.on;
      },
      [TargetFaultKind.Straggle]: (fault) =>
        this.model.setSlowdown(fault.factor, this.#nowMs()),
      [TargetFaultKind.Leave]: (fault) =>
        this.model.setLeaving(fault.leaving, this.#nowMs()),
      [TargetFaultKind.Die]: () => void this.kill(),
    };
  }
}
