/** Order in which queued requests are placed at targets. */

import {
  type Candidate,
  firstMsAt,
  generationMsAt,
  IDLE_USE,
} from "./target_choice.ts";
import type { WorkAsk } from "./work_ask.ts";
import type { QueuedOverShare } from "./workspace_shares.ts";

/**
 * A deadline counts as short if the time left to it is below the caller's
 * patience times this ratio; the start then has to meet it too.
 */
const SHORT_DEADLINE_RATIO = 2;

/** A queued request. */
export interface WaitingWork {
  readonly ask: WorkAsk;
  /**
   * Time from the caller's first attempt to this ask, if that was refused; else
   * 0.
   */
  readonly cameBackMs: number;
  readonly waitingSinceMs: number;
}

/** Sort key of a queued request. */
export interface OrderKey {
  /** Latest local start time that meets the request's latency objective. */
  readonly latestOnTimeStartMs: number;
  /**
   * Latest local start time that meets the caller's patience and, if it is
   * short, the deadline.
   */
  readonly latestStartMs: number;
}

/** A queued request with its sort key. */
export interface KeyedWork {
  readonly work: WaitingWork;
  readonly key: OrderKey;
}

/** What the order depends on besides the requests. */
export interface OrderContext {
  /** Ranks that are served first at this moment. */
  readonly promoted: ReadonlySet<number>;
  /** Workspaces whose requests go after those of others, by rank. */
  readonly overShare: QueuedOverShare;
  /** Ranks whose on-time requests are served newest first. */
  readonly backlogged: ReadonlySet<number>;
  /** The same for requests of workspaces over their shares. */
  readonly overShareBacklogged: ReadonlySet<number>;
  readonly nowMs: number;
}

/**
 * Sorts a queue: promoted ranks first, then by rank. Within a rank, requests
 * that can still meet their objective go before those that cannot. In each of
 * the two groups, workspaces within their shares go before those over them, of
 * which those with fewer queued requests go first: one that sends a few requests
 * a second is over its share by chance now and then. Then requests are sorted by
 * latest start time. Large requests need more time before their deadline:
 * ordered by age alone, the largest tenth of requests with short deadlines was
 * served half as often. On-time requests of a rank with a standing backlog are
 * sorted by the caller's first attempt instead, newest first.
 *
 * @param waiting The queued requests.
 * @param context What the order depends on besides the requests.
 * @returns The requests, the next one first.
 */
export function inOrder(
  waiting: Iterable<KeyedWork>,
  context: OrderContext,
): KeyedWork[] {
  return [...waiting].sort((a, b) => compareWork(a, b, context));
}

/**
 * Finds the first request in the order of {@link inOrder} in linear time.
 *
 * @param waiting The queued requests.
 * @param context What the order depends on besides the requests.
 * @returns The next request; undefined for an empty queue.
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

/**
 * Compares two queued requests by the order of {@link inOrder}.
 *
 * @param a One request.
 * @param b Another request.
 * @param context What the order depends on besides the requests.
 * @returns Below 0 if the first is placed before the second, above 0 if after
 * it.
 */
export function compareWork(
  a: KeyedWork,
  b: KeyedWork,
  context: OrderContext,
): number {
  const { promoted, nowMs } = context;
  const rankOf = ({ rank }: WorkAsk) => promoted.has(rank) ? -1 : rank;
  const queuedOverA = queuedOverShare(a.work.ask, context);
  const backlogged = queuedOverA > 0
    ? context.overShareBacklogged
    : context.backlogged;
  const isLateA = isLate(a, nowMs);
  return rankOf(a.work.ask) - rankOf(b.work.ask) ||
    Number(isLateA) - Number(isLate(b, nowMs)) ||
    queuedOverA - queuedOverShare(b.work.ask, context) ||
    (isLateA || backlogged.size === 0 ? 0 : compareNewest(a, b, backlogged)) ||
    a.key.latestStartMs - b.key.latestStartMs;
}

/**
 * Compares two on-time requests by first attempt. Both may be of different
 * ranks if these are promoted; those without a backlog then go first.
 */
function compareNewest(
  { work: a }: KeyedWork,
  { work: b }: KeyedWork,
  backlogged: ReadonlySet<number>,
): number {
  const isBackloggedA = backlogged.has(a.ask.rank);
  const isBackloggedB = backlogged.has(b.ask.rank);
  if (!isBackloggedA || !isBackloggedB) {
    return Number(isBackloggedA) - Number(isBackloggedB);
  }
  return firstAttemptAtMs(b) - firstAttemptAtMs(a);
}

function firstAttemptAtMs({ cameBackMs, waitingSinceMs }: WaitingWork): number {
  return waitingSinceMs - cameBackMs;
}

/**
 * Checks whether a request can no longer meet its objective.
 *
 * @param keyed The queued request.
 * @param nowMs Current local time in milliseconds.
 * @returns True if its latest on-time start has passed.
 */
export function isLate({ key }: KeyedWork, nowMs: number): boolean {
  return nowMs > key.latestOnTimeStartMs;
}

/**
 * Returns the time by which a request's first event meets its objective,
 * counted from the caller's first attempt.
 *
 * @param waiting The queued request.
 * @returns Local time in milliseconds.
 */
export function onTimeDeadlineMs(
  { ask, cameBackMs, waitingSinceMs }: WaitingWork,
): number {
  return waitingSinceMs + ask.objectiveLeftMs - cameBackMs;
}

/**
 * Computes the sort key of a request from the mean latency model of the
 * targets, so that its cost does not grow with their number.
 *
 * @param work The queued request.
 * @param of An idle target with the mean latency model, absent where there is
 * none; and the factor by which the predicted time to the first event is
 * multiplied.
 * @returns The sort key.
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

/**
 * @param ask A queued ask.
 * @param context What the order depends on besides the requests.
 * @returns Whether its workspace is over its share of the ask's rank.
 */
export function isOverShare(
  ask: Pick<WorkAsk, "rank" | "workspace">,
  context: Pick<OrderContext, "overShare">,
): boolean {
  return queuedOverShare(ask, context) > 0;
}

/** Queued asks of a workspace that is over its share; 0 if it is within it. */
function queuedOverShare(
  { rank, workspace }: Pick<WorkAsk, "rank" | "workspace">,
  { overShare }: Pick<OrderContext, "overShare">,
): number {
  return overShare.get(rank)?.get(workspace) ?? 0;
}

/**
 * Whether the deadline is not much later than the end of the caller's patience.
 */
function hasShortDeadline(ask: WorkAsk): boolean {
  return ask.deadlineLeftMs < SHORT_DEADLINE_RATIO * ask.patienceLeftMs;
}
