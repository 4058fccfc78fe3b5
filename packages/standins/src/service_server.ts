/** A plain service over HTTP on the real clock. */

import type { ServerResponse } from "node:http";
import {
  type ServiceAnswer,
  type ServiceCall,
  serviceCallSchema,
} from "@chestnuthatch/wire/target_protocol";
import { DelayedWriter } from "./delayed_writer.ts";
import { attemptKeyOf, type AttemptRef } from "./engine_stream.ts";
import { jsonRoute, sendJson } from "./http_host.ts";
import {
  ServiceModel,
  type ServiceModelOptions,
  type ServiceOutput,
} from "./service_model.ts";
import { TargetFaultKind } from "./target_faults.ts";
import { TargetServer, type TargetServerOptions } from "./target_server.ts";

/** What a service server is like. */
export interface ServiceServerOptions extends TargetServerOptions {
  readonly service: ServiceModelOptions;
}

interface PendingResponse {
  readonly response: ServerResponse;
  readonly cutAfterRun: boolean;
  /** Ids of another call, to be sent in place of its own. */
  readonly crossedWith?: AttemptRef;
}

const HTTP_OK = 200;

/** Serves a {@link ServiceModel}. */
export class ServiceServer extends TargetServer<ServiceOutput, ServiceModel> {
  readonly #pending = new Map<string, PendingResponse>();

  /** @param options What the server is like. */
  constructor(options: ServiceServerOptions) {
    super(new ServiceModel(options.service), options);
    this.app
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
    const key = attemptKeyOf(answer);
    const pending = this.#pending.get(key);
    this.#pending.delete(key);
    if (pending !== undefined) {
      this.#answer(pending, answer);
    }
  }

  #call(call: ServiceCall, response: ServerResponse): void {
    const pending: PendingResponse = {
      response,
      cutAfterRun: this.faults.take(TargetFaultKind.CutAfterRun),
      crossedWith: this.faults.takeCrossing(call),
    };
    if (this.faults.take(TargetFaultKind.DropBeforeAnswer)) {
      response.destroy();
    } else {
      this.#pending.set(attemptKeyOf(call), pending);
    }
    this.model.admit(call, this.nowMs());
    this.deliver();
  }

  #answer(pending: PendingResponse, answer: ServiceAnswer): void {
    const { response, cutAfterRun, crossedWith } = pending;
    const { delayMs } = this.faults;
    const writer = new DelayedWriter(response, this.nowMs);
    if (cutAfterRun) {
      writer.cut(delayMs);
      return;
    }
    response.writeHead(HTTP_OK, { "content-type": "application/json" });
    writer.write(JSON.stringify({ ...answer, ...crossedWith }), delayMs);
    writer.end(delayMs);
  }
}
