/** Chooses the target that is expected to finish a request first. */

import type { KnownTarget } from "./target_directory.ts";
import { TargetPace } from "./target_pace.ts";
import type { WorkAsk } from "./work_ask.ts";

/** What runs at one target, as the coordinator accounts for it. */
export interface TargetUse {
  readonly running: number;
  /** Tokens of prompts that it has still to read. */
  readonly tokensAhead: number;
  /** Tokens of memory that running requests will come to need. */
  readonly kvTokens: number;
}

/**
 * Part that a first event is allowed to take longer than foreseen where it is
 * judged whether it will be in time.
 */
const FIRST_EVENT_MARGIN_RATIO = 1.3;

/** A target counts as faster where the first event comes in this part. */
const FASTER_RATIO = 0.7;

/** What runs at a target that is idle. */
export const IDLE_USE: TargetUse = { running: 0, tokensAhead: 0, kvTokens: 0 };

/** A target that could take a request. */
export interface Candidate {
  readonly target: KnownTarget;
  readonly use: TargetUse;
  readonly pace: TargetPace;
  /** Memory of a model engine; absent for plain services. */
  readonly kvCapacityTokens?: number;
}

/** A choice, with what is expected of it. */
export interface Choice {
  readonly target: KnownTarget;
  /** Expected time to the first event, or to the answer of a plain call. */
  readonly firstMs: number;
}

/**
 * Time that a target in another failure domain has to be faster by. Bytes
 * between domains cost money and the way there a few milliseconds.
 */
const CROSS_DOMAIN_PENALTY_MS = 15;

/** Output tokens in one event of a stream, as a starting figure. */
const TOKENS_PER_EVENT = 5;

/** Share of a maximal answer that is generated on average. */
const EXPECTED_OUTPUT_SHARE = 0.7;

/**
 * Chooses among targets that have a free slot and room in memory.
 *
 * @param ask The request.
 * @param candidates Targets of its pool.
 * @returns The best, or undefined where none can hold it now.
 */
export function chooseTarget(
  ask: WorkAsk,
  candidates: readonly Candidate[],
): Choice | undefined {
  let best: Choice | undefined;
  let bestMs = Infinity;
  for (const candidate of candidates) {
    if (!canHold(candidate, ask)) {
      continue;
    }
    const firstMs = firstMsAt(candidate, ask, candidate.use);
    const doneMs = firstMs + generationMsAt(candidate, ask) +
      (candidate.target.failureDomain === ask.failureDomain
        ? 0
        : CROSS_DOMAIN_PENALTY_MS);
    if (doneMs < bestMs) {
      best = { target: candidate.target, firstMs };
      bestMs = doneMs;
    }
  }
  return best;
}

/**
 * Tells whether a request had better wait for a faster target than go to the
 * best that has a free slot: where it would be late there, and in time at one
 * that is busy now. Large prompts need it where some targets are several times
 * as slow as others: a fast slot comes free within some tens of milliseconds.
 *
 * @param ask The request.
 * @param best The best choice that is free.
 * @param of All targets that may get it, and the time left in which its first
 * event would be in time.
 * @returns Whether to wait.
 */
export function isWorthWaiting(
  ask: WorkAsk,
  best: Choice,
  of: { candidates: () => readonly Candidate[]; leftMs: number },
): boolean {
  const onTimeMs = of.leftMs / FIRST_EVENT_MARGIN_RATIO;
  if (best.firstMs <= onTimeMs) {
    return false;
  }
  const maxMs = Math.min(onTimeMs, FASTER_RATIO * best.firstMs);
  return of.candidates().some((candidate) =>
    !ask.excluded.includes(candidate.target.targetId) &&
    firstMsAt(candidate, ask, candidate.use) <= maxMs
  );
}

/**
 * @param candidates Targets of one pool.
 * @returns An idle one of their mean pace; undefined where there are none.
 */
export function typicalOf(
  candidates: readonly Candidate[],
): Candidate | undefined {
  const [first] = candidates;
  return first && {
    ...first,
    use: IDLE_USE,
    pace: TargetPace.mean(candidates.map(({ pace }) => pace)),
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
 * @param candidate A target.
 * @param ask A request.
 * @param use What runs there beside it.
 * @returns Expected time to its first event there, or to its answer.
 */
export function firstMsAt(
  candidate: Candidate,
  ask: Pick<WorkAsk, "promptTokens">,
  use: TargetUse,
): number {
  const { pace, kvCapacityTokens } = candidate;
  if (kvCapacityTokens !== undefined) {
    return pace.firstEventMs(ask.promptTokens, use.tokensAhead);
  }
  // A plain target shares its processor among what it runs.
  return pace.callMs * (1 + use.running / candidate.target.slots);
}

/**
 * @param candidate A target.
 * @param ask A request.
 * @returns Expected time from its first event there to its last one.
 */
export function generationMsAt(candidate: Candidate, ask: WorkAsk): number {
  if (candidate.kvCapacityTokens === undefined) {
    return 0;
  }
  const events = EXPECTED_OUTPUT_SHARE * ask.outputTokens / TOKENS_PER_EVENT;
  return events * candidate.pace.eventGapMs;
}
