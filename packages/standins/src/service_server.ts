/** HTTP server of a simulated plain service, on the real clock. */

import type { ServerResponse } from "node:http";
import {
  type ServiceAnswer,
  type ServiceCall,
  serviceCallSchema,
} from "@chestnuthatch/wire/target_protocol";
import { DelayedWriter } from "./delayed_writer.ts";
import { type AttemptRef, toAttemptKey } from "./engine_stream.ts";
import { jsonRoute, sendJson } from "./http_server.ts";
import {
  ServiceModel,
  type ServiceModelOptions,
  type ServiceOutput,
} from "./service_model.ts";
import { TargetFaultKind } from "./target_faults.ts";
import { TargetServer, type TargetServerOptions } from "./target_server.ts";

/** Options of a service server. */
export interface ServiceServerOptions extends TargetServerOptions {
  readonly service: ServiceModelOptions;
}

interface PendingResponse {
  readonly response: ServerResponse;
  /** Whether the connection is closed after the run, without an answer. */
  readonly closesAfterRun: boolean;
  /** Another call's ids, which the answer carries in place of its own. */
  readonly crossedAttempt?: AttemptRef;
}

const HTTP_OK = 200;

/** Serves the HTTP interface of services from a {@link ServiceModel}. */
export class ServiceServer extends TargetServer<ServiceOutput, ServiceModel> {
  readonly #pending = new Map<string, PendingResponse>();

  /** @param options Options of the service, listen address and clock. */
  constructor(options: ServiceServerOptions) {
    super(new ServiceModel(options.service), options);
    this.app
      .post(
        "/v1/call",
        jsonRoute(
          serviceCallSchema,
          (call, response) => this.#handleCall(call, response),
        ),
      )
      .get(
        "/v1/load",
        (_request, response) =>
          sendJson(response, this.model.load(this.nowMs())),
      );
  }

  /** @inheritdoc */
  override stop(): Promise<void> {
    this.#pending.clear();
    return super.stop();
  }

  /** @inheritdoc */
  protected send({ answer }: ServiceOutput): void {
    const key = toAttemptKey(answer);
    const pending = this.#pending.get(key);
    this.#pending.delete(key);
    if (pending !== undefined) {
      this.#sendAnswer(pending, answer);
    }
  }

  #handleCall(call: ServiceCall, response: ServerResponse): void {
    const pending: PendingResponse = {
      response,
      closesAfterRun: this.faults.consume(TargetFaultKind.CutAfterRun),
      crossedAttempt: this.faults.consumeCrossedAttempt(call),
    };
    if (this.faults.consume(TargetFaultKind.DropBeforeAnswer)) {
      response.destroy();
    } else {
      this.#pending.set(toAttemptKey(call), pending);
    }
    this.model.submit(call, this.nowMs());
    this.deliverOutputs();
  }

  #sendAnswer(pending: PendingResponse, answer: ServiceAnswer): void {
    const { response, closesAfterRun, crossedAttempt } = pending;
    const { delayMs } = this.faults;
    const writer = new DelayedWriter(response, this.nowMs);
    if (closesAfterRun) {
      writer.closeSocket(delayMs);
      return;
    }
    response.writeHead(HTTP_OK, { "content-type": "application/json" });
    writer.write(JSON.stringify({ ...answer, ...crossedAttempt }), delayMs);
    writer.end(delayMs);
  }
}
