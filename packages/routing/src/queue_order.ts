/** The order in which requests that wait for a target get their turn. */

import { type Candidate, firstMsAt, IDLE, restMsAt } from "./target_choice.ts";
import type { WorkAsk } from "./work_ask.ts";

/** A deadline within so many times the caller's patience bounds the start. */
const SHORT_LIVED_PATIENCES = 2;

/** A request that waits. */
export interface WaitingWork {
  readonly ask: WorkAsk;
  /** Time since its caller's first attempt, where that was refused. */
  readonly cameBackMs: number;
  readonly sinceMs: number;
}

/** What decides on a request's place in a queue. */
export interface OrderKey {
  /** Local time until which a start is soon enough to be on time. */
  readonly startOnTimeByMs: number;
  /** Local time by which it has to start at all. */
  readonly startByMs: number;
}

/** A request with its key. */
export interface KeyedWork {
  readonly work: WaitingWork;
  readonly key: OrderKey;
}

/** What an order depends on besides the requests. */
export interface OrderFacts {
  /** Ranks that go first for now. */
  readonly promoted: ReadonlySet<number>;
  readonly nowMs: number;
}

/**
 * Orders a queue: promoted ranks first, then by rank; within a rank what can
 * still be on time goes before what cannot, and among these what has to start
 * soonest. Large requests need longer before their deadline: by age alone, the
 * largest tenth of short-lived work was served half as often.
 *
 * @param waiting The requests.
 * @param facts What else decides.
 * @returns The requests, the next one first.
 */
export function inOrder(
  waiting: Iterable<KeyedWork>,
  facts: OrderFacts,
): KeyedWork[] {
  return [...waiting].sort((a, b) => compared(a, b, facts));
}

/**
 * @param waiting Requests.
 * @param facts What else decides.
 * @returns The one that is next; undefined where there is none.
 */
export function nextOf(
  waiting: Iterable<KeyedWork>,
  facts: OrderFacts,
): KeyedWork | undefined {
  let next: KeyedWork | undefined;
  for (const one of waiting) {
    if (next === undefined || compared(one, next, facts) < 0) {
      next = one;
    }
  }
  return next;
}

function compared(a: KeyedWork, b: KeyedWork, facts: OrderFacts): number {
  const { promoted, nowMs } = facts;
  const rankOf = ({ rank }: WorkAsk) => promoted.has(rank) ? -1 : rank;
  const isLate = ({ key }: KeyedWork) => nowMs > key.startOnTimeByMs;
  return rankOf(a.work.ask) - rankOf(b.work.ask) ||
    Number(isLate(a)) - Number(isLate(b)) ||
    a.key.startByMs - b.key.startByMs;
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

/**
 * Makes a key with the mean pace of the targets, so that its cost does not grow
 * with their number.
 *
 * @param work A request that waits.
 * @param of An idle target of their mean pace, absent where there is none, and
 * times its first event within which first events come.
 * @returns What decides on its place in the queue.
 */
export function orderKeyOf(
  work: WaitingWork,
  { typical, marginTimes }: { typical?: Candidate; marginTimes: number },
): OrderKey {
  const { ask, sinceMs } = work;
  const firstMs = typical === undefined ? 0 : firstMsAt(typical, ask, IDLE);
  const restMs = typical === undefined ? 0 : restMsAt(typical, ask);
  const patientUntilMs = sinceMs + ask.patienceLeftMs;
  const wholeUntilMs = sinceMs + ask.deadlineLeftMs - firstMs - restMs;
  return {
    startOnTimeByMs: onTimeUntilMs(work) - marginTimes * firstMs,
    startByMs: isShortLived(ask)
      ? Math.min(patientUntilMs, wholeUntilMs)
      : patientUntilMs,
  };
}

/** Whether the deadline is about as near as the end of the caller's patience. */
function isShortLived(ask: WorkAsk): boolean {
  return ask.deadlineLeftMs < SHORT_LIVED_PATIENCES * ask.patienceLeftMs;
}
