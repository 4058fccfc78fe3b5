/** A plain service of the measured world. */

import type { AttemptRef } from "@chestnuthatch/core/events";
import type { TargetSettings } from "@chestnuthatch/settings/settings_types";
import { ServiceModel } from "@chestnuthatch/standins/service_model";
import type { CacheEventsAnswer } from "@chestnuthatch/wire/target_protocol";
import type { TargetLoad } from "@chestnuthatch/wire/shared_types";
import type { ScheduledEvent } from "./event_queue.ts";
import {
  type HolderEnd,
  TargetConnection,
  type TargetContext,
  type TargetHost,
  type TargetWork,
  type TargetWorkDone,
} from "./target_host.ts";

const LOAD_LAG_MS = 1000;

interface OpenCall {
  readonly requestId: string;
  readonly connection: TargetConnection;
  started: boolean;
}

/** Runs a {@link ServiceModel} on the manual clock. */
export class ServiceHost implements TargetHost {
  readonly settings: TargetSettings;
  readonly #context: TargetContext;
  readonly #model: ServiceModel;
  readonly #open = new Map<string, OpenCall>();
  #wake: ScheduledEvent | undefined;

  /**
   * @param settings The target as the operators describe it.
   * @param context The world around it.
   */
  constructor(settings: TargetSettings, context: TargetContext) {
    this.settings = settings;
    this.#context = context;
    this.#model = new ServiceModel({
      targetId: settings.id,
      slots: settings.slots,
      callMs: settings.callMs,
      loadLagMs: LOAD_LAG_MS,
    });
  }

  /** @inheritdoc */
  get alive(): boolean {
    return this.#model.isRunning;
  }

  /** @inheritdoc */
  dispatch(work: TargetWork, holder: HolderEnd): void {
    const { queue, journal } = this.#context;
    journal.received(work, this.settings.id);
    const connection = new TargetConnection(this.#context, {
      targetDomain: this.settings.failureDomain,
      holder,
    });
    const { requestId, attemptNonce, idempotencyKey, prompt } = work;
    this.#open.set(attemptNonce, { requestId, connection, started: false });
    this.#model.submit(
      { requestId, attemptNonce, idempotencyKey, body: prompt },
      queue.nowMs,
    );
    this.#pump();
  }

  /** @inheritdoc */
  cancel(_attempt: AttemptRef): void {}

  /** @inheritdoc */
  resume(
    _attempt: AttemptRef,
    options: { fromToken: number; holder: HolderEnd },
  ): void {
    options.holder.closed("services do not resume");
  }

  /** @inheritdoc */
  load(): TargetLoad {
    return this.#model.load(this.#context.queue.nowMs);
  }

  /** @inheritdoc */
  cacheEvents(after: number): CacheEventsAnswer {
    return { events: [], lastSequence: after };
  }

  /** @inheritdoc */
  setSlowdown(factor: number): void {
    this.#model.setSlowdown(factor);
  }

  /** @inheritdoc */
  leave(): void {
    this.#model.setLeaving(true, this.#context.queue.nowMs);
    this.#context.checker.targetLeaving(this.settings.id);
  }

  /** @inheritdoc */
  kill(): void {
    this.#pump();
    this.#model.kill(this.#context.queue.nowMs);
    this.#wake?.cancel();
    for (const { connection } of this.#open.values()) {
      connection.close("connection reset");
    }
    this.#open.clear();
  }

  /** @inheritdoc */
  workDone(): TargetWorkDone {
    return { prefilledByRequestId: new Map() };
  }

  #pump(): void {
    const { queue } = this.#context;
    const outputs = this.#model.advance(queue.nowMs);
    this.#noteStarted();
    for (const { attemptNonce, requestId, answer } of outputs) {
      this.#context.checker.answerMade(requestId, answer.body);
      const call = this.#open.get(attemptNonce);
      this.#open.delete(attemptNonce);
      call?.connection.send((holder) => holder.serviceAnswered(answer));
    }
    this.#wake?.cancel();
    const nextMs = this.#model.nextOutputAtMs();
    if (nextMs !== undefined) {
      this.#wake = queue.at(nextMs, () => this.#pump());
    }
  }

  #noteStarted(): void {
    const { runsByRequestId } = this.#model.counts;
    for (const call of this.#open.values()) {
      if (!call.started && runsByRequestId.has(call.requestId)) {
        call.started = true;
        this.#context.journal.started(call.requestId);
      }
    }
  }
}
