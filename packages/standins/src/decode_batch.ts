/**
 * The streams of an engine that decode together.
 *
 * All of them advance at the same rate, so one decode clock, counted in tokens,
 * serves them all.
 */

import type { EngineStream } from "./engine_stream.ts";

/** How fast a batch decodes. */
export interface DecodeBatchOptions {
  /** Rate of one stream that is alone. */
  readonly decodeTokensPerSecond: number;
  /** Slowdown of every stream for each further stream. */
  readonly decodeSlowdownPerStream: number;
  /** Whether a stream's only event is its last. */
  readonly coalesceTokens: boolean;
}

/** A stream's next event. */
export interface DecodeStep {
  readonly inMs: number;
  readonly stream: EngineStream;
}

const MS_PER_SECOND = 1_000;
/** Forgives rounding of the decode clock when whole tokens are counted. */
const CLOCK_TOLERANCE_TOKENS = 1e-6;

/** Keeps the decode clock and finds the stream whose event comes next. */
export class DecodeBatch {
  readonly #options: DecodeBatchOptions;
  readonly #streams = new Set<EngineStream>();
  /** The stream whose next event comes first, once looked up. */
  #soonest: EngineStream | undefined;
  #clockTokens = 0;

  /** @param options How fast it decodes. */
  constructor(options: DecodeBatchOptions) {
    this.#options = options;
  }

  /** @returns Number of streams. */
  get size(): number {
    return this.#streams.size;
  }

  /** @param stream A stream that begins to decode now. */
  add(stream: EngineStream): void {
    stream.startClockTokens = this.#clockTokens;
    this.#streams.add(stream);
    this.#soonest = undefined;
  }

  /** @param stream A stream that decodes no longer. */
  delete(stream: EngineStream): void {
    this.#streams.delete(stream);
    this.#soonest = undefined;
  }

  /** Forgets all streams. */
  clear(): void {
    this.#streams.clear();
    this.#soonest = undefined;
  }

  /**
   * Tells the rate of each stream.
   *
   * @param share Share of the full rate that is left for decoding.
   * @returns Tokens in a millisecond.
   */
  tokensPerMs(share: number): number {
    const { decodeTokensPerSecond, decodeSlowdownPerStream } = this.#options;
    const others = Math.max(0, this.#streams.size - 1);
    const crowding = 1 + decodeSlowdownPerStream * others;
    return decodeTokensPerSecond / MS_PER_SECOND * share / crowding;
  }

  /**
   * Lets time pass.
   *
   * @param passedMs How much.
   * @param share Share of the full rate that was left for decoding.
   */
  advance(passedMs: number, share: number): void {
    if (this.#streams.size > 0) {
      this.#clockTokens += passedMs * this.tokensPerMs(share);
    }
  }

  /**
   * Finds the next event.
   *
   * @param share Share of the full rate that is left for decoding.
   * @returns Whose event comes next and when, or undefined for none.
   */
  nextStep(share: number): DecodeStep | undefined {
    const stream = this.#soonest ??= this.#findSoonest();
    if (stream === undefined) {
      return undefined;
    }
    const left = Math.max(0, this.#nextClockOf(stream) - this.#clockTokens);
    return { inMs: left / this.tokensPerMs(share), stream };
  }

  /**
   * Counts a stream's next event as given.
   *
   * @param stream The stream whose event is due.
   */
  take(stream: EngineStream): void {
    const clock = this.#nextClockOf(stream);
    this.#clockTokens = Math.max(this.#clockTokens, clock);
    this.#soonest = undefined;
    stream.emittedTokens = this.#options.coalesceTokens
      ? stream.outputTokens
      : stream.emittedTokens + 1;
  }

  /**
   * Counts a decoding stream's tokens.
   *
   * @param stream The stream.
   * @returns Whole tokens generated so far.
   */
  generatedTokensOf(stream: EngineStream): number {
    const passed = this.#clockTokens - stream.startClockTokens;
    const whole = Math.floor(passed + CLOCK_TOLERANCE_TOKENS);
    return Math.min(stream.outputTokens, whole);
  }

  /** @returns KV memory that the streams' prompts and answers take. */
  kvUsedTokens(): number {
    let used = 0;
    for (const stream of this.#streams) {
      used += stream.promptTokens + this.generatedTokensOf(stream);
    }
    return used;
  }

  #findSoonest(): EngineStream | undefined {
    let soonest: EngineStream | undefined;
    let soonestClock = Infinity;
    for (const stream of this.#streams) {
      const clock = this.#nextClockOf(stream);
      if (clock < soonestClock) {
        soonest = stream;
        soonestClock = clock;
      }
    }
    return soonest;
  }

  #nextClockOf(stream: EngineStream): number {
    const tokens = this.#options.coalesceTokens
      ? stream.outputTokens
      : stream.emittedTokens + 1;
    return stream.startClockTokens + tokens;
  }
}
