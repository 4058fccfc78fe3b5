/** The order in which requests that wait for a target get their turn. */

import {
  type Candidate,
  firstMsAt,
  generationMsAt,
  IDLE_USE,
} from "./target_choice.ts";
import type { WorkAsk } from "./work_ask.ts";

/** A deadline within so many times the caller's patience bounds the start. */
const SHORT_DEADLINE_RATIO = 2;

/** A request that waits. */
export interface WaitingWork {
  readonly ask: WorkAsk;
  /** Time since its caller's first attempt, where that was refused. */
  readonly cameBackMs: number;
  readonly waitingSinceMs: number;
}

/** What decides on a request's place in a queue. */
export interface OrderKey {
  /** Local time until which a start is soon enough to be on time. */
  readonly latestOnTimeStartMs: number;
  /** Local time by which it has to start at all. */
  readonly latestStartMs: number;
}

/** A request with its key. */
export interface KeyedWork {
  readonly work: WaitingWork;
  readonly key: OrderKey;
}

/** What an order depends on besides the requests. */
export interface OrderContext {
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
 * @param context What else decides.
 * @returns The requests, the next one first.
 */
export function inOrder(
  waiting: Iterable<KeyedWork>,
  context: OrderContext,
): KeyedWork[] {
  return [...waiting].sort((a, b) => compareWork(a, b, context));
}

/**
 * @param waiting Requests.
 * @param context What else decides.
 * @returns The one that is next; undefined where there is none.
 */
export function firstInOrder(
  waiting: Iterable<KeyedWork>,
  context: OrderContext,
): KeyedWork | undefined {
  let next: KeyedWork | undefined;
  for (const one of waiting) {
    if (next === undefined || compareWork(one, next, context) < 0) {
      next = one;
    }
  }
  return next;
}

function compareWork(
  a: KeyedWork,
  b: KeyedWork,
  context: OrderContext,
): number {
  const { promoted, nowMs } = context;
  const rankOf = ({ rank }: WorkAsk) => promoted.has(rank) ? -1 : rank;
  const isLate = ({ key }: KeyedWork) => nowMs > key.latestOnTimeStartMs;
  return rankOf(a.work.ask) - rankOf(b.work.ask) ||
    Number(isLate(a)) - Number(isLate(b)) ||
    a.key.latestStartMs - b.key.latestStartMs;
}

/**
 * @param waiting A request that waits.
 * @returns Local time until which its first event would be in time.
 */
export function onTimeDeadlineMs(
  { ask, cameBackMs, waitingSinceMs }: WaitingWork,
): number {
  return waitingSinceMs + ask.objectiveLeftMs - cameBackMs;
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
  { typical, marginRatio }: { typical?: Candidate; marginRatio: number },
): OrderKey {
  const { ask, waitingSinceMs } = work;
  const firstMs = typical === undefined ? 0 : firstMsAt(typical, ask, IDLE_USE);
  const generationMs = typical === undefined ? 0 : generationMsAt(typical, ask);
  const patienceEndMs = waitingSinceMs + ask.patienceLeftMs;
  const latestCompleteStartMs = waitingSinceMs + ask.deadlineLeftMs - firstMs -
    generationMs;
  return {
    latestOnTimeStartMs: onTimeDeadlineMs(work) - marginRatio * firstMs,
    latestStartMs: hasShortDeadline(ask)
      ? Math.min(patienceEndMs, latestCompleteStartMs)
      : patienceEndMs,
  };
}

/** Whether the deadline is about as near as the end of the caller's patience. */
function hasShortDeadline(ask: WorkAsk): boolean {
  return ask.deadlineLeftMs < SHORT_DEADLINE_RATIO * ask.patienceLeftMs;
}
