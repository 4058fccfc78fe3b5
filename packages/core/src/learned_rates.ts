/** Estimates of a target's speed from the work that ended there. */

import type { TargetSettings } from "@chestnuthatch/settings/settings_types";
import type {
  PeerMessageKind,
  PeerMessageOf,
} from "@chestnuthatch/wire/peer_messages";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import type { GrantRecord, StragglerState, Target } from "./blackboard.ts";
import { priorRates } from "./service_prediction.ts";

/** Weight of a new sample in the moving average of the recent rates. */
const RECENT_WEIGHT = 0.2;
/** Weight of a new sample in the moving average of the long-term rates. */
const LONG_TERM_WEIGHT = 0.02;
/** Work with fewer tokens than these bounds gives no sample of a rate. */
const MIN_OUTPUT_TOKENS = 8;
const MIN_PROMPT_TOKENS = 256;
/** Prompts of at least this length have full weight, shorter ones less. */
const FULL_WEIGHT_PROMPT_TOKENS = 2000;
/** Share of its speed that a decode loses while the engine reads a prompt. */
const DECODE_LOST_TO_PREFILL_SHARE = 0.5;
/** A sample above this ratio to the long-term rate counts as an outlier. */
const MIN_OUTLIER_RATIO = 1.5;
/** Factor on the weight of outliers in the long-term rates. */
const OUTLIER_WEIGHT = 0.1;
/**
 * Samples before which no sample is an outlier: until then the long-term rates
 * rest mostly on the settings.
 */
const MIN_SAMPLES_FOR_OUTLIERS = 20;

/** The context of ended work that its report does not contain. */
export interface RateContext {
  readonly settings: TargetSettings;
  readonly kind: TargetKind;
  /** The grant that the work ran under; absent where this instance has none. */
  readonly grant?: GrantRecord;
  /** Total prefill time granted on the target so far. */
  readonly prefillGrantedMs: number;
}

interface RateSample {
  readonly sample: number;
  /** Weight of the sample (0 to 1). */
  readonly weight: number;
}

type RateSamples = Partial<Record<RateName, RateSample>>;
type WorkDone = PeerMessageOf<PeerMessageKind.WorkDone>;
type RateName = keyof StragglerState["longTerm"];

/**
 * Updates a target's estimated rates from work that ended there.
 *
 * @param target The target on which the work ran.
 * @param workDone The holder's message that the work ended, with its timings.
 * @param context The target's settings and kind, and the work's grant.
 * @returns Whether the work gave a sample of any rate.
 */
export function updateRates(
  target: Target,
  workDone: WorkDone,
  context: RateContext,
): boolean {
  const otherPrefillMs = context.grant === undefined
    ? 0
    : context.prefillGrantedMs - context.grant.cumulativePrefillMs;
  const samples = context.kind === TargetKind.Service
    ? serviceSamples(workDone)
    : engineSamples(workDone, context.grant, otherPrefillMs);
  updatePrefillInterference(target, workDone, otherPrefillMs);
  const names = Object.keys(samples) as RateName[];
  for (const name of names) {
    updateRate(target, ensureStragglerState(target, context.settings), {
      name,
      ...samples[name]!,
    });
  }
  target.rates.samples += names.length > 0 ? 1 : 0;
  return names.length > 0;
}

/**
 * Returns a target's straggler state, that is its long-term rates and the share
 * of its slots that it may fill, and creates the state where there is none.
 *
 * @param target The target.
 * @param settings The target's settings, which give the initial rates.
 * @returns The straggler state of the target.
 */
export function ensureStragglerState(
  target: Target,
  settings: TargetSettings,
): StragglerState {
  const { prefillMsPerToken, decodeMsPerToken, callMs } = priorRates(settings);
  target.stragglerState ??= {
    slotShare: 1,
    longTerm: { prefillMsPerToken, decodeMsPerToken, callMs },
    lastAdjustedAtMs: -Infinity,
  };
  return target.stragglerState;
}

function serviceSamples(workDone: WorkDone): RateSamples {
  const callMs = workDone.firstTokenMs + workDone.decodeMs;
  return workDone.failed || callMs <= 0
    ? {}
    : { callMs: { sample: callMs, weight: 1 } };
}

/** Samples the rates of an idle target: the effects of load are subtracted. */
function engineSamples(
  workDone: WorkDone,
  grant: GrantRecord | undefined,
  otherPrefillMs: number,
): RateSamples {
  const samples: RateSamples = {};
  const uncachedTokens = workDone.promptTokens - workDone.cachedTokens;
  const prefillMs = workDone.firstTokenMs - (grant?.prefillQueueMs ?? 0);
  if (uncachedTokens >= MIN_PROMPT_TOKENS && prefillMs > 0) {
    samples.prefillMsPerToken = {
      sample: prefillMs / uncachedTokens,
      weight: Math.min(1, uncachedTokens / FULL_WEIGHT_PROMPT_TOKENS),
    };
  }
  if (workDone.outputTokens >= MIN_OUTPUT_TOKENS && workDone.decodeMs > 0) {
    const lostMs = decodeLostToPrefillMs(workDone, otherPrefillMs);
    samples.decodeMsPerToken = {
      sample: (workDone.decodeMs - lostMs) / workDone.outputTokens /
        (grant?.loadFactor ?? 1),
      weight: 1,
    };
  }
  return samples;
}

function decodeLostToPrefillMs(
  workDone: WorkDone,
  otherPrefillMs: number,
): number {
  return DECODE_LOST_TO_PREFILL_SHARE *
    Math.min(otherPrefillMs, workDone.decodeMs);
}

/** Updates the ratio by which concurrent prefills lengthen decodes. */
function updatePrefillInterference(
  { rates }: Target,
  workDone: WorkDone,
  otherPrefillMs: number,
): void {
  if (workDone.outputTokens >= MIN_OUTPUT_TOKENS && workDone.decodeMs > 0) {
    const undisturbedMs = workDone.decodeMs -
      decodeLostToPrefillMs(workDone, otherPrefillMs);
    const sample = workDone.decodeMs / undisturbedMs;
    rates.prefillInterferenceRatio += RECENT_WEIGHT *
      (sample - rates.prefillInterferenceRatio);
  }
}

function updateRate(
  { rates }: Target,
  { longTerm }: StragglerState,
  { name, sample, weight }: RateSample & { name: RateName },
): void {
  // The first samples have more weight: the settings are only an estimate.
  const initialWeight = 1 / (rates.samples + 2);
  const isOutlier = rates.samples >= MIN_SAMPLES_FOR_OUTLIERS &&
    sample > longTerm[name] * MIN_OUTLIER_RATIO;
  const recentWeight = Math.max(RECENT_WEIGHT, initialWeight) * weight;
  const longTermWeight = Math.max(LONG_TERM_WEIGHT, initialWeight) * weight *
    (isOutlier ? OUTLIER_WEIGHT : 1);
  rates[name] += recentWeight * (sample - rates[name]);
  longTerm[name] += longTermWeight * (sample - longTerm[name]);
}
