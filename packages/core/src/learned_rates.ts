/** Learns a target's speed from the work that ended there. */

import type { TargetSettings } from "@chestnuthatch/settings/policy";
import type {
  PeerMessageKind,
  PeerMessageOf,
} from "@chestnuthatch/wire/peer_messages";
import { TargetKind } from "@chestnuthatch/wire/work";
import type { GrantAccount, Target, TargetPace } from "./blackboard.ts";
import { priorRates } from "./work_cost.ts";

/** Weight of a new sample in the recent rates. */
const RECENT_WEIGHT = 0.2;
/** Weight of a new sample in the long-term rates. */
const LONG_TERM_WEIGHT = 0.02;
/** Fewer tokens than this tell nothing of a rate. */
const MIN_SAMPLE_TOKENS = 8;
/** Beyond this ratio to the long-term rate a sample hardly moves it. */
const ODD_RATIO = 1.5;
const ODD_SAMPLE_DAMPING = 0.1;
/** Samples after which the long-term rates rest on more than the settings. */
const SETTLED_SAMPLES = 20;

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
  by: { settings: TargetSettings; kind: TargetKind; grant?: GrantAccount },
): boolean {
  const samples = by.kind === TargetKind.Service
    ? serviceSamples(done)
    : engineSamples(done, by.grant);
  const names = Object.keys(samples) as RateName[];
  for (const name of names) {
    learnRate(target, paceOf(target, by.settings), {
      name,
      sample: samples[name]!,
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

function serviceSamples(done: WorkDone): Partial<Record<RateName, number>> {
  const callMs = done.firstTokenMs + done.decodeMs;
  return done.failed || callMs <= 0 ? {} : { callMs };
}

/** Rates of an idle target: what the load then added is taken off. */
function engineSamples(
  done: WorkDone,
  grant: GrantAccount | undefined,
): Partial<Record<RateName, number>> {
  const samples: Partial<Record<RateName, number>> = {};
  const uncachedTokens = done.promptTokens - done.cachedTokens;
  const prefillMs = done.firstTokenMs - (grant?.prefillQueueMs ?? 0);
  if (uncachedTokens >= MIN_SAMPLE_TOKENS && prefillMs > 0) {
    samples.prefillMsPerToken = prefillMs / uncachedTokens;
  }
  if (done.outputTokens >= MIN_SAMPLE_TOKENS && done.decodeMs > 0) {
    samples.decodeMsPerToken = done.decodeMs / done.outputTokens /
      (grant?.loadFactor ?? 1);
  }
  return samples;
}

function learnRate(
  { rates }: Target,
  { longTerm }: TargetPace,
  { name, sample }: { name: RateName; sample: number },
): void {
  // The first samples weigh more: settings only guess at a target's speed.
  const firstWeight = 1 / (rates.samples + 2);
  const isOdd = rates.samples >= SETTLED_SAMPLES &&
    sample > longTerm[name] * ODD_RATIO;
  const recentWeight = Math.max(RECENT_WEIGHT, firstWeight);
  const longTermWeight = Math.max(LONG_TERM_WEIGHT, firstWeight) *
    (isOdd ? ODD_SAMPLE_DAMPING : 1);
  rates[name] += recentWeight * (sample - rates[name]);
  longTerm[name] += longTermWeight * (sample - longTerm[name]);
}
