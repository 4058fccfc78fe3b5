/** The two deployments' requests, made from a seed. */

import {
  type RandomSource,
  seededRandomSource,
} from "@chestnuthatch/core/random_source";
import { fractionOf } from "./randomness.ts";
import {
  type Deployment,
  kindsOf,
  PROFILES,
  type TokenRange,
  WorkKind,
  WORKSPACES,
} from "./workload_kinds.ts";

/** Weights of some kinds; the others keep their own. */
export type KindMix = Partial<Record<WorkKind, number>>;

/** A stretch of time with one rate and one mix. */
export interface RatePhase {
  readonly fromMs: number;
  readonly ratePerSecond: number;
  readonly mix?: KindMix;
}

/** Some callers send the same request again. */
export interface RepeatOptions {
  /** Share (0 to 1) of the requests with a key that come twice. */
  readonly share: number;
  /** How much later the second comes. */
  readonly afterMs: number;
}

/** What to generate. */
export interface WorkloadOptions {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly durationMs: number;
  /** In time order; each lasts until the next, the last until the end. */
  readonly phases: readonly RatePhase[];
  readonly repeats?: RepeatOptions;
}

/** One request to come. */
export interface WorkItem {
  readonly atMs: number;
  readonly kind: WorkKind;
  readonly workspace: string;
  readonly tier: string;
  readonly pool: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Length its answer will truly have. */
  readonly outputTokens: number;
  readonly deadlineMs: number;
  readonly idempotent: boolean;
  readonly idempotencyKey?: string;
  /** Names the leading text it shares with others. */
  readonly prefixId: string;
  readonly prefixTokens: number;
  /** Short text of its own that ends in the length of its answer. */
  readonly seedText: string;
  /** True when it repeats an earlier request under the same key. */
  readonly isRepeat: boolean;
}

/** After rain, faults and plans rise together. */
export const RAIN_MIX: KindMix = {
  [WorkKind.FaultNote]: 45,
  [WorkKind.SeasonPlan]: 25,
  [WorkKind.BladeQuery]: 30,
  [WorkKind.StatusPost]: 20,
};

/** In the evening, owners call and clerks have gone home. */
export const EVENING_MIX: KindMix = {
  [WorkKind.LicenceRenewal]: 40,
  [WorkKind.FeeQuestion]: 40,
  [WorkKind.CaseFileReading]: 15,
  [WorkKind.InvoiceDraft]: 18,
  [WorkKind.ReminderLetter]: 3,
};

const MS_PER_SECOND = 1_000;
const CHARS_PER_TOKEN = 4;
const MAX_ITEMS = 2_000_000;
const MAX_PREFIX_TEXTS_KEPT = 64;

const prefixTexts = new Map<string, string>();

/**
 * Generates the requests of a deployment.
 *
 * @param options What to generate.
 * @returns The requests in time order; the same for the same options.
 */
export function generateWorkload(options: WorkloadOptions): WorkItem[] {
  const randomness = seededRandomSource(options.seed);
  const items: WorkItem[] = [];
  options.phases.forEach((phase, i) => {
    const endMs = options.phases.at(i + 1)?.fromMs ?? options.durationMs;
    const untilMs = Math.min(endMs, options.durationMs);
    for (const atMs of arrivalsIn(phase, untilMs, { randomness })) {
      if (items.length >= MAX_ITEMS) {
        return;
      }
      const number = items.length;
      items.push(itemAt(atMs, phase, { options, randomness, number }));
    }
  });
  return withRepeats(items, options.repeats, { randomness });
}

/**
 * Writes a request's body: shared leading text, then its own.
 *
 * @param item The request.
 * @returns About four characters a token, ending in the item's seed text.
 */
export function bodyOf(item: WorkItem): string {
  const prefix = prefixTextOf(item.prefixId, item.prefixTokens);
  const ownTokens = item.promptTokens - item.prefixTokens;
  const ownChars = ownTokens * CHARS_PER_TOKEN - item.seedText.length;
  return prefix + fillerOf(item.seedText, ownChars) + item.seedText;
}

/**
 * One rate throughout.
 *
 * @param ratePerSecond The rate.
 * @returns The phases.
 */
export function calmPhases(ratePerSecond: number): RatePhase[] {
  return [{ fromMs: 0, ratePerSecond }];
}

/** A calm rate with a burst in between. */
export interface BurstOptions {
  readonly calmPerSecond: number;
  readonly burstPerSecond: number;
  readonly burstFromMs: number;
  readonly burstUntilMs: number;
  /** Mix during the burst. */
  readonly mix?: KindMix;
}

/**
 * A burst between two calm stretches.
 *
 * @param options Rates, times and the mix of the burst.
 * @returns The phases.
 */
