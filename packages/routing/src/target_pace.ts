/** How fast targets are, as learned from what they did. */

/** How much one observation moves what was learned. */
const SMOOTHING_FACTOR = 0.2;

/**
 * Time to the first event of an empty prompt on an idle engine, and time to
 * read a prompt token. Where learning starts; of the order that large
 * mixture-of-experts engines need, and corrected within some tens of requests.
 */
const BASE_FIRST_EVENT_MS = 45;
const PROMPT_TOKEN_MS = 0.012;
/** Extra time that long prompts take, for each million of token pairs. */
const TOKEN_PAIRS_MS_PER_M = 0.25;

/** Time between two events of a stream where learning starts. */
export const INITIAL_EVENT_GAP_MS = 25;

/** Time that a plain call takes where learning starts. */
export const INITIAL_CALL_MS = 50;

/** Slowest and fastest that a target is believed to be, against the average. */
const MAX_SLOWNESS_RATIO = 20;
const MIN_SLOWNESS_RATIO = 0.1;

const PAIRS_PER_M = 1e6;

/** Learned figures of one target. */
export class TargetPace {
  /** How much slower than the starting figures it reads prompts. */
  #slownessRatio = 1;
  #eventGapMs = INITIAL_EVENT_GAP_MS;
  #callMs = INITIAL_CALL_MS;

  /**
   * @param paces Paces of targets, one at least.
   * @returns A pace whose predictions are the means of theirs.
   */
  static mean(paces: readonly TargetPace[]): TargetPace {
    const mean = new TargetPace();
    mean.#slownessRatio = meanOf(paces.map((pace) => pace.#slownessRatio));
    mean.#eventGapMs = meanOf(paces.map((pace) => pace.#eventGapMs));
    mean.#callMs = meanOf(paces.map((pace) => pace.#callMs));
    return mean;
  }

  /**
   * Predicts the time to a stream's first event.
   *
   * @param promptTokens Tokens of its prompt.
   * @param tokensAhead Prompt tokens that wait there to be read before it.
   * @returns A time in milliseconds.
   */
  firstEventMs(promptTokens: number, tokensAhead: number): number {
    return this.#slownessRatio *
      baselineFirstEventMs(promptTokens, tokensAhead);
  }

  /** Time between two events of one stream. */
  get eventGapMs(): number {
    return this.#eventGapMs;
  }

  /** Time that a plain call takes. */
  get callMs(): number {
    return this.#callMs;
  }

  /**
   * Learns from a stream's first event.
   *
   * @param promptTokens Tokens of its prompt.
   * @param tokensAhead Prompt tokens that waited there before it.
   * @param tookMs The time it took.
   */
  learnFirstEvent(
    promptTokens: number,
    tokensAhead: number,
    tookMs: number,
  ): void {
    const observed = tookMs / baselineFirstEventMs(promptTokens, tokensAhead);
    this.#slownessRatio = smoothed(
      this.#slownessRatio,
      Math.min(MAX_SLOWNESS_RATIO, Math.max(MIN_SLOWNESS_RATIO, observed)),
    );
  }

  /** @param gapMs Mean time between the events of a stream that ended. */
  learnEventGap(gapMs: number): void {
    this.#eventGapMs = smoothed(this.#eventGapMs, gapMs);
  }

  /** @param tookMs Time that a plain call took. */
  learnCall(tookMs: number): void {
    this.#callMs = smoothed(this.#callMs, tookMs);
  }
}

/**
 * @param promptTokens Tokens of a prompt.
 * @param tokensAhead Prompt tokens that waited at the target before it.
 * @returns Time to the first event where learning starts, to compare times of
 * prompts of unlike sizes by.
 */
export function baselineFirstEventMs(
  promptTokens: number,
  tokensAhead: number,
): number {
  return BASE_FIRST_EVENT_MS + PROMPT_TOKEN_MS * (promptTokens + tokensAhead) +
    TOKEN_PAIRS_MS_PER_M * promptTokens * promptTokens / PAIRS_PER_M;
}

function smoothed(previous: number, observed: number): number {
  return previous + SMOOTHING_FACTOR * (observed - previous);
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
