/** Generator of the two deployments' requests from a seed. */

import {
  type RandomSource,
  seededRandomSource,
} from "@chestnuthatch/core/random_source";
import { seededFraction } from "./seeded_fraction.ts";
import {
  type Deployment,
  listWorkKinds,
  type TokenRange,
  WORK_KIND_PROFILES,
  WorkKind,
  WORKSPACES_BY_DEPLOYMENT,
} from "./work_kinds.ts";

/** Weights that override those of the kinds' profiles. */
export type KindMix = Partial<Record<WorkKind, number>>;

/** A period of constant request rate and mix. */
export interface RatePhase {
  readonly fromMs: number;
  readonly ratePerSecond: number;
  readonly mix?: KindMix;
}

/** Repetition of requests under the same idempotency key. */
export interface RepeatOptions {
  /** Share (0 to 1) of the requests with a key that are sent twice. */
  readonly share: number;
  /** Time between the first and the second sending. */
  readonly afterMs: number;
}

/** Options of a generated workload. */
export interface WorkloadOptions {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly durationMs: number;
  /** In time order; each lasts until the next starts, the last to the end. */
  readonly phases: readonly RatePhase[];
  readonly repeats?: RepeatOptions;
}

/** A generated request and the time of its arrival. */
export interface WorkItem {
  readonly atMs: number;
  readonly kind: WorkKind;
  readonly workspace: string;
  readonly tier: string;
  readonly pool: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Actual length of the answer in tokens. */
  readonly outputTokens: number;
  readonly deadlineMs: number;
  readonly idempotent: boolean;
  readonly idempotencyKey?: string;
  /** Id of the leading text that the request shares with others. */
  readonly prefixId: string;
  readonly prefixTokens: number;
  /**
   * Text that is unique to the request. It ends in the tag from which a
   * stand-in reads the length of the answer.
   */
  readonly uniqueText: string;
  /** Whether it repeats an earlier request under the same key. */
  readonly isRepeat: boolean;
}

/** Mix after rain, when faults and plans become more frequent together. */
export const RAIN_MIX: KindMix = {
  [WorkKind.FaultNote]: 45,
  [WorkKind.SeasonPlan]: 25,
  [WorkKind.BladeQuery]: 30,
  [WorkKind.StatusPost]: 20,
};

/** Mix in the evening, when owners send requests but clerks have left. */
export const EVENING_MIX: KindMix = {
  [WorkKind.LicenceRenewal]: 40,
  [WorkKind.FeeQuestion]: 40,
  [WorkKind.CaseFileReading]: 15,
  [WorkKind.InvoiceDraft]: 18,
  [WorkKind.ReminderLetter]: 3,
};

const MS_PER_SECOND = 1_000;
const CHARS_PER_TOKEN = 4;
const MAX_WORK_ITEMS = 2_000_000;
const MAX_CACHED_PREFIX_TEXTS = 64;

const prefixTextCache = new Map<string, string>();

/**
 * Generates the requests of a deployment.
 *
 * @param options Deployment, seed, phases and repetition.
 * @returns The requests in time order; equal options give equal requests.
 */
export function generateWorkload(options: WorkloadOptions): WorkItem[] {
  const randomness = seededRandomSource(options.seed);
  const items: WorkItem[] = [];
  options.phases.forEach((phase, i) => {
    const endMs = options.phases.at(i + 1)?.fromMs ?? options.durationMs;
    const untilMs = Math.min(endMs, options.durationMs);
    for (const atMs of generateArrivals(phase, untilMs, { randomness })) {
      if (items.length >= MAX_WORK_ITEMS) {
        return;
      }
      const ordinal = items.length;
      items.push(
        createWorkItem(atMs, phase, { options, randomness, ordinal }),
      );
    }
  });
  return addRepeats(items, options.repeats, { randomness });
}

/**
 * Creates a request's body: the shared leading text, then its unique text.
 *
 * @param item The request.
 * @returns The body, with four characters per token, ending in the request's
 * `uniqueText`.
 */
export function createRequestBody(item: WorkItem): string {
  const prefix = getPrefixText(item.prefixId, item.prefixTokens);
  const uniqueTokens = item.promptTokens - item.prefixTokens;
  const uniqueChars = uniqueTokens * CHARS_PER_TOKEN - item.uniqueText.length;
  return prefix + createFillerText(item.uniqueText, uniqueChars) +
    item.uniqueText;
}

/**
 * Creates the single phase of a workload with a constant rate.
 *
 * @param ratePerSecond Requests per second.
 * @returns The phase.
 */
export function constantRatePhases(ratePerSecond: number): RatePhase[] {
  return [{ fromMs: 0, ratePerSecond }];
}

/** Rates and times of a burst. */
export interface BurstOptions {
  /** Rate before and after the burst. */
  readonly baseRatePerSecond: number;
  readonly burstRatePerSecond: number;
  readonly burstFromMs: number;
  readonly burstUntilMs: number;
  /** Mix during the burst. */
  readonly mix?: KindMix;
}

