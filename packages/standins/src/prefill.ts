/** Prefill of an engine: one prompt at a time, skipping cached prefixes. */

import type { EngineCounts } from "./engine_counts.ts";
import { type EngineStream, StreamPhase } from "./engine_stream.ts";
import { PrefixCache, type PrefixCacheListener } from "./prefix_cache.ts";
import { countRun, increaseCount } from "./target_counts.ts";

/** Prefill rate, and the size of the prefix cache. */
export interface PrefillOptions {
  readonly prefillTokensPerSecond: number;
  /** Tokens covered by one block fingerprint. */
  readonly blockTokens: number;
  readonly prefixCacheTokens: number;
}

/** Counts that the prefill updates, and the listener of its prefix cache. */
export interface PrefillObservers {
  readonly counts: EngineCounts;
  readonly cacheListener: PrefixCacheListener;
}

const MS_PER_SECOND = 1_000;

/** Prefills one prompt at a time and counts the tokens done. */
export class Prefill {
  readonly #options: PrefillOptions;
  readonly #counts: EngineCounts;
  readonly #cache: PrefixCache;
  #stream: EngineStream | undefined;

  /**
   * @param options Prefill rate and size of the prefix cache.
   * @param observers Counts to update, and the listener of the prefix cache.
   */
  constructor(options: PrefillOptions, observers: PrefillObservers) {
    this.#options = options;
    this.#counts = observers.counts;
    const capacityBlocks = Math.floor(
      options.prefixCacheTokens / options.blockTokens,
    );
    this.#cache = new PrefixCache(capacityBlocks, observers.cacheListener);
  }

  /** @returns The stream whose prompt is being prefilled, if any. */
  get stream(): EngineStream | undefined {
    return this.#stream;
  }

  /** @param stream The stream to prefill; no other may be in progress. */
  start(stream: EngineStream): void {
    this.#stream = stream;
    stream.phase = StreamPhase.Prefilling;
    stream.cachedTokens = this.#countCachedTokens(stream);
    stream.remainingPrefillTokens = stream.promptTokens - stream.cachedTokens;
    this.#counts.promptTokensCached += stream.cachedTokens;
    countRun(this.#counts, stream);
  }

  /**
   * Computes the remaining time of the prefill in progress.
   *
   * @param stream The stream in progress.
   * @param slowdown Factor by which the engine is slower than its rate.
   * @returns The remaining time in milliseconds.
   */
  remainingMs(stream: EngineStream, slowdown: number): number {
    return stream.remainingPrefillTokens / this.#tokensPerMs(slowdown);
  }

  /**
   * Advances the clock.
   *
   * @param elapsedMs Time to advance by.
   * @param slowdown Factor by which the engine is slower than its rate.
   */
  advance(elapsedMs: number, slowdown: number): void {
    if (this.#stream !== undefined) {
      const doneTokens = elapsedMs * this.#tokensPerMs(slowdown);
      const remainingTokens = this.#stream.remainingPrefillTokens - doneTokens;
      this.#stream.remainingPrefillTokens = Math.max(0, remainingTokens);
    }
  }

  /** @param stream The stream in progress, whose prefill is complete. */
  finish(stream: EngineStream): void {
    stream.remainingPrefillTokens = 0;
    this.stop();
    this.#cache.store(stream.blockHashes);
    stream.blockHashes = [];
  }

  /** Stops the prefill in progress and counts the tokens done so far. */
  stop(): void {
    const stream = this.#stream;
    this.#stream = undefined;
    if (stream === undefined) {
      return;
    }
    const doneTokens = Math.ceil(
      stream.promptTokens - stream.cachedTokens - stream.remainingPrefillTokens,
    );
    this.#counts.promptTokensPrefilled += doneTokens;
    const byRequestId = this.#counts.promptTokensPrefilledByRequestId;
    increaseCount(byRequestId, stream.requestId, doneTokens);
  }

  /** Discards the cached prefixes without notifying the listener. */
  clearCache(): void {
    this.#cache.clear();
  }

  #countCachedTokens(stream: EngineStream): number {
    const blocks = this.#cache.countLeadingBlocks(stream.blockHashes);
    // The last prompt token is always prefilled: its output is the first token
    // of the answer.
    const maxCachedTokens = Math.max(0, stream.promptTokens - 1);
    return Math.min(blocks * this.#options.blockTokens, maxCachedTokens);
  }

  #tokensPerMs(slowdown: number): number {
    const tokensPerSecond = this.#options.prefillTokensPerSecond / slowdown;
    return tokensPerSecond / MS_PER_SECOND;
  }
}
