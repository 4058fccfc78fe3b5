/** Chooses the target that is expected to complete a request first. */

import type { KnownTarget } from "./target_directory.ts";
import { LatencyModel, meanOverFreedSlots } from "./latency_model.ts";
import { meetsNeeds } from "./own_domain_rule.ts";
import type { SlowdownLookup } from "./target_loads.ts";
import type { WorkAsk } from "./work_ask.ts";

/**
 * Sums over the work that runs at one target, as the coordinator accounts for
 * it.
 */
export interface TargetUse {
  readonly running: number;
  /** Prompt tokens that the target has still to process. */
  readonly tokensAhead: number;
  /** KV cache tokens that running requests will need by their ends. */
  readonly kvTokens: number;
}

/**
 * Safety factor on the predicted time to the first event when it is compared
 * with the time left.
 */
const FIRST_EVENT_MARGIN_RATIO = 1.3;

/**
 * Ratio of predicted times to the first event at or below which another target
 * counts as faster.
 */
const FASTER_RATIO = 0.7;

/** Use of an idle target. */
export const IDLE_USE: TargetUse = { running: 0, tokensAhead: 0, kvTokens: 0 };

/**
 * A target that a request may be placed at, with what its prediction depends
 * on.
 */
export interface Candidate {
  readonly target: KnownTarget;
  readonly use: TargetUse;
  readonly latencyModel: LatencyModel;
  /** Capacity of the KV cache of a model engine; absent for plain services. */
  readonly kvCapacityTokens?: number;
}

/** A chosen target and its predicted latency. */
export interface Choice {
  readonly target: KnownTarget;
  /** Predicted time to the first event, or to the answer of a plain call. */
  readonly firstMs: number;
  /** Predicted time for which the request occupies a slot. */
  readonly slotMs: number;
}

/**
 * Penalty on targets in other failure domains: traffic between domains costs
 * money, and the network path adds a few milliseconds.
 */
const CROSS_DOMAIN_PENALTY_MS = 15;

/** Estimated output tokens in one event of a stream. */
const TOKENS_PER_EVENT = 5;

/** Average share of the maximum answer length that is generated. */
const EXPECTED_OUTPUT_SHARE = 0.7;

/**
 * Chooses among the targets that have a free slot and enough free memory.
 *
 * @param ask The request.
 * @param candidates Targets of its pool.
 * @param of Slowdowns of the targets now, absent while none is reported; and
 * the time in milliseconds within which the first event meets the objective,
 * absent where targets of the holder's failure domain have no precedence.
 * @returns The target expected to complete it first, among those of the
 * holder's failure domain that meet its needs if there are any; undefined where
 * none can hold it now.
 */
export function chooseTarget(
  ask: WorkAsk,
  candidates: readonly Candidate[],
  { slowdownOf, leftMs }: { slowdownOf?: SlowdownLookup; leftMs?: number } = {},
): Choice | undefined {
  const needs = leftMs !== undefined && {
    onTimeMs: leftMs / FIRST_EVENT_MARGIN_RATIO,
    longestGapMs: ask.longestGapMs,
    deadlineLeftMs: ask.deadlineLeftMs,
  };
  let best: Choice | undefined;
  let bestMs = Infinity;
  let isBestStaying = false;
  for (const candidate of candidates) {
    if (!canHold(candidate, ask)) {
      continue;
    }
    const ratio = slowdownOf?.(candidate.target.targetId) ?? 1;
    const firstMs = ratio * firstMsAt(candidate, ask, candidate.use);
    const slotMs = firstMs + ratio * generationMsAt(candidate, ask);
    const isOwnDomain = candidate.target.failureDomain === ask.failureDomain;
    const eventGapMs = ratio * eventGapMsAt(candidate);
    const isStaying = needs && isOwnDomain &&
      meetsNeeds({ firstMs, eventGapMs, slotMs }, needs);
    const doneMs = slotMs + (isOwnDomain ? 0 : CROSS_DOMAIN_PENALTY_MS);
    if (isStaying === isBestStaying ? doneMs < bestMs : isStaying) {
      best = { target: candidate.target, firstMs, slotMs };
      bestMs = doneMs;
      isBestStaying = isStaying;
    }
  }
  return best;
}

