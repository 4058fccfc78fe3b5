/**
 * The streams of an engine that decode together.
 *
 * All streams decode at the same rate, so one decode clock, counted in tokens,
 * measures the progress of all of them.
 */

import type { EngineStream } from "./engine_stream.ts";

/** Decode rate of a batch, and the granularity of its events. */
export interface DecodeBatchOptions {
  /** Rate of a stream that decodes alone. */
  readonly decodeTokensPerSecond: number;
  /** Slowdown of every stream for each further stream; 0.02 is 2 %. */
  readonly decodeSlowdownPerStream: number;
  /** Whether a stream emits its whole text as one token event. */
  readonly coalesceTokens: boolean;
}

/** The next event of a decoding stream, and the time until it is due. */
export interface DecodeStep {
  readonly delayMs: number;
  readonly stream: EngineStream;
}

const MS_PER_SECOND = 1_000;
/** Compensates rounding of the decode clock when counting whole tokens. */
const CLOCK_TOLERANCE_TOKENS = 1e-6;

/** The decoding streams and the decode clock that they share. */
export class DecodeBatch {
  readonly #options: DecodeBatchOptions;
  readonly #streams = new Set<EngineStream>();
  /** Cached stream whose event comes next; undefined until looked up. */
  #nextStream: EngineStream | undefined;
  #clockTokens = 0;

  /** @param options Decode rate and granularity of events. */
  constructor(options: DecodeBatchOptions) {
    this.#options = options;
  }

  /** @returns Number of decoding streams. */
  get size(): number {
    return this.#streams.size;
  }

  /** @param stream A stream that starts to decode now. */
  add(stream: EngineStream): void {
    stream.decodeStartClockTokens = this.#clockTokens;
    this.#streams.add(stream);
    this.#nextStream = undefined;
  }

  /** @param stream A stream that stops decoding. */
  delete(stream: EngineStream): void {
    this.#streams.delete(stream);
    this.#nextStream = undefined;
  }

  /** Discards all streams. */
  clear(): void {
    this.#streams.clear();
    this.#nextStream = undefined;
  }

  /**
   * Computes the decode rate of each stream.
   *
   * @param rateShare Share of the full rate that is available for decoding.
   * @returns Tokens per millisecond and stream.
   */
  tokensPerMs(rateShare: number): number {
    const { decodeTokensPerSecond, decodeSlowdownPerStream } = this.#options;
    const otherStreams = Math.max(0, this.#streams.size - 1);
    const batchSlowdown = 1 + decodeSlowdownPerStream * otherStreams;
    return decodeTokensPerSecond / MS_PER_SECOND * rateShare / batchSlowdown;
  }

  /**
   * Advances the decode clock.
   *
   * @param elapsedMs Time to advance by.
   * @param rateShare Share of the full rate that was available for decoding.
   */
  advance(elapsedMs: number, rateShare: number): void {
    if (this.#streams.size > 0) {
      this.#clockTokens += elapsedMs * this.tokensPerMs(rateShare);
    }
  }

  /**
   * Finds the stream whose event comes next.
   *
   * @param rateShare Share of the full rate that is available for decoding.
   * @returns The stream and the time until its event, or undefined if no stream
   * decodes.
   */
  findNextStep(rateShare: number): DecodeStep | undefined {
    const stream = this.#nextStream ??= this.#findNextStream();
    if (stream === undefined) {
      return undefined;
    }
    const remainingTokens = Math.max(
      0,
      this.#nextEventClockTokens(stream) - this.#clockTokens,
    );
    return { delayMs: remainingTokens / this.tokensPerMs(rateShare), stream };
  }

  /**
   * Records that a stream's next event is emitted now.
   *
   * @param stream The stream whose event is due.
   */
  recordStep(stream: EngineStream): void {
    const nextClockTokens = this.#nextEventClockTokens(stream);
    this.#clockTokens = Math.max(this.#clockTokens, nextClockTokens);
    this.#nextStream = undefined;
    stream.emittedTokens = this.#options.coalesceTokens
      ? stream.outputTokens
      : stream.emittedTokens + 1;
  }

  /**
   * Counts the whole tokens that a decoding stream has generated.
   *
   * @param stream The stream.
   * @returns Number of tokens.
   */
  countGeneratedTokens(stream: EngineStream): number {
    const elapsedTokens = this.#clockTokens - stream.decodeStartClockTokens;
    const wholeTokens = Math.floor(elapsedTokens + CLOCK_TOLERANCE_TOKENS);
    return Math.min(stream.outputTokens, wholeTokens);
  }

  /** @returns KV memory in tokens used by the streams' prompts and answers. */
  countKvUsedTokens(): number {
    let usedTokens = 0;
    for (const stream of this.#streams) {
      usedTokens += stream.promptTokens + this.countGeneratedTokens(stream);
    }
    return usedTokens;
  }

  #findNextStream(): EngineStream | undefined {
    let next: EngineStream | undefined;
    let nextClockTokens = Infinity;
    for (const stream of this.#streams) {
      const clockTokens = this.#nextEventClockTokens(stream);
      if (clockTokens < nextClockTokens) {
        next = stream;
        nextClockTokens = clockTokens;
      }
    }
    return next;
  }

  #nextEventClockTokens(stream: EngineStream): number {
    const tokens = this.#options.coalesceTokens
      ? stream.outputTokens
      : stream.emittedTokens + 1;
    return stream.decodeStartClockTokens + tokens;
  }
}
