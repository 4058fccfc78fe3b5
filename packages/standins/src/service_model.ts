/** A plain service without sockets or timers, stepped by time. */

import type {
  ServiceAnswer,
  ServiceCall,
} from "@chestnuthatch/wire/target_protocol";
import type { TargetLoad } from "@chestnuthatch/wire/work";
import { answerTextOf, promptTailOf } from "./answer_text.ts";
import { addTo } from "./engine_counts.ts";
import type { AttemptRef } from "./engine_stream.ts";
import { LoadHistory } from "./load_history.ts";

/** What a service is like. */
export interface ServiceModelOptions {
  readonly targetId: string;
  readonly slots: number;
  /** Time of one call. */
  readonly callMs: number;
  /** Age of the state that load reports show. */
  readonly loadLagMs: number;
}

/** Counts since the service was made; they outlive its death. */
export interface ServiceCounts {
  /** Times each request was sent to this service. */
  readonly dispatchesByRequestId: Map<string, number>;
  /** Times each request's work began. */
  readonly runsByRequestId: Map<string, number>;
  /** Times work began for each idempotency key. */
  readonly runsByKey: Map<string, number>;
  /** For each dispatch taken while leaving, time since leaving began. */
  readonly dispatchesAfterLeavingMs: number[];
}

/** One answer that left the service. */
export interface ServiceOutput extends AttemptRef {
  readonly atMs: number;
  readonly answer: ServiceAnswer;
}

interface RunningCall {
  readonly call: ServiceCall;
  readonly endsAtMs: number;
}

const ANSWER_TOKENS = 4;

/** Runs calls in its slots and queues the rest in the order they come. */
export class ServiceModel {
  readonly #options: ServiceModelOptions;
  readonly #loads: LoadHistory;
  readonly #counts: ServiceCounts = {
    dispatchesByRequestId: new Map(),
    runsByRequestId: new Map(),
    runsByKey: new Map(),
    dispatchesAfterLeavingMs: [],
  };
  #waiting: ServiceCall[] = [];
  #running: RunningCall[] = [];
  #outputs: ServiceOutput[] = [];
  #nowMs = 0;
  #slowdown = 1;
  #leavingSinceMs: number | undefined;
  #alive = true;

  /** @param options What the service is like. */
  constructor(options: ServiceModelOptions) {
    this.#options = options;
    this.#loads = new LoadHistory({
      targetId: options.targetId,
      slotsTotal: options.slots,
      kvTotalTokens: 0,
      lagMs: options.loadLagMs,
    });
  }

  /** @returns Whether the service's process lives. */
  get alive(): boolean {
    return this.#alive;
  }

  /** @returns Counts since the service was made. */
  get counts(): ServiceCounts {
    return this.#counts;
  }

  /**
   * Takes a call, also one it has had before.
   *
   * @param call The call.
   * @param nowMs The time now.
   * @returns False when the service is dead and took nothing.
   */
  admit(call: ServiceCall, nowMs: number): boolean {
    if (!this.#alive) {
      return false;
    }
    this.#runTo(nowMs);
    addTo(this.#counts.dispatchesByRequestId, call.requestId);
    if (this.#leavingSinceMs !== undefined) {
      const sinceMs = this.#nowMs - this.#leavingSinceMs;
      this.#counts.dispatchesAfterLeavingMs.push(sinceMs);
    }
    this.#waiting.push(call);
    this.#fillSlots();
    this.#recordLoad();
    return true;
  }

  /**
   * Lets time pass.
   *
   * @param nowMs The time now.
   * @returns Every answer since the last call, in time order.
   */
  advance(nowMs: number): ServiceOutput[] {
    this.#runTo(nowMs);
    const outputs = this.#outputs;
    this.#outputs = [];
    return outputs;
  }

  /** @returns When {@link ServiceModel.advance} has something to give next. */
  nextEventAtMs(): number | undefined {
    return this.#outputs.at(0)?.atMs ?? this.#soonest()?.endsAtMs;
  }

  /**
   * Reports the load as it was some time ago.
   *
   * @param nowMs The time now.
   * @returns The stale report.
   */
  load(nowMs: number): TargetLoad {
    this.#runTo(nowMs);
    return this.#loads.report(this.#nowMs);
  }

  /**
   * Makes calls that begin from now on slower, or heals the service.
   *
   * @param factor How many times slower; 1 heals.
   */
  setSlowdown(factor: number): void {
    this.#slowdown = factor;
  }

  /**
   * Makes the service report that it is leaving; it goes on admitting.
   *
   * @param leaving Whether it is leaving.
   * @param nowMs The time now.
   */
  setLeaving(leaving: boolean, nowMs: number): void {
    this.#runTo(nowMs);
    this.#leavingSinceMs = leaving ? this.#nowMs : undefined;
    this.#recordLoad();
  }

  /**
   * Ends the service's process: its calls are lost.
   *
   * @param nowMs The time now.
   */
  kill(nowMs: number): void {
    this.#runTo(nowMs);
    this.#waiting = [];
    this.#running = [];
    this.#loads.clear();
    this.#alive = false;
  }

  /**
   * Starts the service's process anew.
   *
   * @param nowMs The time now.
   */
  revive(nowMs: number): void {
    this.#alive = true;
    this.#leavingSinceMs = undefined;
    this.#slowdown = 1;
    this.#runTo(nowMs);
    this.#recordLoad();
  }

  #runTo(nowMs: number): void {
    let next = this.#soonest();
    while (next !== undefined && next.endsAtMs <= nowMs) {
      this.#nowMs = Math.max(this.#nowMs, next.endsAtMs);
      this.#finish(next);
      next = this.#soonest();
    }
    this.#nowMs = Math.max(this.#nowMs, nowMs);
  }

  #soonest(): RunningCall | undefined {
    let soonest: RunningCall | undefined;
    for (const running of this.#running) {
      if (soonest === undefined || running.endsAtMs < soonest.endsAtMs) {
        soonest = running;
      }
    }
    return soonest;
  }

  #fillSlots(): void {
    while (
      this.#running.length < this.#options.slots && this.#waiting.length > 0
    ) {
      this.#run(this.#waiting.shift() as ServiceCall);
    }
  }

  #run(call: ServiceCall): void {
    addTo(this.#counts.runsByRequestId, call.requestId);
    if (call.idempotencyKey !== undefined) {
      addTo(this.#counts.runsByKey, call.idempotencyKey);
    }
    const endsAtMs = this.#nowMs + this.#options.callMs * this.#slowdown;
    this.#running.push({ call, endsAtMs });
  }

  #finish(running: RunningCall): void {
    this.#running = this.#running.filter((other) => other !== running);
    const { requestId, attemptNonce, body } = running.call;
    const subject = { requestId, promptTail: promptTailOf(body) };
    const answer: ServiceAnswer = {
      requestId,
      attemptNonce,
      body: answerTextOf(subject, ANSWER_TOKENS),
      complete: true,
    };
    this.#outputs.push({ requestId, attemptNonce, atMs: this.#nowMs, answer });
    this.#fillSlots();
    this.#recordLoad();
  }

  #recordLoad(): void {
    this.#loads.record({
      atMs: this.#nowMs,
      slotsUsed: this.#running.length,
      kvUsedTokens: 0,
      kvTokensPerMs: 0,
      waitingRequests: this.#waiting.length,
      leaving: this.#leavingSinceMs !== undefined,
    });
  }
}
