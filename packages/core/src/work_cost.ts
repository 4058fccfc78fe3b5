/** Predicts how long a target takes for a piece of work. */

import type { TargetSettings } from "@chestnuthatch/settings/settings_types";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import type { LearnedRates } from "./blackboard.ts";

/** By how much a full target stretches a decode, over an idle one. */
const DECODE_STRETCH_WHEN_FULL = 0.3;

/** By how much a decode may well take longer than expected. */
const DECODE_CAUTION = 1.25;

const MS_PER_SECOND = 1000;

/** What a prediction needs to know of the work. */
export interface WorkSize {
  readonly promptTokens: number;
  /** Leading tokens of the prompt expected in the target's cache. */
  readonly cachedTokens: number;
  readonly expectedOutputTokens: number;
}

/** What a prediction needs to know of the target. */
export interface TargetSpeed {
  readonly kind: TargetKind;
  readonly rates: Readonly<LearnedRates>;
  /** Prompt work granted there that must be done first. */
  readonly prefillQueueMs: number;
  /** Share (0 to 1) of its slots in use. */
  readonly utilization: number;
}

/** A predicted service, in its parts. */
export interface Prediction {
  readonly prefillQueueMs: number;
  readonly prefillMs: number;
  readonly decodeMs: number;
  readonly loadFactor: number;
  readonly totalMs: number;
  /** The total with a margin for longer answers and a busier target. */
  readonly cautiousMs: number;
}

/**
 * Predicts the service of a piece of work on a target.
 *
 * @param work The work.
 * @param speed The target.
 * @returns The time from dispatch to the end of the answer, in its parts.
 */
export function predictService(work: WorkSize, speed: TargetSpeed): Prediction {
  const { rates } = speed;
  if (speed.kind === TargetKind.Service) {
    return {
      prefillQueueMs: 0,
      prefillMs: 0,
      decodeMs: 0,
      loadFactor: 1,
      totalMs: rates.callMs,
      cautiousMs: rates.callMs,
    };
  }
  const uncachedTokens = Math.max(0, work.promptTokens - work.cachedTokens);
  const prefillMs = uncachedTokens * rates.prefillMsPerToken;
  const loadFactor = loadFactorAt(speed.utilization);
  const decodeMs = work.expectedOutputTokens * rates.decodeMsPerToken *
    loadFactor * rates.decodeStretch;
  return {
    prefillQueueMs: speed.prefillQueueMs,
    prefillMs,
    decodeMs,
    loadFactor,
    totalMs: speed.prefillQueueMs + prefillMs + decodeMs,
    cautiousMs: speed.prefillQueueMs + prefillMs +
      decodeMs * DECODE_CAUTION,
  };
}

/**
 * Gives the rates assumed of a target until some have been learned.
 *
 * @param settings The target as the operators describe it.
 * @returns Rates of an idle target.
 */
export function priorRates(settings: TargetSettings): LearnedRates {
  return {
    prefillMsPerToken: msPerToken(settings.prefillTokensPerSecond),
    decodeMsPerToken: msPerToken(settings.decodeTokensPerSecond),
    callMs: settings.callMs,
    decodeStretch: 1,
    samples: 0,
    slowdown: 1,
  };
}

function loadFactorAt(utilization: number): number {
  return 1 + DECODE_STRETCH_WHEN_FULL * Math.min(1, utilization);
}

function msPerToken(tokensPerSecond: number): number {
  return tokensPerSecond > 0 ? MS_PER_SECOND / tokensPerSecond : 0;
}
