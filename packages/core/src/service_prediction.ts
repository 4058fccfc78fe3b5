/** Predictions of the time that a target takes for a piece of work. */

import type { TargetSettings } from "@chestnuthatch/settings/settings_types";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import type { LearnedRates } from "./blackboard.ts";

/**
 * Share by which a decode takes longer on a target with all slots in use than
 * on an idle one.
 */
const FULL_LOAD_DECODE_OVERHEAD_SHARE = 0.3;

/** Safety factor on the expected decode time in conservative predictions. */
const DECODE_SAFETY_RATIO = 1.25;

const MS_PER_SECOND = 1000;

/** The size of a piece of work, as predictions need it. */
export interface WorkSize {
  readonly promptTokens: number;
  /** Leading tokens of the prompt expected in the target's cache. */
  readonly cachedTokens: number;
  readonly expectedOutputTokens: number;
}

/** The rates and the load of a target, as predictions need them. */
export interface TargetSpeed {
  readonly kind: TargetKind;
  readonly rates: Readonly<LearnedRates>;
  /** Time until the target has read the prompts granted before. */
  readonly prefillQueueMs: number;
  /** Share (0 to 1) of its slots in use. */
  readonly utilization: number;
}

/** A predicted service time and its parts. */
export interface Prediction {
  /** Time until the target has read the prompts granted before. */
  readonly prefillQueueMs: number;
  /** Time to read the prompt, without its cached prefix. */
  readonly prefillMs: number;
  /** Time to generate the expected output. */
  readonly decodeMs: number;
  /** Ratio by which the target's load lengthens the decode. */
  readonly loadFactor: number;
  /** Time from dispatch to the end of the answer. */
  readonly totalMs: number;
  /** The total with a margin for a longer answer or a busier target. */
  readonly conservativeMs: number;
}

/**
 * Predicts the service time of a piece of work on a target.
 *
 * @param work The size of the work.
 * @param speed The rates and the load of the target.
 * @returns The time from dispatch to the end of the answer, and its parts.
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
      conservativeMs: rates.callMs,
    };
  }
  const uncachedTokens = Math.max(0, work.promptTokens - work.cachedTokens);
  const prefillMs = uncachedTokens * rates.prefillMsPerToken;
  const loadFactor = loadFactorAt(speed.utilization);
  const decodeMs = work.expectedOutputTokens * rates.decodeMsPerToken *
    loadFactor * rates.prefillInterferenceRatio;
  return {
    prefillQueueMs: speed.prefillQueueMs,
    prefillMs,
    decodeMs,
    loadFactor,
    totalMs: speed.prefillQueueMs + prefillMs + decodeMs,
    conservativeMs: speed.prefillQueueMs + prefillMs +
      decodeMs * DECODE_SAFETY_RATIO,
  };
}

/**
 * Returns the rates to assume of a target before any have been measured.
 *
 * @param settings The target's settings, which state its speed.
 * @returns The rates of the target while idle.
 */
export function priorRates(settings: TargetSettings): LearnedRates {
  return {
    prefillMsPerToken: msPerToken(settings.prefillTokensPerSecond),
    decodeMsPerToken: msPerToken(settings.decodeTokensPerSecond),
    callMs: settings.callMs,
    prefillInterferenceRatio: 1,
    samples: 0,
    slowdown: 1,
  };
}

function loadFactorAt(utilization: number): number {
  return 1 + FULL_LOAD_DECODE_OVERHEAD_SHARE * Math.min(1, utilization);
}

function msPerToken(tokensPerSecond: number): number {
  return tokensPerSecond > 0 ? MS_PER_SECOND / tokensPerSecond : 0;
}