export function burstPhases(options: BurstOptions): RatePhase[] {
  const { calmPerSecond, burstPerSecond, mix } = options;
  return [
    { fromMs: 0, ratePerSecond: calmPerSecond },
    { fromMs: options.burstFromMs, ratePerSecond: burstPerSecond, mix },
    { fromMs: options.burstUntilMs, ratePerSecond: calmPerSecond },
  ];
}

function* arrivalsIn(
  phase: RatePhase,
  untilMs: number,
  { randomness }: { readonly randomness: RandomSource },
): Generator<number> {
  if (phase.ratePerSecond <= 0) {
    return;
  }
  const meanGapMs = MS_PER_SECOND / phase.ratePerSecond;
  const nextGapMs = () => -Math.log(1 - randomness.next()) * meanGapMs;
  let atMs = phase.fromMs + nextGapMs();
  while (atMs < untilMs) {
    yield atMs;
    atMs += nextGapMs();
  }
}

interface ItemContext {
  readonly options: WorkloadOptions;
  readonly randomness: RandomSource;
  readonly number: number;
}

function itemAt(
  atMs: number,
  phase: RatePhase,
  { options, randomness, number }: ItemContext,
): WorkItem {
  const { deployment, seed } = options;
  const kind = pickWeighted(kindsOf(deployment), randomness, {
    weightOf: (kind) => phase.mix?.[kind] ?? PROFILES[kind].weight,
  });
  const { workspace } = pickWeighted(WORKSPACES[deployment], randomness, {
    weightOf: ({ weight }) => weight,
  });
  const profile = PROFILES[kind];
  const variant = Math.floor(randomness.next() * profile.prefixesPerWorkspace);
  const prefixId = `${workspace}/${kind}/${variant}`;
  const prefixTokens = within(profile.prefixTokens, fractionOf(seed, prefixId));
  const ownTokens = within(profile.ownTokens, randomness.next());
  const outputTokens = within(profile.outputTokens, randomness.next());
  const name = `${kind}-${seed}-${number}`;
  const keyed = randomness.next() < profile.keyedShare;
  return {
    atMs,
    kind,
    workspace,
    tier: profile.tier,
    pool: profile.pool,
    promptTokens: prefixTokens + ownTokens,
    maxOutputTokens: profile.maxOutputTokens,
    outputTokens,
    deadlineMs: profile.deadlineMs,
    idempotent: profile.idempotent,
    idempotencyKey: keyed ? `key-${name}` : undefined,
    prefixId,
    prefixTokens,
    seedText: ` ${name} [output=${outputTokens}]`,
    isRepeat: false,
  };
}

function pickWeighted<T>(
  choices: readonly T[],
  randomness: RandomSource,
  { weightOf }: { readonly weightOf: (choice: T) => number },
): T {
  const total = choices.reduce((sum, choice) => sum + weightOf(choice), 0);
  let left = randomness.next() * total;
  for (const choice of choices) {
    left -= weightOf(choice);
    if (left < 0) {
      return choice;
    }
  }
  return choices[choices.length - 1];
}

/** Spreads evenly over orders of magnitude, so that most are short. */
function within({ min, max }: TokenRange, fraction: number): number {
  return min === max ? min : Math.round(min * (max / min) ** fraction);
}

function withRepeats(
  items: WorkItem[],
  repeats: RepeatOptions | undefined,
  { randomness }: { readonly randomness: RandomSource },
): WorkItem[] {
  if (repeats === undefined) {
    return items;
  }
  const again = items
    .filter(({ idempotencyKey }) => idempotencyKey !== undefined)
    .filter(() => randomness.next() < repeats.share)
    .map((item) => ({
      ...item,
      atMs: item.atMs + repeats.afterMs,
      isRepeat: true,
    }));
  return [...items, ...again].sort((a, b) => a.atMs - b.atMs);
}

function prefixTextOf(prefixId: string, tokens: number): string {
  if (tokens === 0) {
    return "";
  }
  let text = prefixTexts.get(prefixId);
  if (text?.length !== tokens * CHARS_PER_TOKEN) {
    text = fillerOf(prefixId, tokens * CHARS_PER_TOKEN);
    prefixTexts.delete(prefixId);
    prefixTexts.set(prefixId, text);
    dropOldestPrefixText();
  }
  return text;
}

function dropOldestPrefixText(): void {
  const oldest = prefixTexts.keys().next().value;
  if (prefixTexts.size > MAX_PREFIX_TEXTS_KEPT && oldest !== undefined) {
    prefixTexts.delete(oldest);
  }
}

/** Text of an exact length that differs from its first word on. */
function fillerOf(name: string, chars: number): string {
  const parts: string[] = [];
  for (let length = 0, i = 0; length < chars; i++) {
    const part = `${name}:${i} `;
    parts.push(part);
    length += part.length;
  }
  return parts.join("").slice(0, Math.max(0, chars));
}
