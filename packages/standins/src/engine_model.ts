/**
 * Simulation of an LLM inference engine, without sockets or timers.
 *
 * The caller advances its clock. The engine batches continuously: it prefills
 * one prompt at a time, and decodes other streams meanwhile at a lower rate.
 */

import {
  CacheEventKind,
  type CacheEventsAnswer,
  type EngineEvent,
  type EngineState,
  type GenerateRequest,
  type OrderAnswer,
  type OrderRequest,
} from "@chestnuthatch/wire/target_protocol";
import { CacheEventLog } from "./cache_event_log.ts";
import { EndedStreams } from "./ended_streams.ts";
import { type BatchStep, EngineBatch } from "./engine_batch.ts";
import { emptyEngineCounts, type EngineCounts } from "./engine_counts.ts";
import type { EngineModelOptions } from "./engine_model_options.ts";
import { EngineOrders } from "./engine_orders.ts";
import {
  type AttemptRef,
  createEndEvent,
  createErrorEvent,
  createStartEvent,
  createTokenEvent,
  createWaitingStream,
  createWholeTextEvent,
  type EngineStream,
  replayStream,
  StreamPhase,
  toAttemptKey,
} from "./engine_stream.ts";
import {
  type CurrentLoad,
  TargetModel,
  type TimedOutput,
} from "./target_model.ts";

/** One event of the engine, with its attempt and the time of its emission. */
export interface EngineOutput extends AttemptRef, TimedOutput {
  readonly event: EngineEvent;
}

/** Simulated engine that queues requests and emits events as time advances. */
export class EngineModel extends TargetModel<EngineCounts, EngineOutput> {
  readonly #options: EngineModelOptions;
  readonly #orders: EngineOrders;
  readonly #cacheEvents: CacheEventLog;
  readonly #batch: EngineBatch;
  readonly #openStreams = new Map<string, EngineStream>();
  readonly #endedStreams = new EndedStreams();