/**
 * Decides whether a request should wait for a faster target instead of going to
 * the best one with a free slot. That holds if it would miss its objective
 * there, and would meet it at a target that is busy now. It matters for large
 * prompts where some targets are several times slower than others: a slot at a
 * fast target becomes free within tens of milliseconds.
 *
 * @param ask The request.
 * @param best The best choice with a free slot.
 * @param of All targets that may be given it, the time in milliseconds within
 * which its first event meets the objective, and the slowdowns of the targets
 * now, if any are reported.
 * @returns Whether it should wait.
 */
export function isWorthWaiting(
  ask: WorkAsk,
  best: Choice,
  of: {
    candidates: () => readonly Candidate[];
    leftMs: number;
    slowdownOf?: SlowdownLookup;
  },
): boolean {
  const onTimeMs = of.leftMs / FIRST_EVENT_MARGIN_RATIO;
  if (best.firstMs <= onTimeMs) {
    return false;
  }
  const maxMs = Math.min(onTimeMs, FASTER_RATIO * best.firstMs);
  return of.candidates().some((candidate) => {
    const { targetId } = candidate.target;
    const ratio = of.slowdownOf?.(targetId) ?? 1;
    return !ask.excluded.includes(targetId) &&
      ratio * firstMsAt(candidate, ask, candidate.use) <= maxMs;
  });
}

/**
 * Builds a candidate that stands for the average of a pool in predictions.
 *
 * @param candidates Targets of one pool.
 * @param isSaturated Whether to average over the slots that become free instead
 * of over the targets. With the mean over targets of unequal speeds, large
 * prompts count as late while most of the slots that become free could still
 * serve them in time.
 * @returns An idle candidate with their mean latency model; undefined where
 * there are none.
 */
export function typicalOf(
  candidates: readonly Candidate[],
  isSaturated = false,
): Candidate | undefined {
  const [first] = candidates;
  return first && {
    ...first,
    use: IDLE_USE,
    latencyModel: LatencyModel.mean(
      candidates.map(({ latencyModel }) => latencyModel),
      isSaturated ? meanOverFreedSlots : undefined,
    ),
  };
}

function canHold({ target, use, kvCapacityTokens }: Candidate, ask: WorkAsk) {
  if (use.running >= target.slots || ask.excluded.includes(target.targetId)) {
    return false;
  }
  const needed = use.kvTokens + ask.promptTokens + ask.outputTokens;
  return kvCapacityTokens === undefined || use.running === 0 ||
    needed <= kvCapacityTokens;
}

/**
 * Predicts the latency of a request at a target at its usual speed.
 *
 * @param candidate The target.
 * @param ask The request.
 * @param use The work that runs there beside the request.
 * @returns Predicted time in milliseconds to the first event, or to the answer
 * of a plain call.
 */
export function firstMsAt(
  candidate: Candidate,
  ask: Pick<WorkAsk, "promptTokens">,
  use: TargetUse,
): number {
  const { latencyModel, kvCapacityTokens } = candidate;
  if (kvCapacityTokens !== undefined) {
    return latencyModel.firstEventMs(ask.promptTokens, use.tokensAhead);
  }
  // A plain service shares its processor among the calls that it runs.
  return latencyModel.callMs * (1 + use.running / candidate.target.slots);
}

/**
 * Predicts how long a stream takes after its first event at the target's usual
 * speed.
 *
 * @param candidate The target.
 * @param ask The request.
 * @returns Predicted time in milliseconds from the first event to the last one;
 * 0 for a plain call.
 */
export function generationMsAt(candidate: Candidate, ask: WorkAsk): number {
  const events = EXPECTED_OUTPUT_SHARE * ask.outputTokens / TOKENS_PER_EVENT;
  return events * eventGapMsAt(candidate);
}

/** Mean time between events of a stream; 0 for a plain service. */
function eventGapMsAt({ kvCapacityTokens, latencyModel }: Candidate): number {
  return kvCapacityTokens === undefined ? 0 : latencyModel.eventGapMs;
}