/**
 * Creates the phases of a burst between two periods of the base rate.
 *
 * @param options Rates, times and mix of the burst.
 * @returns The three phases.
 */
export function burstPhases(options: BurstOptions): RatePhase[] {
  const {
    baseRatePerSecond,
    burstRatePerSecond,
    mix,
  } = options;
  return [
    { fromMs: 0, ratePerSecond: baseRatePerSecond },
    { fromMs: options.burstFromMs, ratePerSecond: burstRatePerSecond, mix },
    { fromMs: options.burstUntilMs, ratePerSecond: baseRatePerSecond },
  ];
}

function* generateArrivals(
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

interface WorkItemContext {
  readonly options: WorkloadOptions;
  readonly randomness: RandomSource;
  readonly ordinal: number;
}

function createWorkItem(
  atMs: number,
  phase: RatePhase,
  { options, randomness, ordinal }: WorkItemContext,
): WorkItem {
  const { deployment, seed } = options;
  const kind = pickWeighted(listWorkKinds(deployment), randomness, {
    weightOf: (kind) => phase.mix?.[kind] ?? WORK_KIND_PROFILES[kind].weight,
  });
  const { workspace } = pickWeighted(
    WORKSPACES_BY_DEPLOYMENT[deployment],
    randomness,
    {
      weightOf: ({ weight }) => weight,
    },
  );
  const profile = WORK_KIND_PROFILES[kind];
  const variant = Math.floor(randomness.next() * profile.prefixesPerWorkspace);
  const prefixId = `${workspace}/${kind}/${variant}`;
  const prefixTokens = interpolateLogarithmically(
    profile.prefixTokens,
    seededFraction(seed, prefixId),
  );
  const uniqueTokens = interpolateLogarithmically(
    profile.uniqueTokens,
    randomness.next(),
  );
  const outputTokens = interpolateLogarithmically(
    profile.outputTokens,
    randomness.next(),
  );
  const requestName = `${kind}-${seed}-${ordinal}`;
  const hasKey = randomness.next() < profile.idempotencyKeyShare;
  return {
    atMs,
    kind,
    workspace,
    tier: profile.tier,
    pool: profile.pool,
    promptTokens: prefixTokens + uniqueTokens,
    maxOutputTokens: profile.maxOutputTokens,
    outputTokens,
    deadlineMs: profile.deadlineMs,
    idempotent: profile.idempotent,
    idempotencyKey: hasKey ? `key-${requestName}` : undefined,
    prefixId,
    prefixTokens,
    uniqueText: ` ${requestName} [output=${outputTokens}]`,
    isRepeat: false,
  };
}

function pickWeighted<T>(
  choices: readonly T[],
  randomness: RandomSource,
  { weightOf }: { readonly weightOf: (choice: T) => number },
): T {
  const total = choices.reduce((sum, choice) => sum + weightOf(choice), 0);
  let remainingWeight = randomness.next() * total;
  for (const choice of choices) {
    remainingWeight -= weightOf(choice);
    if (remainingWeight < 0) {
      return choice;
    }
  }
  return choices[choices.length - 1];
}

/** Spreads evenly over orders of magnitude, so that most lengths are short. */
function interpolateLogarithmically(
  { min, max }: TokenRange,
  fraction: number,
): number {
  return min === max ? min : Math.round(min * (max / min) ** fraction);
}

function addRepeats(
  items: WorkItem[],
  repeats: RepeatOptions | undefined,
  { randomness }: { readonly randomness: RandomSource },
): WorkItem[] {
  if (repeats === undefined) {
    return items;
  }
  const repeatedItems = items
    .filter(({ idempotencyKey }) => idempotencyKey !== undefined)
    .filter(() => randomness.next() < repeats.share)
    .map((item) => ({
      ...item,
      atMs: item.atMs + repeats.afterMs,
      isRepeat: true,
    }));
  return [...items, ...repeatedItems].sort((a, b) => a.atMs - b.atMs);
}

function getPrefixText(prefixId: string, tokens: number): string {
  if (tokens === 0) {
    return "";
  }
  let text = prefixTextCache.get(prefixId);
  if (text?.length !== tokens * CHARS_PER_TOKEN) {
    text = createFillerText(prefixId, tokens * CHARS_PER_TOKEN);
    prefixTextCache.delete(prefixId);
    prefixTextCache.set(prefixId, text);
    evictOldestPrefixText();
  }
  return text;
}

function evictOldestPrefixText(): void {
  const oldest = prefixTextCache.keys().next().value;
  if (prefixTextCache.size > MAX_CACHED_PREFIX_TEXTS && oldest !== undefined) {
    prefixTextCache.delete(oldest);
  }
}

/** Creates text of an exact length that differs per label from its start. */
function createFillerText(label: string, chars: number): string {
  const words: string[] = [];
  for (let length = 0, i = 0; length < chars; i++) {
    const word = `${label}:${i} `;
    words.push(word);
    length += word.length;
  }
  return words.join("").slice(0, Math.max(0, chars));
}
