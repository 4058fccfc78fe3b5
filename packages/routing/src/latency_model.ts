/**
 * Latency model of a target, estimated from observed latencies by moving
 * averages.
 */

/** Weight of one observation in the moving averages. */
const SMOOTHING_FACTOR = 0.2;

/**
 * Time to the first event of an empty prompt on an idle engine, and time to
 * process a prompt token. These initial estimates are in the range of large
 * mixture-of-experts engines and are corrected within tens of requests.
 */
const BASE_FIRST_EVENT_MS = 45;
const PROMPT_TOKEN_MS = 0.012;
/** Additional time for long prompts, per million pairs of prompt tokens. */
const TOKEN_PAIRS_MS_PER_M = 0.25;

/** Initial estimate of the time between two events of a stream. */
export const INITIAL_EVENT_GAP_MS = 25;

/** Initial estimate of the duration of a plain call. */
export const INITIAL_CALL_MS = 50;

/** Bounds of a target's slowness relative to the baseline. */
const MAX_SLOWNESS_RATIO = 20;
const MIN_SLOWNESS_RATIO = 0.1;

const PAIRS_PER_M = 1e6;

/** Latency model of one target. */
export class LatencyModel {
  /** Ratio of the observed times to the first event to the baseline. */
  #slownessRatio = 1;
  #eventGapMs = INITIAL_EVENT_GAP_MS;
  #callMs = INITIAL_CALL_MS;

  /**
   * Averages the models of several targets.
   *
   * @param models Models of at least one target.
   * @param average Mean of their estimates; the arithmetic one by default.
   * @returns A model whose predictions are the means of theirs.
   */
  static mean(
    models: readonly LatencyModel[],
    average: (values: readonly number[]) => number = meanOf,
  ): LatencyModel {
    const mean = new LatencyModel();
    mean.#slownessRatio = average(models.map((model) => model.#slownessRatio));
    mean.#eventGapMs = average(models.map((model) => model.#eventGapMs));
    mean.#callMs = average(models.map((model) => model.#callMs));
    return mean;
  }

  /**
   * Predicts the time to the first event of a stream.
   *
   * @param promptTokens Tokens of its prompt.
   * @param tokensAhead Prompt tokens that the target processes before it.
   * @returns Time in milliseconds.
   */
  firstEventMs(promptTokens: number, tokensAhead: number): number {
    return this.#slownessRatio *
      baselineFirstEventMs(promptTokens, tokensAhead);
  }

  /** Estimated time between two events of a stream, in milliseconds. */
  get eventGapMs(): number {
    return this.#eventGapMs;
  }

  /** Estimated duration of a plain call, in milliseconds. */
  get callMs(): number {
    return this.#callMs;
  }

  /**
   * Updates the estimates from the first event of a stream.
   *
   * @param promptTokens Tokens of its prompt.
   * @param tokensAhead Prompt tokens that the target had queued before it.
   * @param tookMs Time to the first event.
   */
  recordFirstEvent(
    promptTokens: number,
    tokensAhead: number,
    tookMs: number,
  ): void {
    const observedRatio = tookMs /
      baselineFirstEventMs(promptTokens, tokensAhead);
    this.#slownessRatio = smoothed(
      this.#slownessRatio,
      Math.min(MAX_SLOWNESS_RATIO, Math.max(MIN_SLOWNESS_RATIO, observedRatio)),
    );
  }

  /**
   * Updates the estimate of the time between events.
   *
   * @param gapMs Mean time between the events of a stream that ended.
   */
  recordEventGap(gapMs: number): void {
    this.#eventGapMs = smoothed(this.#eventGapMs, gapMs);
  }

  /**
   * Updates the estimate of the duration of plain calls.
   *
   * @param tookMs Duration of a plain call.
   */
  recordCall(tookMs: number): void {
    this.#callMs = smoothed(this.#callMs, tookMs);
  }
}

/**
 * Computes the baseline time to a first event, by which times of prompts of
 * different sizes are compared.
 *
 * @param promptTokens Tokens of the prompt.
 * @param tokensAhead Prompt tokens that the target had queued before it.
 * @returns Time in milliseconds under the initial estimates.
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

/**
 * Averages durations at targets over the slots that become free. Where all
 * slots are in use, they become free at a rate inverse to the duration.
 *
 * @param durations Duration at each target.
 * @returns Their harmonic mean.
 */
export function meanOverFreedSlots(durations: readonly number[]): number {
  return 1 / meanOf(durations.map((duration) => 1 / duration));
}
