/** Simulation of a plain service, without sockets or timers. */

import type {
  ServiceAnswer,
  ServiceCall,
} from "@chestnuthatch/wire/target_protocol";
import { renderAnswerText, slicePromptTail } from "./answer_text.ts";
import type { AttemptRef } from "./engine_stream.ts";
import {
  countRun,
  emptyTargetCounts,
  type TargetCounts,
} from "./target_counts.ts";
import {
  type CurrentLoad,
  TargetModel,
  type TimedOutput,
} from "./target_model.ts";

/** Slots and delays of a simulated service. */
export interface ServiceModelOptions {
  readonly targetId: string;
  readonly slots: number;
  /** Duration of one call. */
  readonly callMs: number;
  /** Age of the load that load reports show. */
  readonly loadLagMs: number;
}

/** An answer of the service, with its attempt and the time of its emission. */
export interface ServiceOutput extends AttemptRef, TimedOutput {
  readonly answer: ServiceAnswer;
}

interface RunningCall {
  readonly call: ServiceCall;
  readonly endsAtMs: number;
}

const ANSWER_TOKENS = 4;

/** Simulated service that runs calls in its slots and queues the others. */
export class ServiceModel extends TargetModel<TargetCounts, ServiceOutput> {
  readonly #options: ServiceModelOptions;
  #waiting: ServiceCall[] = [];
  #running: RunningCall[] = [];

  /** @param options Slots and delays of the service. */
  constructor(options: ServiceModelOptions) {
    super({
      targetId: options.targetId,
      slotsTotal: options.slots,
      kvTotalTokens: 0,
      lagMs: options.loadLagMs,
    }, emptyTargetCounts());
    this.#options = options;
  }

  /**
   * Submits a call. A repeated call runs again.
   *
   * @param call The call.
   * @param nowMs The time now.
   * @returns False when the service's process is down and the call was not
   * received.
   */
  submit(call: ServiceCall, nowMs: number): boolean {
    if (!this.countDispatch(call.requestId, nowMs)) {
      return false;
    }
    this.#waiting.push(call);
    this.#fillSlots();
    this.recordLoad();
    return true;
  }

  /**
   * Makes calls that start from now on slower, or restores their duration.
   *
   * @param factor Factor by which calls are slower; 1 restores the duration.
   */
  setSlowdown(factor: number): void {
    this.slowdown = factor;
  }

  /** @inheritdoc */
  protected advanceTo(nowMs: number): void {
    let next = this.#findNextToEnd();
    while (next !== undefined && next.endsAtMs <= nowMs) {
      this.nowMs = Math.max(this.nowMs, next.endsAtMs);
      this.#finishCall(next);
      next = this.#findNextToEnd();
    }
    this.nowMs = Math.max(this.nowMs, nowMs);
  }

  /** @inheritdoc */
  protected nextStepAtMs(): number | undefined {
    return this.#findNextToEnd()?.endsAtMs;
  }

  /** @inheritdoc */
  protected currentLoad(): CurrentLoad {
    return {
      slotsUsed: this.#running.length,
      kvUsedTokens: 0,
      kvTokensPerMs: 0,
      waitingRequests: this.#waiting.length,
    };
  }

  /** @inheritdoc */
  protected discardWork(): void {
    this.#waiting = [];
    this.#running = [];
  }

  #findNextToEnd(): RunningCall | undefined {
    let next: RunningCall | undefined;
    for (const running of this.#running) {
      if (next === undefined || running.endsAtMs < next.endsAtMs) {
        next = running;
      }
    }
    return next;
  }

  #fillSlots(): void {
    while (
      this.#running.length < this.#options.slots && this.#waiting.length > 0
    ) {
      this.#startCall(this.#waiting.shift() as ServiceCall);
    }
  }

  #startCall(call: ServiceCall): void {
    countRun(this.counts, call);
    const endsAtMs = this.nowMs + this.#options.callMs * this.slowdown;
    this.#running.push({ call, endsAtMs });
  }

  #finishCall(running: RunningCall): void {
    this.#running = this.#running.filter((other) => other !== running);
    const { requestId, attemptNonce, body } = running.call;
    const answeredRequest = { requestId, promptTail: slicePromptTail(body) };
    const answer: ServiceAnswer = {
      requestId,
      attemptNonce,
      body: renderAnswerText(answeredRequest, ANSWER_TOKENS),
      complete: true,
    };
    this.emit({ requestId, attemptNonce, atMs: this.nowMs, answer });
    this.#fillSlots();
    this.recordLoad();
  }
}
