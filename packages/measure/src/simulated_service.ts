/** Simulated service that answers calls as a stand-in service does. */

import type { AttemptRef } from "@chestnuthatch/core/events";
import type { TargetSettings } from "@chestnuthatch/settings/settings_types";
import { ServiceModel } from "@chestnuthatch/standins/service_model";
import type { CacheEventsAnswer } from "@chestnuthatch/wire/target_protocol";
import type { TargetLoad } from "@chestnuthatch/wire/shared_types";
import type { ScheduledEvent } from "./event_queue.ts";
import {
  type AttemptListener,
  type SimulatedTarget,
  TargetConnection,
  type TargetContext,
  type TargetUsage,
  type TargetWork,
} from "./simulated_target.ts";

const LOAD_LAG_MS = 1000;

/** A call that the service has not answered yet. */
interface OpenCall {
  readonly requestId: string;
  readonly connection: TargetConnection;
  isStarted: boolean;
}

/** Runs a {@link ServiceModel} on the simulated clock. */
export class SimulatedService implements SimulatedTarget {
  readonly settings: TargetSettings;
  readonly #context: TargetContext;
  readonly #model: ServiceModel;
  readonly #openCallsByNonce = new Map<string, OpenCall>();
  #nextAdvance: ScheduledEvent | undefined;

  /**
   * @param settings The target's entry in the settings.
   * @param context The parts of the simulation that the service uses.
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
  get isRunning(): boolean {
    return this.#model.isRunning;
  }

  /** @inheritdoc */
  dispatch(work: TargetWork, listener: AttemptListener): void {
    const { queue, recorder } = this.#context;
    recorder.recordReceived(work, this.settings.id);
    const connection = new TargetConnection(this.#context, {
      targetFailureDomain: this.settings.failureDomain,
      listener,
    });
    const { requestId, attemptNonce, idempotencyKey, prompt } = work;
    this.#openCallsByNonce.set(attemptNonce, {
      requestId,
      connection,
      isStarted: false,
    });
    this.#model.submit(
      { requestId, attemptNonce, idempotencyKey, body: prompt },
      queue.nowMs,
    );
    this.#advance();
  }

  /** @inheritdoc */
  cancel(_attempt: AttemptRef): void {}

  /** @inheritdoc */
  resume(
    _attempt: AttemptRef,
    options: { fromToken: number; listener: AttemptListener },
  ): void {
    options.listener.onClosed("services do not resume");
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
  startLeaving(): void {
    this.#model.setLeaving(true, this.#context.queue.nowMs);
    this.#context.checker.recordTargetLeaving(this.settings.id);
  }

  /** @inheritdoc */
  kill(): void {
    this.#advance();
    this.#model.kill(this.#context.queue.nowMs);
    this.#nextAdvance?.cancel();
    for (const { connection } of this.#openCallsByNonce.values()) {
      connection.close("connection reset");
    }
    this.#openCallsByNonce.clear();
  }

  /** @inheritdoc */
  usage(): TargetUsage {
    return { prefilledTokensByRequestId: new Map() };
  }

  #advance(): void {
    const { queue } = this.#context;
    const outputs = this.#model.advance(queue.nowMs);
    this.#recordStartedCalls();
    for (const { attemptNonce, requestId, answer } of outputs) {
      this.#context.checker.recordCompleteAnswer(requestId, answer.body);
      const call = this.#openCallsByNonce.get(attemptNonce);
      this.#openCallsByNonce.delete(attemptNonce);
      call?.connection.send((listener) => listener.onServiceAnswered(answer));
    }
    this.#nextAdvance?.cancel();
    const nextMs = this.#model.nextOutputAtMs();
    if (nextMs !== undefined) {
      this.#nextAdvance = queue.at(nextMs, () => this.#advance());
    }
  }

  #recordStartedCalls(): void {
    const { runsByRequestId } = this.#model.counts;
    for (const call of this.#openCallsByNonce.values()) {
      if (!call.isStarted && runsByRequestId.has(call.requestId)) {
        call.isStarted = true;
        this.#context.recorder.recordStarted(call.requestId);
      }
    }
  }
}
