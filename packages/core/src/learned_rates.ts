/** Learns a target's speed from the work that ended there. */

import type { TargetSettings } from "@chestnuthatch/settings/settings_types";
import type {
  PeerMessageKind,
  PeerMessageOf,
} from "@chestnuthatch/wire/peer_messages";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import type { GrantAccount, Target, TargetPace } from "./blackboard.ts";
import { priorRates } from "./work_cost.ts";

/** Weight of a new sample in the recent rates. */
const RECENT_WEIGHT = 0.2;
/** Weight of a new sample in the long-term rates. */
const LONG_TERM_WEIGHT = 0.02;
/** Fewer tokens than this tell nothing of a rate. */
const MIN_OUTPUT_TOKENS = 8;
const MIN_PROMPT_TOKENS = 256;
/** A prompt this long counts in full; shorter ones count by their length. */
const FULL_PROMPT_TOKENS = 2000;
/** Share of a decode's speed that is lost while the engine reads a prompt. */
const DECODE_LOST_TO_PREFILL = 0.5;
/** Beyond this ratio to the long-term rate a sample hardly moves it. */
const ODD_RATIO = 1.5;
const ODD_SAMPLE_DAMPING = 0.1;
/** Samples after which the long-term rates rest on more than the settings. */
const SETTLED_SAMPLES = 20;

/** What is known beside the report of the work. */
export interface LearningContext {
  readonly settings: TargetSettings;
  readonly kind: TargetKind;
  readonly grant?: GrantAccount;
  /** All prompt work granted on the target so far. */
  readonly prefillGrantedMs: number;
}

interface RateSample {
  readonly sample: number;
  /** How much it counts, from 0 to 1. */
  readonly weight: number;
}

type RateSamples = Partial<Record<RateName, RateSample>>;
type WorkDone = PeerMessageOf<PeerMessageKind.WorkDone>;
type RateName = keyof TargetPace["longTerm"];

/**
 * Learns from work that ended.
 *
 * @param target The target it ran on.
 * @param done How it went.
 * @param by The target's settings and kind, and the grant it ran under.
 * @returns Whether anything was learned.
 */
export function learnFrom(
  target: Target,
  done: WorkDone,
  by: LearningContext,
): boolean {
  const otherPrefillMs = by.grant === undefined
    ? 0
    : by.prefillGrantedMs - by.grant.prefillGrantedMs;
  const samples = by.kind === TargetKind.Service
    ? serviceSamples(done)
    : engineSamples(done, by.grant, otherPrefillMs);
  learnStretch(target, done, otherPrefillMs);
  const names = Object.keys(samples) as RateName[];
  for (const name of names) {
    learnRate(target, paceOf(target, by.settings), {
      name,
      ...samples[name]!,
    });
  }
  target.rates.samples += names.length > 0 ? 1 : 0;
  return names.length > 0;
}

/**
 * Gives a target's pace, beginning one where there is none.
 *
 * @param target The target.
 * @param settings Its settings.
 * @returns The pace.
 */
export function paceOf(target: Target, settings: TargetSettings): TargetPace {
  const { prefillMsPerToken, decodeMsPerToken, callMs } = priorRates(settings);
  target.pace ??= {
    slotShare: 1,
    longTerm: { prefillMsPerToken, decodeMsPerToken, callMs },
    lastRecoveryAtMs: -Infinity,
  };
  return target.pace;
}

function serviceSamples(done: WorkDone): RateSamples {
  const callMs = done.firstTokenMs + done.decodeMs;
  return done.failed || callMs <= 0
    ? {}
    : { callMs: { sample: callMs, weight: 1 } };
}

/** Rates of an idle target: what the load then added is taken off. */
function engineSamples(
  done: WorkDone,
  grant: GrantAccount | undefined,
  otherPrefillMs: number,
): RateSamples {
  const samples: RateSamples = {};
  const uncachedTokens = done.promptTokens - done.cachedTokens;
  const prefillMs = done.firstTokenMs - (grant?.prefillQueueMs ?? 0);
  if (uncachedTokens >= MIN_PROMPT_TOKENS && prefillMs > 0) {
    samples.prefillMsPerToken = {
      sample: prefillMs / uncachedTokens,
      weight: Math.min(1, uncachedTokens / FULL_PROMPT_TOKENS),
    };
  }
  if (done.outputTokens >= MIN_OUTPUT_TOKENS && done.decodeMs > 0) {
    const lostMs = lostDecodeMs(done, otherPrefillMs);
    samples.decodeMsPerToken = {
      sample: (done.decodeMs - lostMs) / done.outputTokens /
        (grant?.loadFactor ?? 1),
      weight: 1,
    };
  }
  return samples;
}

function lostDecodeMs(done: WorkDone, otherPrefillMs: number): number {
  return DECODE_LOST_TO_PREFILL * Math.min(otherPrefillMs, done.decodeMs);
}

/** Learns how much longer decodes take for the prompts read beside them. */
function learnStretch(
  { rates }: Target,
  done: WorkDone,
  otherPrefillMs: number,
): void {
  if (done.outputTokens >= MIN_OUTPUT_TOKENS && done.decodeMs > 0) {
    const ownMs = done.decodeMs - lostDecodeMs(done, otherPrefillMs);
    const sample = done.decodeMs / ownMs;
    rates.decodeStretch += RECENT_WEIGHT * (sample - rates.decodeStretch);
  }
}

function learnRate(
  { rates }: Target,
  { longTerm }: TargetPace,
  { name, sample, weight }: RateSample & { name: RateName },
): void {
  // The first samples weigh more: settings only guess at a target's speed.
  const firstWeight = 1 / (rates.samples + 2);
  const isOdd = rates.samples >= SETTLED_SAMPLES &&
    sample > longTerm[name] * ODD_RATIO;
  const recentWeight = Math.max(RECENT_WEIGHT, firstWeight) * weight;
  const longTermWeight = Math.max(LONG_TERM_WEIGHT, firstWeight) * weight *
    (isOdd ? ODD_SAMPLE_DAMPING : 1);
  rates[name] += recentWeight * (sample - rates[name]);
  longTerm[name] += longTermWeight * (sample - longTerm[name]);
}
