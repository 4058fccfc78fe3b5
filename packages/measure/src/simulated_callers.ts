/**
 * Simulated callers and the load balancer between them and the instances.
 * Callers send items, retry refused ones and close calls that take too long.
 */

import type { RandomSource } from "@chestnuthatch/core/random_source";
import type { Refusal } from "@chestnuthatch/core/request";
import type { EntryInstance, OutcomeListener } from "./entry_instance.ts";
import type { EventQueue } from "./event_queue.ts";
import type { PromiseChecker } from "./promise_checker.ts";
import type { RunRecorder } from "./run_recorder.ts";
import {
  type CallerCall,
  itemKey,
  toCallRecord,
  type WorkItem,
} from "./work_item.ts";

/** Parts of the simulation that the callers use. */
export interface CallersContext {
  readonly queue: EventQueue;
  readonly random: RandomSource;
  readonly checker: PromiseChecker;
  readonly recorder: RunRecorder;
  /** One-way delay between a caller and an instance. */
  readonly oneWayDelayMs: number;
  /** Returns the instances that the load balancer chooses from. */
  readonly instances: () => readonly EntryInstance[];
}

/** Time after a call's deadline by which it must have received an outcome. */
const MAX_OUTCOME_DELAY_MS = 1000;
/** Time after its deadline at which a caller closes an open call. */
const CALLER_TIMEOUT_MARGIN_MS = 2000;
/** Time after which the load balancer skips a paused instance. */
const HEALTH_CHECK_TIMEOUT_MS = 2000;
const NO_INSTANCE_RETRY_DELAY_MS = 500;
/** Delay of a retry after a timeout, or a refusal without a retry delay. */
const RETRY_DELAY_MS = 1000;
/** Callers send no call with less time left than this. */
const MIN_TIME_LEFT_MS = 200;

/** An item and the number of retries that its caller will still make. */
interface PendingItem {
  readonly item: WorkItem;
  retriesLeft: number;
}

interface OpenCall {
  readonly call: CallerCall;
  readonly pendingItem: PendingItem;
  readonly instance: EntryInstance;
}

/** All callers of a simulation, and the load balancer in front of instances. */
export class SimulatedCallers implements OutcomeListener {
  readonly #context: CallersContext;
  readonly #openCalls = new Map<string, OpenCall>();
  readonly #pausedSinceMsByInstance = new Map<EntryInstance, number>();
  #callCount = 0;

  /** @param context The parts of the simulation that the callers use. */
  constructor(context: CallersContext) {
    this.#context = context;
  }

  /**
   * Schedules the first call of each item.
   *
   * @param items The items with the times of their calls.
   */
  scheduleItems(items: readonly WorkItem[]): void {
    const { queue, random, recorder } = this.#context;
    for (const item of items) {
      const retriesLeft = random.next() < 0.5 ? 1 : 2;
      queue.at(item.atMs, () => {
        recorder.recordItem(item);
        this.#sendCall({ item, retriesLeft }, item.deadlineMs);
      });
    }
  }

  /** @inheritdoc */
  onAnswered(requestId: string, text: string): void {
    const openCall = this.#closeCall(requestId);
    if (openCall !== undefined) {
      this.#context.recorder.recordAnswer(openCall.call, text);
    }
  }

