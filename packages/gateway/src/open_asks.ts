/**
 * The open asks of one holder: unsent, sent and not acknowledged, queued at the
 * coordinator, or running at a target.
 *
 * The number of unacknowledged asks is bounded. Otherwise the socket of a late
 * coordinator buffers seconds of asks, whose callers leave before it reads
 * them.
 */

import type {
  AskDecision,
  RunningWork,
  WorkAsk,
} from "@chestnuthatch/routing/work_ask";

/** Bound on the asks for one pool that are sent and not acknowledged. */
export const MAX_UNACKNOWLEDGED_ASKS = 4;

/**
 * Share of a request's objective for which its ask may stay unsent. After a
 * longer wait the request would miss its objective, and its placement would be
 * taken from a request that can still meet its own.
 */
const MAX_UNSENT_WAIT_SHARE = 0.5;

/**
 * Minimum time for which an ask may stay unsent, even if the request has
 * already missed its objective.
 */
const MIN_UNSENT_WAIT_MS = 50;

/**
 * Time after the end of a caller's patience within which the coordinator's
 * refusal arrives, unless it was lost.
 */
const REFUSAL_MARGIN_MS = 100;

/**
 * Bound on the retained ids of ended asks. Under load, a resent ask is
 * answered a second time, often after its work has ended. That placement is
 * free already, so that no drop message for it is sent to the loaded
 * coordinator.
 */
const MAX_ENDED_IDS = 256;

/** Value of `OpenAsk.coordinatorId` for an unsent ask. */
export const NO_COORDINATOR = "";

/**
 * Handles the decision on an ask.
 *
 * @param decision The placement or refusal.
 * @param coordinatorId Instance that made it; `NO_COORDINATOR` for a refusal by
 * the holder of an ask that it did not send.
 */
export type DecisionHandler = (
  decision: AskDecision,
  coordinatorId: string,
) => void;

/** An ask of this holder with its state. */
export interface OpenAsk {
  readonly ask: WorkAsk;
  /** Local time at which the request asked for a placement. */
  readonly openedAtMs: number;
  readonly onDecision: DecisionHandler;
  /** Instance that it was last sent to, or `NO_COORDINATOR`. */
  coordinatorId: string;
  /** Local time at which it was last sent. */
  sentAtMs: number;
  /** Local time at which it was first sent to `coordinatorId`. */
  firstSentAtMs: number;
  /** Whether `coordinatorId` has confirmed that it received the ask. */
  acknowledged: boolean;
  /** Timeout, from `sentAtMs`, after which it is resent if unacknowledged. */
  resendAfterMs: number;
  /** The work at the target; absent while the ask has no placement. */
  running?: RunningWork;
}

/**
 * Checks whether an ask still waits at this holder.
 *
 * @param openAsk An ask.
 * @returns Whether the ask was not sent to any coordinator yet.
 */
export function isUnsent({ coordinatorId }: OpenAsk): boolean {
  return coordinatorId === NO_COORDINATOR;
}

/**
 * Limits the time for which an ask waits before the holder refuses it.
 *
 * @param openAsk An ask without a placement.
 * @returns The limit in milliseconds, counted from `openedAtMs`.
 */
export function maxWaitMs(openAsk: OpenAsk): number {
  const { objectiveLeftMs, patienceLeftMs } = openAsk.ask;
  return isUnsent(openAsk)
    ? Math.max(MIN_UNSENT_WAIT_MS, MAX_UNSENT_WAIT_SHARE * objectiveLeftMs)
    : Math.max(0, patienceLeftMs) + REFUSAL_MARGIN_MS;
}

/** The open asks of one holder by id, and the ids of those that ended last. */
export class OpenAsks {
  readonly #byId = new Map<string, OpenAsk>();
  /** Ids of asks whose work ended last, oldest first. */
  readonly #endedIds = new Set<string>();

  /** @param openAsk An ask that begins. */
  add(openAsk: OpenAsk): void {
    this.#byId.set(openAsk.ask.askId, openAsk);
  }

  /**
   * @param askId An ask's id.
   * @returns The ask, unless it has ended.
   */
  get(askId: string): OpenAsk | undefined {
    return this.#byId.get(askId);
  }

  /** @param askId Id of an ask that was refused or dropped. */
  remove(askId: string): void {
    this.#byId.delete(askId);
  }

  /** @param askId Id of an ask whose work at a target has ended. */
  markEnded(askId: string): void {
    this.#byId.delete(askId);
    this.#endedIds.add(askId);
    if (this.#endedIds.size > MAX_ENDED_IDS) {
      const [oldest] = this.#endedIds;
      this.#endedIds.delete(oldest!);
    }
  }

  /**
   * @param askId An ask's id.
   * @returns Whether its work is among the last `MAX_ENDED_IDS` that ended.
   */
  hasEnded(askId: string): boolean {
    return this.#endedIds.has(askId);
  }

  /**
   * @param openAsk An ask.
   * @returns Whether it is still open and has no placement.
   */
  isWaiting(openAsk: OpenAsk): boolean {
    return openAsk.running === undefined &&
      this.#byId.get(openAsk.ask.askId) === openAsk;
  }

  /** Whether any ask has no placement. */
  get hasWaiting(): boolean {
    for (const { running } of this.#byId.values()) {
      if (running === undefined) {
        return true;
      }
    }
    return false;
  }

  /** @returns Asks without a placement, the oldest first. */
  waiting(): OpenAsk[] {
    const waiting: OpenAsk[] = [];
    for (const openAsk of this.#byId.values()) {
      if (openAsk.running === undefined) {
        waiting.push(openAsk);
      }
    }
    return waiting;
  }

  /** @returns The work of this holder that runs at targets. */
  running(): RunningWork[] {
    return [...this.#byId.values()].flatMap(({ running }) => running ?? []);
  }

  /**
   * Picks the unsent asks that the bound on unacknowledged ones lets through.
   *
   * @returns The most valuable asks of each pool, those of rank 0 first; within
   * a rank, the oldest first.
   */
  sendable(): OpenAsk[] {
    const unsent: OpenAsk[] = [];
    const unacknowledged = new Map<string, number>();
    for (const openAsk of this.#byId.values()) {
      if (openAsk.running !== undefined) {
        continue;
      }
      if (isUnsent(openAsk)) {
        unsent.push(openAsk);
      } else if (!openAsk.acknowledged) {
        const { pool } = openAsk.ask;
        unacknowledged.set(pool, (unacknowledged.get(pool) ?? 0) + 1);
      }
    }
    // The sort is stable: within a rank, the oldest ask goes first.
    unsent.sort((a, b) => a.ask.rank - b.ask.rank);
    return unsent.filter(({ ask }) => {
      const count = unacknowledged.get(ask.pool) ?? 0;
      unacknowledged.set(ask.pool, count + 1);
      return count < MAX_UNACKNOWLEDGED_ASKS;
    });
  }

  /**
   * @param openAsk An unsent ask.
   * @returns Number of unsent asks of its pool that are at least as valuable,
   * the ask itself included.
   */
  unsentCountUpTo({ ask }: OpenAsk): number {
    let count = 0;
    for (const other of this.#byId.values()) {
      const isCounted = other.running === undefined && isUnsent(other) &&
        other.ask.pool === ask.pool && other.ask.rank <= ask.rank;
      count += Number(isCounted);
    }
    return count;
  }
}