  /** @param options Capacity, rates, delays and seed of the engine. */
  constructor(options: EngineModelOptions) {
    super({
      targetId: options.targetId,
      slotsTotal: options.slots,
      kvTotalTokens: options.kvTokens,
      lagMs: options.loadLagMs,
    }, emptyEngineCounts());
    this.#options = options;
    this.#orders = new EngineOrders(options);
    this.#cacheEvents = new CacheEventLog({
      lagMs: options.cacheEventLagMs,
      lossShare: options.cacheEventLossShare,
      seed: options.seed,
    });
    this.#batch = new EngineBatch(options, {
      counts: this.counts,
      cacheListener: {
        stored: (hash) => this.#logCacheEvent(CacheEventKind.Stored, hash),
        evicted: (hash) => this.#logCacheEvent(CacheEventKind.Evicted, hash),
      },
    });
  }

  /**
   * Submits a request. It is queued while no slot or not enough KV memory is
   * free, and ends in an error event if this engine can never run it.
   *
   * @param request The request.
   * @param nowMs The time now.
   * @returns False when the engine's process is down and the request was not
   * received.
   */
  submit(request: GenerateRequest, nowMs: number): boolean {
    if (!this.countDispatch(request.requestId, nowMs)) {
      return false;
    }
    const error = this.#findRejection(request);
    if (error === undefined) {
      this.#enqueue(createWaitingStream(request, this.#options.seed));
    } else {
      this.#emitEvent(request, createErrorEvent(request, error));
    }
    return true;
  }

  /**
   * Cancels an attempt; its stream ends in an error event.
   *
   * @param attempt The attempt.
   * @param nowMs The time now.
   * @returns True when the attempt was waiting or running, false otherwise.
   */
  cancel(attempt: AttemptRef, nowMs: number): boolean {
    this.advanceTo(nowMs);
    const stream = this.#openStreams.get(toAttemptKey(attempt));
    if (stream === undefined) {
      return false;
    }
    const notRun = stream.phase === StreamPhase.Waiting ||
      stream.phase === StreamPhase.Admitted;
    this.counts.cancelled += 1;
    this.#endStream(
      stream,
      createErrorEvent(stream, { message: "cancelled", notRun }),
    );
    return true;
  }

  /**
   * Replays an attempt's stream. Later events come from
   * {@link EngineModel.advance}; call that first, so that no event is returned
   * by both.
   *
   * @param attempt The attempt.
   * @param fromToken Index of the first token to replay; 0 also replays the
   * start event.
   * @returns The events emitted so far, or undefined for an unknown attempt.
   */
  resume(attempt: AttemptRef, fromToken: number): EngineEvent[] | undefined {
    const key = toAttemptKey(attempt);
    const stream = this.#openStreams.get(key) ?? this.#endedStreams.get(key);
    if (stream === undefined) {
      return undefined;
    }
    const coalesceTokens = this.#options.coalesceTokens === true;
    return replayStream(stream, fromToken, { coalesceTokens });
  }

  /**
   * Reads published cache events, which are delayed and may have gaps.
   *
   * @param after Sequence number of the last event read; 0 for none.
   * @param nowMs The time now.
   * @returns The events that follow it, and the last sequence number read.
   */
  cacheEvents(after: number, nowMs: number): CacheEventsAnswer {
    this.advanceTo(nowMs);
    return this.#cacheEvents.read(after, this.nowMs);
  }

  /**
   * Applies an order, unless its fencing number is out of date.
   *
   * @param order The order.
   * @returns Whether it was obeyed, and the engine's state afterwards.
   */
  applyOrder(order: OrderRequest): OrderAnswer {
    const answer = this.#orders.apply(order);
    if (answer.obeyed) {
      this.counts.ordersObeyed.push(order.fencingNumber);
    }
    return answer;
  }

  /** @returns The state that orders set: model, adapter, version and role. */
  state(): EngineState {
    return this.#orders.state;
  }

  /** @inheritdoc */
  setSlowdown(factor: number, nowMs: number): void {
    this.advanceTo(nowMs);
    this.slowdown = factor;
    this.recordLoad();
  }

  /** @inheritdoc */
  protected advanceTo(nowMs: number): void {
    if (this.isRunning) {
      let step = this.#findNextStep();
      while (step !== undefined && step.atMs <= nowMs) {
        this.#advanceClockTo(step.atMs);
        this.#finishStep(step.stream);
        step = this.#findNextStep();
      }
    }
    this.#advanceClockTo(nowMs);
    this.#batch.updateMaxKvUsed();
  }

  /** @inheritdoc */
  protected nextStepAtMs(): number | undefined {
    return this.#findNextStep()?.atMs;
  }

  /** @inheritdoc */
  protected currentLoad(): CurrentLoad {
    return this.#batch.currentLoad(this.slowdown);
  }

  /** @inheritdoc */
  protected discardWork(): void {
    for (const stream of this.#openStreams.values()) {
      this.#batch.stopWork(stream);
    }
    this.#batch.clear();
    this.#openStreams.clear();
    this.#endedStreams.clear();
  }

  #findRejection(
    request: GenerateRequest,
  ): { message: string; notRun: boolean } | undefined {
    const key = toAttemptKey(request);
    if (
      this.#openStreams.has(key) || this.#endedStreams.get(key) !== undefined
    ) {
      return { message: "attempt came twice", notRun: false };
    }
    if (request.model !== this.state().model) {
      return { message: `model ${request.model} not loaded`, notRun: true };
    }
    const needed = request.promptTokens + request.maxOutputTokens;
    if (needed > this.#options.kvTokens) {
      return { message: `${needed} tokens exceed KV memory`, notRun: true };
    }
    return undefined;
  }

  #enqueue(stream: EngineStream): void {
    this.#openStreams.set(toAttemptKey(stream), stream);
    this.#batch.add(stream);
    this.recordLoad();
  }

  #findNextStep(): BatchStep | undefined {
    return this.#batch.findNextStep(this.nowMs, this.slowdown);
  }

  #advanceClockTo(atMs: number): void {
    const elapsedMs = atMs - this.nowMs;
    if (elapsedMs <= 0) {
      return;
    }
    this.#batch.advance(elapsedMs, this.slowdown);
    this.nowMs = atMs;
  }

  #finishStep(stream: EngineStream): void {
    if (stream.phase === StreamPhase.Prefilling) {
      this.#finishPrefill(stream);
    } else {
      this.#finishDecodeStep(stream);
    }
  }

  #finishPrefill(stream: EngineStream): void {
    this.#batch.finishPrefill(stream);
    this.#emitEvent(stream, createStartEvent(stream));
    this.recordLoad();
  }

  #finishDecodeStep(stream: EngineStream): void {
    this.#batch.finishDecodeStep(stream);
    const event = this.#options.coalesceTokens === true
      ? createWholeTextEvent(stream)
      : createTokenEvent(stream, stream.emittedTokens - 1);
    this.#emitEvent(stream, event);
    if (stream.emittedTokens === stream.outputTokens) {
      this.#endStream(stream, createEndEvent(stream));
    }
  }

  #endStream(stream: EngineStream, event: EngineEvent): void {
    this.#batch.remove(stream);
    this.#openStreams.delete(toAttemptKey(stream));
    stream.phase = StreamPhase.Ended;
    stream.endEvent = event;
    stream.endedAtMs = this.nowMs;
    this.#emitEvent(stream, event);
    this.#endedStreams.add(toAttemptKey(stream), stream);
    this.recordLoad();
  }

  #emitEvent(attempt: AttemptRef, event: EngineEvent): void {
    const { requestId, attemptNonce } = attempt;
    this.emit({ requestId, attemptNonce, atMs: this.nowMs, event });
  }

  #logCacheEvent(kind: CacheEventKind, blockHash: string): void {
    this.#cacheEvents.record({ kind, blockHash }, this.nowMs);
  }
}