  /** @inheritdoc */
  onRefused(requestId: string, refusal: Refusal): void {
    const openCall = this.#closeCall(requestId);
    if (openCall === undefined) {
      return;
    }
    this.#context.recorder.recordRefusal(refusal.error);
    if (refusal.mayRetry) {
      this.#scheduleRetry(
        openCall.pendingItem,
        refusal.retryAfterMs ?? RETRY_DELAY_MS,
      );
    }
  }

  /** @inheritdoc */
  onConnectionLost(requestId: string): void {
    const openCall = this.#closeCall(requestId);
    if (openCall === undefined) {
      return;
    }
    const { call, pendingItem } = openCall;
    this.#context.recorder.recordRefusal("connection_lost");
    const elapsedMs = this.#context.queue.nowMs - call.sentAtMs;
    const timeLeftMs = call.deadlineMs - elapsedMs;
    const mayRetry = itemKey(call.item) !== undefined || call.item.idempotent;
    if (mayRetry && timeLeftMs >= MIN_TIME_LEFT_MS) {
      this.#sendCall(pendingItem, timeLeftMs);
    }
  }

  #sendCall(pendingItem: PendingItem, deadlineMs: number): void {
    const { queue } = this.#context;
    const instance = this.#pickInstance();
    if (instance === undefined) {
      const timeLeftMs = deadlineMs - NO_INSTANCE_RETRY_DELAY_MS;
      if (timeLeftMs >= MIN_TIME_LEFT_MS) {
        queue.after(
          NO_INSTANCE_RETRY_DELAY_MS,
          () => this.#sendCall(pendingItem, timeLeftMs),
        );
      }
      return;
    }
    const call: CallerCall = {
      requestId: `call-${this.#callCount++}`,
      item: pendingItem.item,
      sentAtMs: queue.nowMs,
      deadlineMs: Math.round(deadlineMs),
    };
    this.#context.recorder.recordCall(call);
    this.#openCalls.set(call.requestId, { call, pendingItem, instance });
    queue.after(
      this.#context.oneWayDelayMs,
      () => this.#deliverCall(call, instance),
    );
  }

  #deliverCall(call: CallerCall, instance: EntryInstance): void {
    const { queue, checker } = this.#context;
    if (!instance.isLive) {
      this.onConnectionLost(call.requestId);
      return;
    }
    checker.recordCall(toCallRecord(call, instance.instanceId));
    instance.receiveCall(call);
    queue.after(
      call.deadlineMs + MAX_OUTCOME_DELAY_MS,
      () => this.#checkOutcome(call.requestId),
    );
    queue.after(
      call.deadlineMs + CALLER_TIMEOUT_MARGIN_MS,
      () => this.#timeOutCall(call.requestId),
    );
  }

  #checkOutcome(requestId: string): void {
    const openCall = this.#openCalls.get(requestId);
    if (openCall === undefined) {
      return;
    }
    const { queue, checker } = this.#context;
    const { instance } = openCall;
    const sinceResumeMs = queue.nowMs - instance.resumedAtMs;
    if (!instance.isPaused && sinceResumeMs >= MAX_OUTCOME_DELAY_MS) {
      checker.checkOutcome(requestId);
    }
  }

  #timeOutCall(requestId: string): void {
    const openCall = this.#closeCall(requestId);
    if (openCall === undefined) {
      return;
    }
    const { queue, recorder, oneWayDelayMs } = this.#context;
    recorder.recordRefusal("caller_timeout");
    queue.after(
      oneWayDelayMs,
      () => openCall.instance.onCallerDisconnected(requestId),
    );
    if (openCall.call.item.idempotent) {
      this.#scheduleRetry(openCall.pendingItem, RETRY_DELAY_MS);
    }
  }

  #scheduleRetry(pendingItem: PendingItem, delayMs: number): void {
    if (pendingItem.retriesLeft === 0) {
      return;
    }
    pendingItem.retriesLeft -= 1;
    this.#context.queue.after(
      delayMs,
      () => this.#sendCall(pendingItem, pendingItem.item.deadlineMs),
    );
  }

  #closeCall(requestId: string): OpenCall | undefined {
    const openCall = this.#openCalls.get(requestId);
    this.#openCalls.delete(requestId);
    return openCall;
  }

  #pickInstance(): EntryInstance | undefined {
    const candidates = this.#context.instances().filter((instance) =>
      instance.isLive && instance.isReady && !this.#failsHealthCheck(instance)
    );
    const index = Math.floor(this.#context.random.next() * candidates.length);
    return candidates[index];
  }

  #failsHealthCheck(instance: EntryInstance): boolean {
    const { queue } = this.#context;
    if (!instance.isPaused) {
      this.#pausedSinceMsByInstance.delete(instance);
      return false;
    }
    const sinceMs = this.#pausedSinceMsByInstance.get(instance) ?? queue.nowMs;
    this.#pausedSinceMsByInstance.set(instance, sinceMs);
    return queue.nowMs - sinceMs > HEALTH_CHECK_TIMEOUT_MS;
  }
}
