/**
 * The streams inside an engine: queued, then prefilled one at a time, then
 * decoded together at a rate that prompt work lowers.
 */

import { AdmissionQueue } from "./admission_queue.ts";
import { DecodeBatch } from "./decode_batch.ts";
import type { EngineModelOptions } from "./engine_options.ts";
import { type EngineStream, StreamPhase } from "./engine_stream.ts";
import { Prefill, type PrefillSinks } from "./prefill.ts";
import type { WorkLoad } from "./target_model.ts";

/** The next change inside an engine. */
export interface BatchStep {
  readonly atMs: number;
  readonly stream: EngineStream;
}

/** Share of the decode rate that is left while a prompt is worked. */
const DECODE_SHARE_DURING_PREFILL = 0.5;

/** Batches streams continuously, and counts the work done for them. */
export class EngineBatch {
  readonly #counts: PrefillSinks["counts"];
  readonly #queue: AdmissionQueue;
  readonly #prefill: Prefill;
  readonly #decoding: DecodeBatch;

  /**
   * @param options What the engine is like.
   * @param sinks The engine's counts, and who is told of cached prefixes.
   */
  constructor(options: EngineModelOptions, sinks: PrefillSinks) {
    this.#counts = sinks.counts;
    this.#queue = new AdmissionQueue(options);
    this.#prefill = new Prefill(options, sinks);
    this.#decoding = new DecodeBatch({
      decodeTokensPerSecond: options.decodeTokensPerSecond,
      decodeSlowdownPerStream: options.decodeSlowdownPerStream,
      coalesceTokens: options.coalesceTokens === true,
    });
  }

  /** @param stream A stream that has just come. */
  add(stream: EngineStream): void {
    this.#queue.add(stream);
    this.#fillSlots();
  }

  /** @param stream A stream that ends, whatever its phase. */
  remove(stream: EngineStream): void {
    this.noteKvUsed();
    this.stopWork(stream);
    this.#queue.release(stream);
    this.#fillSlots();
  }

  /**
   * Stops a stream's work and counts what was done.
   *
   * @param stream The stream.
   */
  stopWork(stream: EngineStream): void {
    if (stream.phase === StreamPhase.Prefilling) {
      this.#prefill.stop();
    }
    if (stream.phase === StreamPhase.Decoding) {
      const generated = this.#decoding.generatedTokensOf(stream);
      this.#counts.tokensGenerated += generated;
      this.#decoding.delete(stream);
    }
  }

  /** Forgets all streams and cached prefixes; their work has been stopped. */
  clear(): void {
    this.#queue.clear();
    this.#decoding.clear();
    this.#prefill.clearCache();
  }

  /**
   * Finds the next change.
   *
   * @param nowMs The time now.
   * @param slowdown How many times slower than its own rates the engine works.
   * @returns Whose phase or answer goes on next, or undefined for none.
   */
  nextStep(nowMs: number, slowdown: number): BatchStep | undefined {
    const prefill = this.#nextPrefillStep(nowMs, slowdown);
    const decode = this.#nextDecodeStep(nowMs, slowdown);
    if (prefill === undefined || decode === undefined) {
      return prefill ?? decode;
    }
    return prefill.atMs <= decode.atMs ? prefill : decode;
  }

  /**
   * Lets time pass, no further than to the next step.
   *
   * @param passedMs How much.
   * @param slowdown How many times slower than its own rates the engine works.
   */
  advance(passedMs: number, slowdown: number): void {
    this.#decoding.advance(passedMs, this.#decodeShare(slowdown));
    this.#prefill.advance(passedMs, slowdown);
  }

  /** @param stream The stream whose prompt work is due to end. */
  finishPrefill(stream: EngineStream): void {
    this.#prefill.finish(stream);
    stream.phase = StreamPhase.Decoding;
    this.#decoding.add(stream);
    this.#startPrefill();
  }

  /** @param stream The decoding stream whose next event is due. */
  finishDecodeStep(stream: EngineStream): void {
    this.#decoding.take(stream);
  }

  /**
   * Tells the load now.
   *
   * @param slowdown How many times slower than its own rates the engine works.
   * @returns The load.
   */
  load(slowdown: number): WorkLoad {
    const perStream = this.#decoding.tokensPerMs(this.#decodeShare(slowdown));
    return {
      slotsUsed: this.#queue.slotsUsed,
      kvUsedTokens: this.#kvUsedTokens(),
      kvTokensPerMs: this.#decoding.size * perStream,
      waitingRequests: this.#queue.waitingRequests,
    };
  }

  /** Counts the KV memory in use now, where it is the most so far. */
  noteKvUsed(): void {
    const used = this.#kvUsedTokens();
    if (used > this.#counts.maxKvUsedTokens) {
      this.#counts.maxKvUsedTokens = used;
    }
  }

  #fillSlots(): void {
    this.#queue.admitWaiting();
    this.#startPrefill();
  }

  #startPrefill(): void {
    if (this.#prefill.stream !== undefined) {
      return;
    }
    const stream = this.#queue.takeAdmitted();
    if (stream !== undefined) {
      this.#prefill.start(stream);
    }
  }

  #nextPrefillStep(nowMs: number, slowdown: number): BatchStep | undefined {
    const { stream } = this.#prefill;
    return stream &&
      { atMs: nowMs + this.#prefill.leftMs(stream, slowdown), stream };
  }

  #nextDecodeStep(nowMs: number, slowdown: number): BatchStep | undefined {
    const step = this.#decoding.nextStep(this.#decodeShare(slowdown));
    return step && { atMs: nowMs + step.inMs, stream: step.stream };
  }

  /** Share of the full decode rate that is left now. */
  #decodeShare(slowdown: number): number {
    const share = this.#prefill.stream === undefined
      ? 1
      : DECODE_SHARE_DURING_PREFILL;
    return share / slowdown;
  }

  #kvUsedTokens(): number {
    return this.#decoding.kvUsedTokens() +
      (this.#prefill.stream?.promptTokens ?? 0) +
      this.#queue.admittedPromptTokens;
  }
}
