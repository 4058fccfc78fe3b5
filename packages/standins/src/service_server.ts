/** A plain service over HTTP on the real clock. */

import type { ServerResponse } from "node:http";
import {
  type ServiceAnswer,
  type ServiceCall,
  serviceCallSchema,
} from "@chestnuthatch/wire/target_protocol";
import { DelayedWriter } from "./delayed_writer.ts";
import { plainCountsOf } from "./engine_counts.ts";
import { attemptKeyOf, type AttemptRef } from "./engine_stream.ts";
import {
  HttpHost,
  jsonRoute,
  type ListenAddress,
  type ListenOptions,
  type NowMs,
  processNowMs,
  sendJson,
} from "./http_host.ts";
import { handleByKind, type KindHandlers } from "./kind_handlers.ts";
import { ModelTimer } from "./model_timer.ts";
import { ServiceModel, type ServiceModelOptions } from "./service_model.ts";
import {
  FaultCounters,
  type TargetFault,
  TargetFaultKind,
  targetFaultSchema,
  UNKNOWN_ATTEMPT,
} from "./target_faults.ts";

/** What a service server is like. */
export interface ServiceServerOptions extends ListenOptions {
  readonly service: ServiceModelOptions;
  /** The clock; the process's own where absent. */
  readonly nowMs?: NowMs;
}

interface PendingResponse {
  readonly response: ServerResponse;
  readonly cutAfterRun: boolean;
  /** Ids of another call, to be sent in place of its own. */
  readonly crossedWith?: AttemptRef;
}

const HTTP_OK = 200;

/** Serves a {@link ServiceModel}. */
export class ServiceServer {
  /** The service behind the server. */
  readonly model: ServiceModel;
  readonly #host: HttpHost;
  readonly #nowMs: NowMs;
  readonly #timer: ModelTimer;
  readonly #pending = new Map<string, PendingResponse>();
  readonly #faults = new FaultCounters();
  readonly #faultHandlers: KindHandlers<TargetFault> = this
    .#makeFaultHandlers();
  #delayMs = 0;
  #lastAttempt = UNKNOWN_ATTEMPT;

  /** @param options What the server is like. */
  constructor(options: ServiceServerOptions) {
    this.model = new ServiceModel(options.service);
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
    this.#pending.clear();
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
   * @param fault The fault; those of streams and orders change nothing.
   */
  setFault(fault: TargetFault): void {
    handleByKind(this.#faultHandlers, fault);
  }

  #addRoutes(): void {
    this.#host.app
      .post(
        "/v1/call",
        jsonRoute(
          serviceCallSchema,
          (call, response) => this.#call(call, response),
        ),
      )
      .get(
        "/v1/load",
        (_request, response) =>
          sendJson(response, this.model.load(this.#nowMs())),
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

  #call(call: ServiceCall, response: ServerResponse): void {
    const crosses = this.#faults.take(TargetFaultKind.CrossAnswers);
    const pending: PendingResponse = {
      response,
      cutAfterRun: this.#faults.take(TargetFaultKind.CutAfterRun),
      crossedWith: crosses ? this.#lastAttempt : undefined,
    };
    this.#lastAttempt = {
      requestId: call.requestId,
      attemptNonce: call.attemptNonce,
    };
    if (this.#faults.take(TargetFaultKind.DropBeforeAnswer)) {
      response.destroy();
    } else {
      this.#pending.set(attemptKeyOf(call), pending);
    }
    this.model.admit(call, this.#nowMs());
    this.#deliver();
  }

  #deliver(): void {
    for (const { answer } of this.model.advance(this.#nowMs())) {
      const key = attemptKeyOf(answer);
      const pending = this.#pending.get(key);
      this.#pending.delete(key);
      if (pending !== undefined) {
        this.#answer(pending, answer);
      }
    }
    this.#timer.arm();
  }

  #answer(pending: PendingResponse, answer: ServiceAnswer): void {
    const { response, cutAfterRun, crossedWith } = pending;
    const writer = new DelayedWriter(response, this.#nowMs);
    if (cutAfterRun) {
      writer.cut(this.#delayMs);
      return;
    }
    response.writeHead(HTTP_OK, { "content-type": "application/json" });
    writer.write(JSON.stringify({ ...answer, ...crossedWith }), this.#delayMs);
    writer.end(this.#delayMs);
  }

  #makeFaultHandlers(): KindHandlers<TargetFault> {
    const count = (fault: Extract<TargetFault, { times: number }>) =>
      this.#faults.set(fault.kind, fault.times);
    const ignore = () => {};
    return {
      [TargetFaultKind.BreakStream]: ignore,
      [TargetFaultKind.DropBeforeAnswer]: count,
      [TargetFaultKind.CutAfterRun]: count,
      [TargetFaultKind.CrossAnswers]: count,
      [TargetFaultKind.DuplicateEnd]: ignore,
      [TargetFaultKind.DelayAnswers]: (fault) => {
        this.#delayMs = fault.delayMs;
      },
      [TargetFaultKind.RefuseOrders]: ignore,
      [TargetFaultKind.Straggle]: (fault) =>
        this.model.setSlowdown(fault.factor),
      [TargetFaultKind.Leave]: (fault) =>
        this.model.setLeaving(fault.leaving, this.#nowMs()),
      [TargetFaultKind.Die]: () => void this.kill(),
    };
  }
}
