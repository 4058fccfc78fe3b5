/** What the HTTP servers of engines and services share. */

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
import { plainCountsOf, type TargetCounts } from "./target_counts.ts";
import {
  ActiveFaults,
  type TargetFault,
  TargetFaultKind,
  targetFaultSchema,
} from "./target_faults.ts";
import type { TargetModel, TimedOutput } from "./target_model.ts";

/** Where a target server listens, and its clock. */
export interface TargetServerOptions extends ListenOptions {
  /** The clock; the process's own where absent. */
  readonly nowMs?: NowMs;
}

/** Serves a model on the real clock, with switches for its faults. */
export abstract class TargetServer<
  Output extends TimedOutput,
  Model extends TargetModel<TargetCounts, Output>,
> {
  /** The target behind the server. */
  readonly model: Model;
  readonly #host: HttpHost;
  readonly #timer: ModelTimer;
  readonly #faultHandlers = this.#makeFaultHandlers();
  protected readonly nowMs: NowMs;
  protected readonly faults = new ActiveFaults();

  /**
   * @param model The target behind the server.
   * @param options Where to listen, and the clock.
   */
  constructor(model: Model, options: TargetServerOptions) {
    this.model = model;
    this.#host = new HttpHost({ host: options.host, port: options.port });
    this.nowMs = options.nowMs ?? processNowMs;
    this.#timer = new ModelTimer(model, this.nowMs, {
      onDue: () => this.deliver(),
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
    return this.#host.stop();
  }

  /** Loses everything and refuses connections. */
  kill(): Promise<void> {
    this.model.kill(this.nowMs());
    return this.stop();
  }

  /**
   * Starts anew after a kill, empty and on the same address.
   *
   * @returns Where it listens.
   */
  revive(): Promise<ListenAddress> {
    this.model.revive(this.nowMs());
    return this.#host.start();
  }

  /**
   * Switches a fault.
   *
   * @param fault The fault; one that this kind of target lacks changes nothing.
   */
  setFault(fault: TargetFault): void {
    handleByKind(this.#faultHandlers, fault);
  }

  /** Routes are added here before the start. */
  protected get app(): HttpHost["app"] {
    return this.#host.app;
  }

  /** Sends what the model has to give, and waits for what comes next. */
  protected deliver(): void {
    for (const output of this.model.advance(this.nowMs())) {
      this.send(output);
    }
    this.#timer.arm();
  }

  /** @param output What the model gave; dropped where nobody waits for it. */
  protected abstract send(output: Output): void;

  #addRoutes(): void {
    this.app
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

  #makeFaultHandlers(): KindHandlers<TargetFault> {
    const count = (fault: Extract<TargetFault, { times: number }>) =>
      this.faults.set(fault.kind, fault.times);
    return {
      [TargetFaultKind.BreakStream]: (fault) => {
        this.faults.breakAfterTokens = fault.afterTokens;
        count(fault);
      },
      [TargetFaultKind.DropBeforeAnswer]: count,
      [TargetFaultKind.CutAfterRun]: count,
      [TargetFaultKind.CrossAnswers]: count,
      [TargetFaultKind.DuplicateEnd]: count,
      [TargetFaultKind.DelayAnswers]: (fault) => {
        this.faults.delayMs = fault.delayMs;
      },
      [TargetFaultKind.RefuseOrders]: (fault) => {
        this.faults.refusesOrders = fault.on;
      },
      [TargetFaultKind.Straggle]: (fault) =>
        this.model.setSlowdown(fault.factor, this.nowMs()),
      [TargetFaultKind.Leave]: (fault) =>
        this.model.setLeaving(fault.leaving, this.nowMs()),
      [TargetFaultKind.Die]: () => void this.kill(),
    };
  }
}
