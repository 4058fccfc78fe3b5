/**
 * A model engine without sockets or timers, stepped by time.
 *
 * It batches continuously: prompt work is serial, and decoding goes on beside
 * it at a lower rate.
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
import type { TargetLoad } from "@chestnuthatch/wire/work";
import { CacheEventLog } from "./cache_event_log.ts";
import { DecodeBatch } from "./decode_batch.ts";
import { EndedStreams } from "./ended_streams.ts";
import {
  addTo,
  emptyEngineCounts,
  type EngineCounts,
} from "./engine_counts.ts";
import { EngineOrders } from "./engine_orders.ts";
import {
  attemptKeyOf,
  type AttemptRef,
  endEventOf,
  type EngineStream,
  errorEventOf,
  replayOf,
  startEventOf,
  StreamPhase,
  tokenEventOf,
  waitingStreamOf,
  wholeTextEventOf,
} from "./engine_stream.ts";
import { LoadHistory } from "./load_history.ts";
import { PrefixCache } from "./prefix_cache.ts";

/** What an engine is like. */
export interface EngineModelOptions {
  readonly targetId: string;
  readonly model: string;
  readonly slots: number;
  readonly kvTokens: number;
  readonly prefillTokensPerSecond: number;
  /** Rate of one stream that is alone. */
  readonly decodeTokensPerSecond: number;
  /** Slowdown of every stream for each further stream; 0.02 is 2 %. */
  readonly decodeSlowdownPerStream: number;
  /** Tokens that one block fingerprint stands for. */
  readonly blockTokens: number;
  readonly prefixCacheTokens: number;
  /** Age of the state that load reports show. */
  readonly loadLagMs: number;
  readonly cacheEventLagMs: number;
  /** Share of cache events (0 to 1) that are never published. */
  readonly cacheEventLossShare: number;
  readonly checksFencing: boolean;
  readonly seed: number;
  /** Gives each stream one token event with the whole text. */
  readonly coalesceTokens?: boolean;
}

/** One event that left the engine. */
export interface EngineOutput extends AttemptRef {
  readonly atMs: number;
  readonly event: EngineEvent;
}

/** The next change inside the engine. */
interface Step {
  readonly atMs: number;
  readonly stream: EngineStream;
}

const MS_PER_SECOND = 1_000;
/** Share of the decode rate that is left while a prompt is worked. */
const DECODE_SHARE_DURING_PREFILL = 0.5;

/** Admits requests as they come and answers them as time advances. */
export class EngineModel {
  readonly #options: EngineModelOptions;
  readonly #orders: EngineOrders;
  readonly #cache: PrefixCache;
  readonly #cacheEvents: CacheEventLog;
  readonly #loads: LoadHistory;
  readonly #counts = emptyEngineCounts();
  readonly #open = new Map<string, EngineStream>();
  readonly #ended = new EndedStreams();
  /** In the order they came. */
  #waiting: EngineStream[] = [];
  /** Hold a slot and await their prompt work, in order. */
  #admitted: EngineStream[] = [];
  #prefilling: EngineStream | undefined;
  readonly #decoding: DecodeBatch;
  #outputs: EngineOutput[] = [];
  #nowMs = 0;
  #reservedKvTokens = 0;
  #slowdown = 1;
  #leavingSinceMs: number | undefined;
  #alive = true;

