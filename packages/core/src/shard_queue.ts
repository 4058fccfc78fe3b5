/**
 * The waiting asks of a shard: one queue for each tier and workspace with such
 * asks, and the order of the asks in it.
 */

import { LRUCache } from "lru-cache";
import type { Shard, WaitingAsk, WorkspaceQueue } from "./blackboard.ts";

/** Closed asks and grants kept to recognize late messages. */
const MAX_CLOSED_ENTRIES = 8192;

/** Lower bound of the slack left, which keeps the urgency of an ask finite. */
const MIN_SLACK_LEFT_SHARE = 0.001;

/** An amount of queued work, in the units by which waits are estimated. */
export interface QueuedWork {
  /** Time for which it occupies one slot. */
  readonly costMs: number;
  /** KV memory times the time it is held, in token milliseconds. */
  readonly kvTokenMs: number;
  /** Time in which one engine would read its prompts. */
  readonly prefillMs: number;
}

/**
 * Creates a shard without asks and grants.
 *
 * @param pool Name of the pool.
 * @param failureDomain Failure domain of the shard's targets.
 * @param nowMs The local time in milliseconds, from which this instance counts
 * as the shard's coordinator.
 * @returns The new shard.
 */
export function createShard(
  pool: string,
  failureDomain: string,
  nowMs: number,
): Shard {
  return {
    pool,
    failureDomain,
    waiting: new Map(),
    grants: new Map(),
    shedFloorUntilMs: new Map(),
    grantHoldUntilMs: new Map(),
    lastPromptReadAtMs: new Map(),
    cumulativePrefillMs: new Map(),
    finishTags: new Map(),
    coordinatorSinceMs: nowMs,
    virtualTimeByTier: new Map(),
    workspaceQueues: new Map(),
    endedWork: new Map(),
    holders: new Map(),
    tombstones: new LRUCache({ max: MAX_CLOSED_ENTRIES }),
    excessGrantsByTarget: new Map(),
    prefixIndexes: new Map(),
    lastActiveAtMs: nowMs,
    nextQueueCheckAtMs: nowMs,
  };
}

/**
 * Adds an ask to its workspace's queue, or replaces an older ask of the same
 * request.
 *
 * @param shard The shard that was asked.
 * @param ask The ask to add.
 */
export function enqueueAsk(shard: Shard, ask: WaitingAsk): void {
  dequeueAsk(shard, ask.detail.requestId);
  const { requestId, tierRank, workspace } = ask.detail;
  const key = `${tierRank}/${workspace}`;
  const queue = shard.workspaceQueues.get(key) ?? {
    tierRank,
    workspace,
    asks: new Map<string, WaitingAsk>(),
    costMs: 0,
    kvTokenMs: 0,
    prefillMs: 0,
  };
  shard.workspaceQueues.set(key, queue);
  queue.asks.set(requestId, ask);
  const work = queuedWorkOf(ask);
  queue.costMs += work.costMs;
  queue.kvTokenMs += work.kvTokenMs;
  queue.prefillMs += work.prefillMs;
  shard.waiting.set(requestId, ask);
}

/**
 * Removes the ask of a request from its workspace's queue.
 *
 * @param shard The shard that was asked.
 * @param requestId Id of the request.
 * @returns The removed ask; undefined where the request has none waiting.
 */
export function dequeueAsk(
  shard: Shard,
  requestId: string,
): WaitingAsk | undefined {
  const ask = shard.waiting.get(requestId);
  if (ask === undefined) {
    return undefined;
  }
  shard.waiting.delete(requestId);
  const key = `${ask.detail.tierRank}/${ask.detail.workspace}`;
  const queue = shard.workspaceQueues.get(key)!;
  queue.asks.delete(requestId);
  const work = queuedWorkOf(ask);
  queue.costMs -= work.costMs;
  queue.kvTokenMs -= work.kvTokenMs;
  queue.prefillMs -= work.prefillMs;
  if (queue.asks.size === 0) {
    shard.workspaceQueues.delete(key);
  }
  return ask;
}

