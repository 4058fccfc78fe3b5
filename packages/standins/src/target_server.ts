/** Base class of the HTTP servers of simulated engines and services. */

import {
  jsonRoute,
  type ListenAddress,
  type ListenOptions,
  type NowMs,
  processNowMs,
  sendJson,
  StandinHttpServer,
} from "./http_server.ts";
import { handleByKind, type KindHandlers } from "./kind_handlers.ts";
import { ModelTimer } from "./model_timer.ts";
import { type TargetCounts, toPlainCounts } from "./target_counts.ts";
import {
  ActiveFaults,
  type TargetFault,
  TargetFaultKind,
  targetFaultSchema,
} from "./target_faults.ts";
import type { TargetModel, TimedOutput } from "./target_model.ts";

/** Listen address of a target server, and its clock. */
export interface TargetServerOptions extends ListenOptions {
  /** The clock; defaults to the process's monotonic clock. */
  readonly nowMs?: NowMs;
}

/** Serves a simulated target over HTTP and injects its faults. */
export abstract class TargetServer<
  Output extends TimedOutput,
  Model extends TargetModel<TargetCounts, Output>,
> {
  /** The simulated target. */
  readonly model: Model;
  readonly #httpServer: StandinHttpServer;
  readonly #timer: ModelTimer;
  readonly #faultHandlers = this.#createFaultHandlers();
  protected readonly nowMs: NowMs;
  protected readonly faults = new ActiveFaults();

  /**
   * @param model The simulated target.
   * @param options Listen address and clock.
   */
  constructor(model: Model, options: TargetServerOptions) {
    this.model = model;
    this.#httpServer = new StandinHttpServer({
      host: options.host,
      port: options.port,
    });
    this.nowMs = options.nowMs ?? processNowMs;
    this.#timer = new ModelTimer(model, this.nowMs, {
      onDue: () => this.deliverOutputs(),
    });
    this.#addRoutes();
  }

  /**
   * Starts to listen.
   *
   * @returns The address it listens on.
   */
  start(): Promise<ListenAddress> {
    return this.#httpServer.start();
  }

  /** Stops listening and closes every connection at once. */
  stop(): Promise<void> {
    this.#timer.stop();
    return this.#httpServer.stop();
  }

  /** Simulates the end of the process: loses all work, refuses connections. */
  kill(): Promise<void> {
    this.model.kill(this.nowMs());
    return this.stop();
  }

  /**
   * Restarts after a kill, with no work and on the same address.
   *
   * @returns The address it listens on.
   */
  revive(): Promise<ListenAddress> {
    this.model.restart(this.nowMs());
    return this.#httpServer.start();
  }

  /**
   * Injects or ends a fault.
   *
   * @param fault The fault and its parameters. A fault that does not exist for
   * this kind of target has no effect.
   */
  setFault(fault: TargetFault): void {
    handleByKind(this.#faultHandlers, fault);
  }

  /** Router; routes must be added before the server starts. */
  protected get app(): StandinHttpServer["app"] {
    return this.#httpServer.app;
  }

  /** Sends the model's due outputs and schedules the next ones. */
  protected deliverOutputs(): void {
    for (const output of this.model.advance(this.nowMs())) {
      this.send(output);
    }
    this.#timer.schedule();
  }

  /** @param output An output to send; dropped if no response is open for it. */
  protected abstract send(output: Output): void;

  #addRoutes(): void {
    this.app
      .get(
        "/standin/counts",
        (_request, response) =>
          sendJson(response, toPlainCounts(this.model.counts)),
      )
      .post(
        "/standin/faults",
        jsonRoute(targetFaultSchema, (fault, response) => {
          response.on("finish", () => this.setFault(fault));
          sendJson(response, {});
        }),
      );
  }

  #createFaultHandlers(): KindHandlers<TargetFault> {
    const setRemainingCount = (
      fault: Extract<TargetFault, { times: number }>,
    ) => this.faults.set(fault.kind, fault.times);
    return {
      [TargetFaultKind.BreakStream]: (fault) => {
        this.faults.breakAfterTokens = fault.afterTokens;
        setRemainingCount(fault);
      },
      [TargetFaultKind.DropBeforeAnswer]: setRemainingCount,
      [TargetFaultKind.CutAfterRun]: setRemainingCount,
      [TargetFaultKind.CrossAnswers]: setRemainingCount,
      [TargetFaultKind.DuplicateEnd]: setRemainingCount,
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