  /** @param options What the engine is like. */
  constructor(options: EngineModelOptions) {
    this.#options = options;
    this.#orders = new EngineOrders(options);
    this.#decoding = new DecodeBatch({
      decodeTokensPerSecond: options.decodeTokensPerSecond,
      decodeSlowdownPerStream: options.decodeSlowdownPerStream,
      coalesceTokens: options.coalesceTokens === true,
    });
    this.#cacheEvents = new CacheEventLog({
      lagMs: options.cacheEventLagMs,
      lossShare: options.cacheEventLossShare,
      seed: options.seed,
    });
    const capacity = Math.floor(
      options.prefixCacheTokens / options.blockTokens,
    );
    this.#cache = new PrefixCache(capacity, {
      stored: (hash) => this.#logCacheEvent(CacheEventKind.Stored, hash),
      evicted: (hash) => this.#logCacheEvent(CacheEventKind.Evicted, hash),
    });
    this.#loads = new LoadHistory({
      targetId: options.targetId,
      slotsTotal: options.slots,
      kvTotalTokens: options.kvTokens,
      lagMs: options.loadLagMs,
    });
  }

  /** @returns Whether the engine's process lives. */
  get alive(): boolean {
    return this.#alive;
  }

  /** @returns Counts since the engine was made. */
  get counts(): EngineCounts {
    return this.#counts;
  }

  /**
   * Takes a request. It is queued where slots or KV memory are used up, and
   * answered with an error event where it can never run here.
   *
   * @param request The request.
   * @param nowMs The time now.
   * @returns False when the engine is dead and took nothing.
   */
  admit(request: GenerateRequest, nowMs: number): boolean {
    if (!this.#alive) {
      return false;
    }
    this.#runTo(nowMs);
    addTo(this.#counts.dispatchesByRequestId, request.requestId);
    if (this.#leavingSinceMs !== undefined) {
      const sinceMs = this.#nowMs - this.#leavingSinceMs;
      this.#counts.dispatchesAfterLeavingMs.push(sinceMs);
    }
    const error = this.#refusalOf(request);
    if (error === undefined) {
      this.#enqueue(waitingStreamOf(request, this.#options.seed));
    } else {
      this.#emit(request, errorEventOf(request, error));
    }
    return true;
  }

  /**
   * Stops an attempt; its stream ends in an error event.
   *
   * @param attempt The attempt.
   * @param nowMs The time now.
   * @returns Whether the attempt was waiting or running until now.
   */
  cancel(attempt: AttemptRef, nowMs: number): boolean {
    this.#runTo(nowMs);
    const stream = this.#open.get(attemptKeyOf(attempt));
    if (stream === undefined) {
      return false;
    }
    const notRun = stream.phase === StreamPhase.Waiting ||
      stream.phase === StreamPhase.Admitted;
    this.#counts.cancelled += 1;
    this.#end(stream, errorEventOf(stream, { message: "cancelled", notRun }));
    return true;
  }

  /**
   * Lets time pass.
   *
   * @param nowMs The time now.
   * @returns Every event since the last call, in time order.
   */
  advance(nowMs: number): EngineOutput[] {
    this.#runTo(nowMs);
    const outputs = this.#outputs;
    this.#outputs = [];
    return outputs;
  }

  /** @returns When {@link EngineModel.advance} has something to give next. */
  nextEventAtMs(): number | undefined {
    return this.#outputs.at(0)?.atMs ?? this.#nextStep()?.atMs;
  }

  /**
   * Replays an attempt's stream; later events come from
   * {@link EngineModel.advance}, which the caller empties first.
   *
   * @param attempt The attempt.
   * @param fromToken Position of the first token wanted; from 0 the start
   * event comes too.
   * @returns Its events up to now, or undefined for an unknown attempt.
   */
  resume(attempt: AttemptRef, fromToken: number): EngineEvent[] | undefined {
    const key = attemptKeyOf(attempt);
    const stream = this.#open.get(key) ?? this.#ended.get(key);
    if (stream === undefined) {
      return undefined;
    }
    const coalesceTokens = this.#options.coalesceTokens === true;
    return replayOf(stream, fromToken, { coalesceTokens });
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
   * Reads cache events, which come late and with gaps.
   *
   * @param after Sequence number read last, 0 for none.
   * @param nowMs The time now.
   * @returns The next events.
   */
  cacheEvents(after: number, nowMs: number): CacheEventsAnswer {
    this.#runTo(nowMs);
    return this.#cacheEvents.read(after, this.#nowMs);
  }

  /**
   * Takes an order.
   *
   * @param order The order.
   * @returns Whether it was obeyed.
   */
  order(order: OrderRequest): OrderAnswer {
    const answer = this.#orders.take(order);
    if (answer.obeyed) {
      this.#counts.ordersObeyed.push(order.fencingNumber);
    }
    return answer;
  }

  /** @returns What the engine holds now. */
  state(): EngineState {
    return this.#orders.state;
  }

  /**
   * Makes the engine a straggler, or heals it.
   *
   * @param factor How many times slower than its own rates; 1 heals.
   * @param nowMs The time now.
   */
  setSlowdown(factor: number, nowMs: number): void {
    this.#runTo(nowMs);
    this.#slowdown = factor;
    this.#recordLoad();
  }

  /**
   * Makes the engine report that it is leaving; it goes on admitting.
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
   * Ends the engine's process: streams, queue and cache are lost, and no event
   * tells of it.
   *
   * @param nowMs The time now.
   */
  kill(nowMs: number): void {
    this.#runTo(nowMs);
    for (const stream of [...this.#open.values()]) {
      this.#countWork(stream);
    }
    this.#forgetAll();
    this.#alive = false;
  }

  /**
   * Starts the engine's process anew, empty.
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

  #refusalOf(
    request: GenerateRequest,
  ): { message: string; notRun: boolean } | undefined {
    const key = attemptKeyOf(request);
    if (this.#open.has(key) || this.#ended.get(key) !== undefined) {
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
    this.#open.set(attemptKeyOf(stream), stream);
    this.#waiting.push(stream);
    this.#fillSlots();
    this.#recordLoad();
  }

  #fillSlots(): void {
    let next = this.#waiting.at(0);
    while (next !== undefined && this.#hasRoomFor(next)) {
      this.#waiting.shift();
      next.phase = StreamPhase.Admitted;
      this.#reservedKvTokens += next.reservedKvTokens;
      this.#admitted.push(next);
      next = this.#waiting.at(0);
    }
    this.#startPrefill();
  }

  #hasRoomFor(stream: EngineStream): boolean {
    const reserved = this.#reservedKvTokens + stream.reservedKvTokens;
    return this.#slotsUsed() < this.#options.slots &&
      reserved <= this.#options.kvTokens;
  }

  #slotsUsed(): number {
    const prefilling = this.#prefilling === undefined ? 0 : 1;
    return this.#admitted.length + prefilling + this.#decoding.size;
  }

  #startPrefill(): void {
    if (this.#prefilling !== undefined) {
      return;
    }
    const stream = this.#admitted.shift();
    if (stream === undefined) {
      return;
    }
    this.#prefilling = stream;
    stream.phase = StreamPhase.Prefilling;
    stream.cachedTokens = this.#cachedTokensOf(stream);
    stream.prefillLeftTokens = stream.promptTokens - stream.cachedTokens;
    this.#counts.promptTokensCached += stream.cachedTokens;
    addTo(this.#counts.runsByRequestId, stream.requestId);
    if (stream.idempotencyKey !== undefined) {
      addTo(this.#counts.runsByKey, stream.idempotencyKey);
    }
  }

  #cachedTokensOf(stream: EngineStream): number {
    const blocks = this.#cache.leadingBlocks(stream.blockHashes);
    // The last prompt token is always worked: its output starts the answer.
    const most = Math.max(0, stream.promptTokens - 1);
    return Math.min(blocks * this.#options.blockTokens, most);
  }

  #runTo(nowMs: number): void {
    if (this.#alive) {
      let step = this.#nextStep();
      while (step !== undefined && step.atMs <= nowMs) {
        this.#integrateTo(step.atMs);
        this.#take(step.stream);
        step = this.#nextStep();
      }
    }
    this.#integrateTo(nowMs);
    this.#noteKvUsed();
  }

  #nextStep(): Step | undefined {
    const prefill = this.#nextPrefillStep();
    const decode = this.#nextDecodeStep();
    if (prefill === undefined || decode === undefined) {
      return prefill ?? decode;
    }
    return prefill.atMs <= decode.atMs ? prefill : decode;
  }

  #nextPrefillStep(): Step | undefined {
    const stream = this.#prefilling;
    if (stream === undefined) {
      return undefined;
    }
    const leftMs = stream.prefillLeftTokens / this.#prefillTokensPerMs();
    return { atMs: this.#nowMs + leftMs, stream };
  }

  #nextDecodeStep(): Step | undefined {
    const step = this.#decoding.nextStep(this.#decodeShare());
    return step && { atMs: this.#nowMs + step.inMs, stream: step.stream };
  }

  /** Share of the full decode rate that is left now. */
  #decodeShare(): number {
    const share = this.#prefilling === undefined
      ? 1
      : DECODE_SHARE_DURING_PREFILL;
    return share / this.#slowdown;
  }

  #prefillTokensPerMs(): number {
    const perSecond = this.#options.prefillTokensPerSecond / this.#slowdown;
    return perSecond / MS_PER_SECOND;
  }

  #integrateTo(atMs: number): void {
    const passedMs = atMs - this.#nowMs;
    if (passedMs <= 0) {
      return;
    }
    this.#decoding.advance(passedMs, this.#decodeShare());
    if (this.#prefilling !== undefined) {
      const done = passedMs * this.#prefillTokensPerMs();
      const left = this.#prefilling.prefillLeftTokens - done;
      this.#prefilling.prefillLeftTokens = Math.max(0, left);
    }
    this.#nowMs = atMs;
  }

  #take(stream: EngineStream): void {
    if (stream.phase === StreamPhase.Prefilling) {
      this.#finishPrefill(stream);
    } else {
      this.#finishDecodeStep(stream);
    }
  }

  #finishPrefill(stream: EngineStream): void {
    stream.prefillLeftTokens = 0;
    this.#countPrefill(stream);
    this.#cache.store(stream.blockHashes);
    stream.blockHashes = [];
    stream.phase = StreamPhase.Decoding;
    this.#prefilling = undefined;
    this.#decoding.add(stream);
    this.#emit(stream, startEventOf(stream));
    this.#startPrefill();
    this.#recordLoad();
  }

  #finishDecodeStep(stream: EngineStream): void {
    this.#decoding.take(stream);
    const event = this.#options.coalesceTokens === true
      ? wholeTextEventOf(stream)
      : tokenEventOf(stream, stream.emittedTokens - 1);
    this.#emit(stream, event);
    if (stream.emittedTokens === stream.outputTokens) {
      this.#end(stream, endEventOf(stream));
    }
  }

  #end(stream: EngineStream, event: EngineEvent): void {
    this.#noteKvUsed();
    this.#countWork(stream);
    this.#release(stream);
    stream.phase = StreamPhase.Ended;
    stream.end = event;
    stream.endedAtMs = this.#nowMs;
    this.#emit(stream, event);
    this.#ended.keep(attemptKeyOf(stream), stream);
    this.#fillSlots();
    this.#recordLoad();
  }

  #release(stream: EngineStream): void {
    if (stream.phase !== StreamPhase.Waiting) {
      this.#reservedKvTokens -= stream.reservedKvTokens;
    }
    if (this.#prefilling === stream) {
      this.#prefilling = undefined;
    }
    this.#waiting = this.#waiting.filter((other) => other !== stream);
    this.#admitted = this.#admitted.filter((other) => other !== stream);
    this.#decoding.delete(stream);
    this.#open.delete(attemptKeyOf(stream));
  }

  #countWork(stream: EngineStream): void {
    if (stream.phase === StreamPhase.Prefilling) {
      this.#countPrefill(stream);
    }
    if (stream.phase === StreamPhase.Decoding) {
      const generated = this.#decoding.generatedTokensOf(stream);
      this.#counts.tokensGenerated += generated;
    }
  }

  #countPrefill(stream: EngineStream): void {
    const done = Math.ceil(
      stream.promptTokens - stream.cachedTokens - stream.prefillLeftTokens,
    );
    this.#counts.promptTokensPrefilled += done;
    const byRequestId = this.#counts.promptTokensPrefilledByRequestId;
    addTo(byRequestId, stream.requestId, done);
  }

  #kvUsedTokens(): number {
    let used = this.#decoding.kvUsedTokens();
    used += this.#prefilling?.promptTokens ?? 0;
    for (const stream of this.#admitted) {
      used += stream.promptTokens;
    }
    return used;
  }

  #noteKvUsed(): void {
    const used = this.#kvUsedTokens();
    if (used > this.#counts.maxKvUsedTokens) {
      this.#counts.maxKvUsedTokens = used;
    }
  }

  #recordLoad(): void {
    const streams = this.#decoding.size;
    this.#loads.record({
      atMs: this.#nowMs,
      slotsUsed: this.#slotsUsed(),
      kvUsedTokens: this.#kvUsedTokens(),
      kvTokensPerMs: streams * this.#decoding.tokensPerMs(this.#decodeShare()),
      waitingRequests: this.#waiting.length,
      leaving: this.#leavingSinceMs !== undefined,
    });
  }

  #emit(attempt: AttemptRef, event: EngineEvent): void {
    const { requestId, attemptNonce } = attempt;
    this.#outputs.push({ requestId, attemptNonce, atMs: this.#nowMs, event });
  }

  #logCacheEvent(kind: CacheEventKind, blockHash: string): void {
    this.#cacheEvents.record({ kind, blockHash }, this.#nowMs);
  }

  #forgetAll(): void {
    this.#open.clear();
    this.#ended.clear();
    this.#waiting = [];
    this.#admitted = [];
    this.#prefilling = undefined;
    this.#decoding.clear();
    this.#reservedKvTokens = 0;
    this.#cache.clear();
    this.#loads.clear();
  }
}
