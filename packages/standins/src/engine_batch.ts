/**
 * Continuous batching of an engine: streams are queued, then prefilled one at
 * a time, then decoded together at a rate that a running prefill lowers.
 */

import { AdmissionQueue } from "./admission_queue.ts";
import { DecodeBatch } from "./decode_batch.ts";
import type { EngineModelOptions } from "./engine_model_options.ts";
import { type EngineStream, StreamPhase } from "./engine_stream.ts";
import { Prefill, type PrefillObservers } from "./prefill.ts";
import type { CurrentLoad } from "./target_model.ts";

/** The next step of a batch: the end of a prefill, or a stream's next event. */
export interface BatchStep {
  readonly atMs: number;
  readonly stream: EngineStream;
}

/** Share of the full decode rate that remains while a prompt is prefilled. */
const DECODE_RATE_SHARE_DURING_PREFILL = 0.5;

/** Batches the streams of one engine and counts the work done for them. */
export class EngineBatch {
  readonly #counts: PrefillObservers["counts"];
  readonly #admissionQueue: AdmissionQueue;
  readonly #prefill: Prefill;
  readonly #decodeBatch: DecodeBatch;

  /**
   * @param options Capacity and rates of the engine.
   * @param observers The engine's counts, and the listener for changes of the
   * prefix cache.
   */
  constructor(options: EngineModelOptions, observers: PrefillObservers) {
    this.#counts = observers.counts;
    this.#admissionQueue = new AdmissionQueue(options);
    this.#prefill = new Prefill(options, observers);
    this.#decodeBatch = new DecodeBatch({
      decodeTokensPerSecond: options.decodeTokensPerSecond,
      decodeSlowdownPerStream: options.decodeSlowdownPerStream,
      coalesceTokens: options.coalesceTokens === true,
    });
  }

  /** @param stream A new stream, which is queued. */
  add(stream: EngineStream): void {
    this.#admissionQueue.add(stream);
    this.#fillSlots();
  }

  /** @param stream A stream that ends, whatever its phase. */
  remove(stream: EngineStream): void {
    this.updateMaxKvUsed();
    this.stopWork(stream);
    this.#admissionQueue.release(stream);
    this.#fillSlots();
  }

  /**
   * Stops a stream's prefill or decoding and counts the tokens done so far.
   *
   * @param stream The stream.
   */
  stopWork(stream: EngineStream): void {
    if (stream.phase === StreamPhase.Prefilling) {
      this.#prefill.stop();
    }
    if (stream.phase === StreamPhase.Decoding) {
      const generated = this.#decodeBatch.countGeneratedTokens(stream);
      this.#counts.tokensGenerated += generated;
      this.#decodeBatch.delete(stream);
    }
  }

  /**
   * Discards all streams and cached prefixes. Call
   * {@link EngineBatch.stopWork} for every stream first, so that its work is
   * counted.
   */
  clear(): void {
    this.#admissionQueue.clear();
    this.#decodeBatch.clear();
    this.#prefill.clearCache();
  }

  /**
   * Finds the next step of the batch.
   *
   * @param nowMs The time now.
   * @param slowdown Factor by which the engine is slower than its rates.
   * @returns The stream whose prefill ends next or whose event is due next, and
   * the time; undefined if no stream is in progress.
   */
  findNextStep(nowMs: number, slowdown: number): BatchStep | undefined {
    const prefill = this.#findNextPrefillStep(nowMs, slowdown);
    const decode = this.#findNextDecodeStep(nowMs, slowdown);
    if (prefill === undefined || decode === undefined) {
      return prefill ?? decode;
    }
    return prefill.atMs <= decode.atMs ? prefill : decode;
  }

  /**
   * Advances the clock, at most up to the next step.
   *
   * @param elapsedMs Time to advance by.
   * @param slowdown Factor by which the engine is slower than its rates.
   */
  advance(elapsedMs: number, slowdown: number): void {
    this.#decodeBatch.advance(elapsedMs, this.#decodeRateShare(slowdown));
    this.#prefill.advance(elapsedMs, slowdown);
  }

  /** @param stream The stream whose prefill ends now. */
  finishPrefill(stream: EngineStream): void {
    this.#prefill.finish(stream);
    stream.phase = StreamPhase.Decoding;
    this.#decodeBatch.add(stream);
    this.#startPrefill();
  }

  /** @param stream The decoding stream whose next event is due now. */
  finishDecodeStep(stream: EngineStream): void {
    this.#decodeBatch.recordStep(stream);
  }

  /**
   * Computes the current load.
   *
   * @param slowdown Factor by which the engine is slower than its rates.
   * @returns Slots, KV memory and queue length in use now.
   */
  currentLoad(slowdown: number): CurrentLoad {
    const tokensPerMsPerStream = this.#decodeBatch.tokensPerMs(
      this.#decodeRateShare(slowdown),
    );
    return {
      slotsUsed: this.#admissionQueue.slotsUsed,
      kvUsedTokens: this.#countKvUsedTokens(),
      kvTokensPerMs: this.#decodeBatch.size * tokensPerMsPerStream,
      waitingRequests: this.#admissionQueue.waitingRequests,
    };
  }

  /** Raises the recorded maximum of KV memory in use, if exceeded now. */
  updateMaxKvUsed(): void {
    const kvUsedTokens = this.#countKvUsedTokens();
    if (kvUsedTokens > this.#counts.maxKvUsedTokens) {
      this.#counts.maxKvUsedTokens = kvUsedTokens;
    }
  }

  #fillSlots(): void {
    this.#admissionQueue.admitWaiting();
    this.#startPrefill();
  }

  #startPrefill(): void {
    if (this.#prefill.stream !== undefined) {
      return;
    }
    const stream = this.#admissionQueue.dequeueAdmitted();
    if (stream !== undefined) {
      this.#prefill.start(stream);
    }
  }

  #findNextPrefillStep(nowMs: number, slowdown: number): BatchStep | undefined {
    const { stream } = this.#prefill;
    return stream &&
      { atMs: nowMs + this.#prefill.remainingMs(stream, slowdown), stream };
  }

  #findNextDecodeStep(nowMs: number, slowdown: number): BatchStep | undefined {
    const step = this.#decodeBatch.findNextStep(
      this.#decodeRateShare(slowdown),
    );
    return step && { atMs: nowMs + step.delayMs, stream: step.stream };
  }

  /** Share of the full decode rate that is available now. */
  #decodeRateShare(slowdown: number): number {
    const share = this.#prefill.stream === undefined
      ? 1
      : DECODE_RATE_SHARE_DURING_PREFILL;
    return share / slowdown;
  }

  #countKvUsedTokens(): number {
    return this.#decodeBatch.countKvUsedTokens() +
      (this.#prefill.stream?.promptTokens ?? 0) +
      this.#admissionQueue.admittedPromptTokens;
  }
}
