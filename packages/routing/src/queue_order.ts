/** The order in which requests that wait for a target get their turn. */

import {
  type Candidate,
  firstMsAt,
  IDLE,
  restMsAt,
  typicalOf,
} from "./target_choice.ts";
import type { WorkAsk } from "./work_ask.ts";

/**
 * Part that a first event is allowed to take longer than foreseen where it is
 * judged whether a request can still be on time. Requests are served just before
 * it would be too late when a pool is full, so what is foreseen must hold.
 */
const FIRST_MARGIN = 1.4;

/** A deadline within so many times the caller's patience bounds the start. */
const SHORT_LIVED_PATIENCES = 2;

/** A request that waits. */
export interface WaitingWork {
  readonly ask: WorkAsk;
  /** Time since its caller's first attempt, where that was refused. */
  readonly cameBackMs: number;
  readonly sinceMs: number;
}

/**
 * Orders a queue: promoted ranks first, then by rank; within a rank what can
 * still be on time goes before what cannot, and among these what has to start
 * soonest. Large requests need longer before their deadline: by age alone, the
 * largest tenth of short-lived work was served half as often.
 *
 * Works with the mean pace of the targets, so that its cost does not grow with
 * the product of requests and targets.
 *
 * @param waiting The requests.
 * @param of Targets that may serve them, ranks that go first for now, and the
 * local time.
 * @returns The requests, the next one first.
 */
export function inOrder(
  waiting: Iterable<WaitingWork>,
  of: {
    candidates: readonly Candidate[];
    promoted: ReadonlySet<number>;
    nowMs: number;
  },
): WaitingWork[] {
  const { candidates, promoted, nowMs } = of;
  const typical = typicalOf(candidates);
  if (typical === undefined) {
    return [...waiting];
  }
  const keyed = [...waiting].map((work) => keyOf(work, typical, nowMs));
  const rankOf = ({ rank }: WorkAsk) => promoted.has(rank) ? -1 : rank;
  keyed.sort((a, b) =>
    rankOf(a.work.ask) - rankOf(b.work.ask) ||
    Number(a.isLate) - Number(b.isLate) ||
    a.startByMs - b.startByMs
  );
  return keyed.map(({ work }) => work);
}

/**
 * @param waiting A request that waits.
 * @returns Local time until which its first event would be in time.
 */
export function onTimeUntilMs(
  { ask, cameBackMs, sinceMs }: WaitingWork,
): number {
  return sinceMs + ask.objectiveLeftMs - cameBackMs;
}

function keyOf(work: WaitingWork, typical: Candidate, nowMs: number) {
  const { ask, sinceMs } = work;
  const firstMs = firstMsAt(typical, ask, IDLE);
  const startOnTimeByMs = onTimeUntilMs(work) - FIRST_MARGIN * firstMs;
  const patientUntilMs = sinceMs + ask.patienceLeftMs;
  const wholeUntilMs = sinceMs + ask.deadlineLeftMs - firstMs -
    restMsAt(typical, ask);
  return {
    work,
    isLate: nowMs > startOnTimeByMs,
    startByMs: isShortLived(ask)
      ? Math.min(patientUntilMs, wholeUntilMs)
      : patientUntilMs,
  };
}

/** Whether the deadline is about as near as the end of the caller's patience. */
function isShortLived(ask: WorkAsk): boolean {
  return ask.deadlineLeftMs < SHORT_LIVED_PATIENCES * ask.patienceLeftMs;
}
