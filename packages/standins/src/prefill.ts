/** The prompt work of an engine: one prompt at a time, less what is cached. */

import type { EngineCounts } from "./engine_counts.ts";
import { type EngineStream, StreamPhase } from "./engine_stream.ts";
import { PrefixCache, type PrefixCacheListener } from "./prefix_cache.ts";
import { addTo, countRun } from "./target_counts.ts";

/** How fast prompts are worked, and how much of them is kept. */
export interface PrefillOptions {
  readonly prefillTokensPerSecond: number;
  /** Tokens that one block fingerprint stands for. */
  readonly blockTokens: number;
  readonly prefixCacheTokens: number;
}

/** Whom the prompt work tells. */
export interface PrefillSinks {
  readonly counts: EngineCounts;
  readonly cacheListener: PrefixCacheListener;
}

const MS_PER_SECOND = 1_000;

/** Works one prompt at a time and counts what was done. */
export class Prefill {
  readonly #options: PrefillOptions;
  readonly #counts: EngineCounts;
  readonly #cache: PrefixCache;
  #stream: EngineStream | undefined;

  /**
   * @param options Its rate and its cache.
   * @param sinks Whom to tell.
   */
  constructor(options: PrefillOptions, sinks: PrefillSinks) {
    this.#options = options;
    this.#counts = sinks.counts;
    const capacity = Math.floor(
      options.prefixCacheTokens / options.blockTokens,
    );
    this.#cache = new PrefixCache(capacity, sinks.cacheListener);
  }

  /** @returns The stream whose prompt is being worked. */
  get stream(): EngineStream | undefined {
    return this.#stream;
  }

  /** @param stream The stream whose prompt work begins; none is in progress. */
  start(stream: EngineStream): void {
    this.#stream = stream;
    stream.phase = StreamPhase.Prefilling;
    stream.cachedTokens = this.#cachedTokensOf(stream);
    stream.prefillLeftTokens = stream.promptTokens - stream.cachedTokens;
    this.#counts.promptTokensCached += stream.cachedTokens;
    countRun(this.#counts, stream);
  }

  /**
   * Tells how long the prompt in progress takes from now on.
   *
   * @param stream The stream in progress.
   * @param slowdown How many times slower than its own rate the engine works.
   * @returns The time left.
   */
  leftMs(stream: EngineStream, slowdown: number): number {
    return stream.prefillLeftTokens / this.#tokensPerMs(slowdown);
  }

  /**
   * Lets time pass.
   *
   * @param passedMs How much.
   * @param slowdown How many times slower than its own rate the engine works.
   */
  advance(passedMs: number, slowdown: number): void {
    if (this.#stream !== undefined) {
      const done = passedMs * this.#tokensPerMs(slowdown);
      const left = this.#stream.prefillLeftTokens - done;
      this.#stream.prefillLeftTokens = Math.max(0, left);
    }
  }

  /** @param stream The stream in progress, whose prompt is worked whole. */
  finish(stream: EngineStream): void {
    stream.prefillLeftTokens = 0;
    this.stop();
    this.#cache.store(stream.blockHashes);
    stream.blockHashes = [];
  }

  /** Stops the prompt work in progress and counts what was done. */
  stop(): void {
    const stream = this.#stream;
    this.#stream = undefined;
    if (stream === undefined) {
      return;
    }
    const done = Math.ceil(
      stream.promptTokens - stream.cachedTokens - stream.prefillLeftTokens,
    );
    this.#counts.promptTokensPrefilled += done;
    const byRequestId = this.#counts.promptTokensPrefilledByRequestId;
    addTo(byRequestId, stream.requestId, done);
  }

  /** Forgets the cached prefixes. */
  clearCache(): void {
    this.#cache.clear();
  }

  #cachedTokensOf(stream: EngineStream): number {
    const blocks = this.#cache.leadingBlocks(stream.blockHashes);
    // The last prompt token is always worked: its output starts the answer.
    const most = Math.max(0, stream.promptTokens - 1);
    return Math.min(blocks * this.#options.blockTokens, most);
  }

  #tokensPerMs(slowdown: number): number {
    const perSecond = this.#options.prefillTokensPerSecond / slowdown;
    return perSecond / MS_PER_SECOND;
  }
}
