/**
 * Estimates of the slots that requests of one pool can use, for predictions of
 * their waits.
 */

import {
  type QueuePriorities,
  STARVED_TIME_SHARE,
} from "./queue_priorities.ts";
import { RankLoad } from "./rank_load.ts";
import type { RateLimiter } from "./rate_limiter.ts";
import type { RoutingBoard } from "./routing_board.ts";
import type { Candidate } from "./target_choice.ts";
import type { KnownTarget } from "./target_directory.ts";
import type { TargetSelector, TargetSnapshot } from "./target_selector.ts";
import type { WorkAsk } from "./work_ask.ts";

/** The pool's targets, with estimates that are made once for all requests. */
export interface SlotSnapshot extends TargetSnapshot {
  /** Slots that rate limits leave usable; absent until a wait is estimated. */
  usableSlots?: number;
  /** Slots of paused targets by failure domain; absent like `usableSlots`. */
  pausedSlots?: Map<string, number>;
}

/** Collaborators of {@link SlotEstimates}. */
export interface SlotEstimatesParts {
  readonly board: RoutingBoard;
  readonly limiter: RateLimiter;
  readonly selector: TargetSelector;
  readonly priorities: QueuePriorities;
}

/** Slots of one pool that are usable under rate limits, pauses and ranks. */
export class SlotEstimates {
  readonly #parts: SlotEstimatesParts;
  readonly #load = new RankLoad();

  /** @param parts Collaborators. */
  constructor(parts: SlotEstimatesParts) {
    this.#parts = parts;
  }

  /**
   * Records asks as load on the slots that lower ranks get.
   *
   * @param rank Rank of the asks.
   * @param count Number of the asks.
   * @param nowMs Current local time in milliseconds.
   */
  recordAsks(rank: number, count: number, nowMs: number): void {
    const workMs = count * this.#parts.priorities.workMs(rank);
    this.#load.record(rank, workMs, nowMs);
  }

  /**
   * Estimates the slots that higher ranks leave to a rank.
   *
   * @param rank The rank.
   * @param slots Slots of the targets that may run its requests.
   * @param nowMs Current local time in milliseconds.
   * @returns Mean number of slots for the rank and those below.
   */
  available(rank: number, slots: number, nowMs: number): number {
    const slotsAbove = this.#load.slotsAbove(rank, nowMs);
    return Math.max(slots - slotsAbove, STARVED_TIME_SHARE * slots);
  }

  /**
   * Estimates the slots of the pool, without those of targets that an ask is
   * excluded or paused from.
   *
   * @param ask The ask.
   * @param excluded Usable targets that the ask excludes.
   * @param snapshot The pool's targets.
   * @returns Number of slots.
   */
  usableFor(
    ask: WorkAsk,
    excluded: readonly Candidate[],
    snapshot: SlotSnapshot,
  ): number {
    const paused = this.#parts.selector.pausedFor(ask, snapshot);
    const slots = this.usable(snapshot);
    if (paused === undefined) {
      return slots - this.ofAll(excluded);
    }
    snapshot.pausedSlots ??= new Map();
    const pausedSlots = snapshot.pausedSlots.get(ask.failureDomain) ??
      this.ofAll([...paused].flatMap((id) => snapshot.targets.get(id) ?? []));
    snapshot.pausedSlots.set(ask.failureDomain, pausedSlots);
    const others = excluded
      .filter(({ target: { targetId } }) => !paused.has(targetId));
    return slots - pausedSlots - this.ofAll(others);
  }

  /**
   * Estimates the slots of the pool, without those that rate limits keep idle.
   *
   * @param snapshot The pool's targets.
   * @returns Number of slots.
   */
  usable(snapshot: SlotSnapshot): number {
    const { targets } = snapshot;
    snapshot.usableSlots ??= this.#parts.board.rateLimits.limitedIds()
      .flatMap((targetId) => targets.get(targetId) ?? [])
      .reduce(
        (sum, { target }) => sum - target.slots + this.#slotsOf(target),
        targets.slots,
      );
    return snapshot.usableSlots;
  }

  /**
   * Estimates the slots of some targets, without those that rate limits keep
   * idle.
   *
   * @param candidates The targets.
   * @returns Number of slots.
   */
  ofAll(candidates: readonly Candidate[]): number {
    return candidates
      .reduce((sum, { target }) => sum + this.#slotsOf(target), 0);
  }

  #slotsOf(target: KnownTarget): number {
    const { limiter, priorities } = this.#parts;
    return limiter.usableSlots(target, priorities.holdMs);
  }
}