/**
 * Returns the work that an ask adds to one shard's queues. A request that waits
 * in several failure domains adds an equal share of its work to each of them.
 *
 * @param ask The waiting ask.
 * @returns The ask's share of the work in this shard.
 */
export function queuedWorkOf(ask: WaitingAsk): QueuedWork {
  const { spreadOver } = ask.detail;
  const costMs = ask.costMs / spreadOver;
  return {
    costMs,
    kvTokenMs: ask.kvTokens * costMs,
    prefillMs: ask.prefillMs / spreadOver,
  };
}

/**
 * Lists the tiers that have waiting asks.
 *
 * @param shard The shard whose queues are read.
 * @returns Ranks of the tiers, the highest tier first.
 */
export function waitingTiers(shard: Shard): number[] {
  const ranks = new Set(
    [...shard.workspaceQueues.values()].map((queue) => queue.tierRank),
  );
  return [...ranks].sort((a, b) => a - b);
}

/**
 * Lists the queues of a tier, one for each workspace with waiting asks.
 *
 * @param shard The shard whose queues are read.
 * @param tierRank Rank of the tier.
 * @returns The tier's queues, sorted by workspace.
 */
export function queuesOfTier(shard: Shard, tierRank: number): WorkspaceQueue[] {
  return [...shard.workspaceQueues.values()]
    .filter((queue) => queue.tierRank === tierRank)
    .sort((a, b) => compareText(a.workspace, b.workspace));
}

/**
 * Sorts the asks of a queue by their value per millisecond of service, weighted
 * by an urgency that rises towards the latest start, so that no ask starves.
 *
 * @param queue The queue whose asks are sorted.
 * @param nowMs The local time in milliseconds.
 * @returns The asks, the one to serve first in front.
 */
export function rankQueue(queue: WorkspaceQueue, nowMs: number): WaitingAsk[] {
  const ranked = [...queue.asks.values()].map((ask) => ({
    ask,
    priority: valuePerMsOf(ask) * urgencyOf(ask, nowMs),
  }));
  ranked.sort((a, b) =>
    b.priority - a.priority || a.ask.arrivedAtMs - b.ask.arrivedAtMs ||
    compareText(a.ask.detail.requestId, b.ask.detail.requestId)
  );
  return ranked.map(({ ask }) => ask);
}

/**
 * Returns the share of its slack for which an ask has waited. The slack is the
 * time from the arrival of the ask to its latest start.
 *
 * @param ask The waiting ask.
 * @param nowMs The local time in milliseconds.
 * @returns 0 on arrival, 1 or more from the latest start on.
 */
export function slackUsedShare(ask: WaitingAsk, nowMs: number): number {
  const slackMs = latestStartAtMs(ask) - ask.arrivedAtMs;
  return slackMs <= 0 ? 1 : (nowMs - ask.arrivedAtMs) / slackMs;
}

/**
 * Returns the latest time at which an idle target could start an ask's work
 * and still end it before the deadline.
 *
 * @param ask The waiting ask.
 * @returns A local time in milliseconds.
 */
export function latestStartAtMs(ask: WaitingAsk): number {
  return ask.deadlineAtMs - ask.idleServiceMs;
}

function valuePerMsOf(ask: WaitingAsk): number {
  return ask.detail.value / Math.max(1, ask.costMs);
}

function urgencyOf(ask: WaitingAsk, nowMs: number): number {
  const slackLeftShare = Math.max(
    MIN_SLACK_LEFT_SHARE,
    1 - slackUsedShare(ask, nowMs),
  );
  return 1 / (slackLeftShare * slackLeftShare);
}

function compareText(a: string, b: string): number {
  if (a === b) {
    return 0;
  }
  return a < b ? -1 : 1;
}
