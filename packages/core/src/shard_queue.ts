/** The asks that wait at a coordinator, by tier and workspace. */

import { LRUCache } from "lru-cache";
import type { Shard, WaitingAsk, WorkspaceQueue } from "./blackboard.ts";

/** Closed asks and grants remembered against late messages. */
const MAX_CLOSED = 8192;

/** Smallest share of an ask's slack that its urgency is counted by. */
const MIN_SLACK_SHARE = 0.001;

/** Work that waits: time on a slot, and KV memory times that time. */
export interface QueuedWork {
  readonly costMs: number;
  readonly kvTokenMs: number;
  /** Time for which one engine would read its prompts. */
  readonly prefillMs: number;
}

/**
 * Makes an empty shard.
 *
 * @param pool Name of the pool.
 * @param failureDomain The domain whose targets it holds.
 * @param nowMs The local time.
 * @returns The shard.
 */
export function newShard(
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
    tombstones: new LRUCache({ max: MAX_CLOSED }),
    excessGrantsByTarget: new Map(),
    prefixIndexes: new Map(),
    lastActiveAtMs: nowMs,
    nextQueueCheckAtMs: nowMs,
  };
}

/**
 * Adds an ask to the queue, or puts it in the place of the request's older one.
 *
 * @param shard The shard.
 * @param ask The ask.
 */
export function addWaiting(shard: Shard, ask: WaitingAsk): void {
  removeWaiting(shard, ask.detail.requestId);
  const { requestId, tierRank, workspace } = ask.detail;
  const key = `${tierRank}/${workspace}`;
  const lane = shard.workspaceQueues.get(key) ?? {
    tierRank,
    workspace,
    asks: new Map<string, WaitingAsk>(),
    costMs: 0,
    kvTokenMs: 0,
    prefillMs: 0,
  };
  shard.workspaceQueues.set(key, lane);
  lane.asks.set(requestId, ask);
  const work = queuedWorkOf(ask);
  lane.costMs += work.costMs;
  lane.kvTokenMs += work.kvTokenMs;
  lane.prefillMs += work.prefillMs;
  shard.waiting.set(requestId, ask);
}

/**
 * Takes an ask out of the queue.
 *
 * @param shard The shard.
 * @param requestId The request it is for.
 * @returns The ask, where one was waiting.
 */
export function removeWaiting(
  shard: Shard,
  requestId: string,
): WaitingAsk | undefined {
  const ask = shard.waiting.get(requestId);
  if (ask === undefined) {
    return undefined;
  }
  shard.waiting.delete(requestId);
  const key = `${ask.detail.tierRank}/${ask.detail.workspace}`;
  const lane = shard.workspaceQueues.get(key)!;
  lane.asks.delete(requestId);
  const work = queuedWorkOf(ask);
  lane.costMs -= work.costMs;
  lane.kvTokenMs -= work.kvTokenMs;
  lane.prefillMs -= work.prefillMs;
  if (lane.asks.size === 0) {
    shard.workspaceQueues.delete(key);
  }
  return ask;
}

/**
 * Gives the work that an ask adds to this shard's queue: its share of the
 * whole, since it waits in every domain that it was asked at.
 *
 * @param ask The ask.
 * @returns Time on a slot, and KV memory times that time.
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
 * Lists the tiers that wait.
 *
 * @param shard The shard.
 * @returns Ranks, the highest tier first.
 */
export function waitingTiers(shard: Shard): number[] {
  const ranks = new Set(
    [...shard.workspaceQueues.values()].map((lane) => lane.tierRank),
  );
  return [...ranks].sort((a, b) => a - b);
}

/**
 * Lists the lanes of a tier.
 *
 * @param shard The shard.
 * @param tierRank The tier.
 * @returns Its lanes, in an order that does not change.
 */
export function lanesOfTier(shard: Shard, tierRank: number): WorkspaceQueue[] {
  return [...shard.workspaceQueues.values()]
    .filter((lane) => lane.tierRank === tierRank)
    .sort((a, b) => compareText(a.workspace, b.workspace));
}

/**
 * Orders a lane by value for each millisecond of a target's time, raised as
 * the latest start comes nearer so that nothing starves.
 *
 * @param lane The lane.
 * @param nowMs The local time.
 * @returns Its asks, the one to serve first in front.
 */
export function orderLane(lane: WorkspaceQueue, nowMs: number): WaitingAsk[] {
  const ranked = [...lane.asks.values()].map((ask) => ({
    ask,
    rank: worthOf(ask) * urgencyOf(ask, nowMs),
  }));
  ranked.sort((a, b) =>
    b.rank - a.rank || a.ask.arrivedAtMs - b.ask.arrivedAtMs ||
    compareText(a.ask.detail.requestId, b.ask.detail.requestId)
  );
  return ranked.map(({ ask }) => ask);
}

/**
 * Tells how much of its slack an ask has waited away.
 *
 * @param ask The ask.
 * @param nowMs The local time.
 * @returns 0 on arrival, 1 and more when its latest start has come.
 */
export function slackSpentShare(ask: WaitingAsk, nowMs: number): number {
  const slackMs = latestStartMs(ask) - ask.arrivedAtMs;
  return slackMs <= 0 ? 1 : (nowMs - ask.arrivedAtMs) / slackMs;
}

/**
 * Gives the time after which even an idle target would end too late.
 *
 * @param ask The ask.
 * @returns A local time in milliseconds.
 */
export function latestStartMs(ask: WaitingAsk): number {
  return ask.deadlineAtMs - ask.idleServiceMs;
}

function worthOf(ask: WaitingAsk): number {
  return ask.detail.value / Math.max(1, ask.costMs);
}

function urgencyOf(ask: WaitingAsk, nowMs: number): number {
  const left = Math.max(MIN_SLACK_SHARE, 1 - slackSpentShare(ask, nowMs));
  return 1 / (left * left);
}

function compareText(a: string, b: string): number {
  if (a === b) {
    return 0;
  }
  return a < b ? -1 : 1;
}
