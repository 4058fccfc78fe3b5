/**
 * The account of one pool: what runs at each target, and which requests wait.
 *
 * Targets admit work in order of arrival and know no ranks, so the order is
 * made here: no target is given more than it has slots for, and what finds no
 * slot waits in order of rank. A request whose turn would come too late for its
 * caller is refused as soon as that can be foreseen.
 */

import type { RateLimiter } from "./rate_limiter.ts";
import { type PlacedWork, PlacedWorkIndex } from "./placed_work_index.ts";
import { TargetSelector, type TargetSnapshot } from "./target_selector.ts";
import type { OrderContext, WaitingWork } from "./queue_order.ts";
import { RankLoad } from "./rank_load.ts";
import { RankShares } from "./rank_shares.ts";
import type { RoutingBoard } from "./routing_board.ts";
import type { Candidate, Choice } from "./target_choice.ts";
import type { KnownTarget } from "./target_directory.ts";
import { WaitingQueue } from "./waiting_queue.ts";
import {
  type AskDecision,
  AskRefusal,
  type RunningWork,
  type WorkAsk,
} from "./work_ask.ts";

const NO_RANKS: ReadonlySet<number> = new Set();

/** Time that work holds a slot where learning starts. */
const INITIAL_HOLD_MS = 600;
const HOLD_SMOOTHING_FACTOR = 0.05;

/**
 * Share of the time at targets that neglected ranks get ahead of their turn, so
 * that their queues don't hold up all ranks above. It is counted in time and not
 * in placements, as work of a low rank may hold a slot for much longer.
 */
const STARVED_TIME_SHARE = 0.15;

/** Time at targets that neglected ranks may save up, about one long stream. */
const MAX_STARVED_CREDIT_MS = 1000;

/** Least number of slots that waits are estimated with. */
const MIN_SLOTS = 0.1;

/** Requests that may be passed by while a free slot is given away. */
const MAX_SKIPPED = 8;

/**
 * Age of a decision from which it counts as lost where its holder still waits.
 * Under load, reports are a tenth of a second old when they are read.
 */
const LOST_DECISION_AGE_MS = 150;

/** Shortest time after which a refused caller is asked to come back. */
const MIN_RETRY_AFTER_MS = 500;

/** How long a pool without any usable target is waited for. */
const NO_TARGET_RETRY_AFTER_MS = 1000;

/** What one pass at the queue works with. */
interface SchedulingPass extends TargetSnapshot {
  /** Requests that stay ahead in the queue. */
  ahead: number;
  /** Slots that can be busy; absent until a wait is estimated. */
  usableSlots?: number;
}

/** Places and queue of one pool. */
export class PoolSchedule {
  readonly #board: RoutingBoard;
  readonly #limiter: RateLimiter;
  readonly #placed = new PlacedWorkIndex((targetId, use) =>
    this.#selector.updateUse(targetId, use)
  );
  readonly #selector: TargetSelector;
  readonly #waiting = new WaitingQueue();
  readonly #shares = new RankShares();
  readonly #load = new RankLoad();
  #holdMs = INITIAL_HOLD_MS;
  /** Time at targets that neglected ranks may take ahead of their turn. */
  #starvedCreditMs = 0;

  /**
   * @param pool The pool's name.
   * @param parts What the instance believes, and the limiter of targets' rates.
   */
  constructor(
    pool: string,
    { board, limiter }: { board: RoutingBoard; limiter: RateLimiter },
  ) {
    this.#board = board;
    this.#limiter = limiter;
    const placed = this.#placed;
    this.#selector = new TargetSelector(pool, { board, placed, limiter });
  }

  /** Number of requests that wait. */
  get waitingCount(): number {
    return this.#waiting.size;
  }

  /** Number of requests at targets. */
  get placedCount(): number {
    return this.#placed.size;
  }

  /**
   * @param askId An ask.
   * @returns The decision that placed it, if it was placed.
   */
  decisionOn(askId: string): AskDecision | undefined {
    const work = this.#placed.get(askId);
    return work && decisionOf(work);
  }

  /**
   * @param askId An ask that its holder still waits for.
   * @param nowMs The local time.
   * @returns The decision that placed it, if its holder should have it by now.
   */
  lostDecisionOn(askId: string, nowMs: number): AskDecision | undefined {
    const work = this.#placed.get(askId);
    const isLost = work !== undefined &&
      nowMs - work.placedAtMs >= LOST_DECISION_AGE_MS;
    return isLost ? decisionOf(work) : undefined;
  }

  /**
   * @param askId An ask.
   * @returns Whether it waits here.
   */
  isWaiting(askId: string): boolean {
    return this.#waiting.has(askId);
  }

  /**
   * Takes in an ask: it is placed, waits, or is refused.
   *
   * @param ask The ask.
   * @param of Time since its caller's first attempt, where that was refused,
   * and the local time.
   * @returns Decisions on this ask and on others that it displaced; those of a
   * long queue follow with the next pass at it.
   */
  add(
    ask: WorkAsk,
    { cameBackMs, nowMs }: { cameBackMs: number; nowMs: number },
  ): AskDecision[] {
    const work = { ask, cameBackMs, waitingSinceMs: nowMs };
    this.#load.record(ask.rank, this.#workMs(ask.rank), nowMs);
    this.#waiting.add(work);
    return this.#processQueue(nowMs);
  }

  /**
   * Notes that a stream's prompt was read.
   *
   * @param askId The ask it was placed by.
   */
  firstSeen(askId: string): void {
    this.#placed.firstSeen(askId);
  }

  /**
   * Learns from how long a first event, or the answer of a plain call, took.
   *
   * @param promptTokens Tokens of its prompt.
   * @param firstMs The time it took at its target.
   */
  recordFirstEvent(promptTokens: number, firstMs: number): void {
    this.#waiting.recordFirstEvent(promptTokens, firstMs);
  }

  /**
   * Frees what an ask holds or waits for.
   *
   * @param askId The ask.
   * @param nowMs The local time.
   * @returns What it held, and decisions on those that waited for it.
   */
  release(
    askId: string,
    nowMs: number,
  ): { work?: PlacedWork; decisions: AskDecision[] } {
    this.#waiting.remove(askId);
    const work = this.#placed.remove(askId);
    if (work === undefined) {
      return { decisions: [] };
    }
    const durationMs = nowMs - work.placedAtMs;
    this.#holdMs += HOLD_SMOOTHING_FACTOR * (durationMs - this.#holdMs);
    this.#shares.recordDuration(work.rank, durationMs, nowMs);
    return { work, decisions: this.#processQueue(nowMs) };
  }

  /**
   * Counts work that a holder has at a target and that another coordinator
   * placed there.
   *
   * @param holderId The holder.
   * @param running The work.
   * @param nowMs The local time.
   */
  adopt(holderId: string, running: RunningWork, nowMs: number): void {
    const {
      askId,
      targetId,
      rank,
      promptTokens,
      outputTokens,
      firstSeen,
      trialOf,
    } = running;
    if (this.#placed.get(askId) !== undefined) {
      if (firstSeen) {
        this.firstSeen(askId);
      }
      return;
    }
    this.#waiting.remove(askId);
    this.#placed.put({
      askId,
      holderId,
      targetId,
      rank,
      promptTokens,
      outputTokens,
      placedAtMs: nowMs,
      tokensAhead: 0,
      expectedMs: 0,
      cameBackMs: 0,
      firstSeen,
      trialOf,
    });
  }

  /**
   * Forgets the work at a target whose process started again: it is lost, and
   * its holders will say so.
   *
   * @param targetId The target.
   */
  targetRestarted(targetId: string): void {
    for (const { askId } of this.#placed.ofTarget(targetId)) {
      this.#placed.remove(askId);
    }
  }

  /**
   * @param targetIds Targets of the pool.
   * @returns Requests that they work on.
   */
  runningAt(targetIds: readonly string[]): number {
    return targetIds.map((targetId) => this.#placed.use(targetId).running)
      .reduce((sum, running) => sum + running, 0);
  }

  /**
   * Finds what the account holds for a holder, but for what is newer than a
   * report of the holder's can tell of.
   *
   * @param holderId The holder.
   * @param beforeMs Only asks that were placed or began to wait before this.
   * @returns Ids of its asks, placed or waiting.
   */
  askIdsOf(holderId: string, beforeMs: number): string[] {
    const placed = this.#placed.ofHolder(holderId)
      .filter(({ placedAtMs }) => placedAtMs < beforeMs);
    return [
      ...placed.map(({ askId }) => askId),
      ...this.#waiting.askIdsOf(holderId, beforeMs),
    ];
  }

  /**
   * Looks at the queue again: time has passed or targets have changed.
   *
   * @param nowMs The local time.
   * @returns Decisions on asks that waited.
   */
  tick(nowMs: number): AskDecision[] {
    return this.#processQueue(nowMs);
  }

  #processQueue(nowMs: number): AskDecision[] {
    if (this.#waiting.size === 0) {
      return [];
    }
    return this.#waiting.isReorderDue(nowMs)
      ? this.#decideAll(nowMs)
      : this.#fillSlots(nowMs);
  }

  /** Decides on all that can be decided now. */
  #decideAll(nowMs: number): AskDecision[] {
    const pass = this.#beginPass(nowMs);
    const context = this.#orderContext(nowMs);
    const decisions: AskDecision[] = [];
    const typical = pass.targets.typical(nowMs);
    for (const waiting of this.#waiting.reorder(typical, context)) {
      const decision = this.#decide(waiting, pass);
      if (decision === undefined) {
        pass.ahead++;
      } else {
        this.#recordDecided(waiting, decision, nowMs);
        decisions.push(decision);
      }
    }
    return decisions;
  }

  /** Gives free slots to those that are next, in the order of the last pass. */
  #fillSlots(nowMs: number): AskDecision[] {
    const pass = this.#beginPass(nowMs);
    if (!pass.targets.hasFree) {
      return [];
    }
    const context = this.#orderContext(nowMs);
    const skipped = new Set<string>();
    const decisions: AskDecision[] = [];
    while (pass.targets.hasFree && skipped.size < MAX_SKIPPED) {
      const next = this.#waiting.next(context, skipped);
      if (next === undefined) {
        break;
      }
      const decision = this.#decide(next, pass);
      if (decision === undefined) {
        pass.ahead++;
        skipped.add(next.ask.askId);
      } else {
        this.#recordDecided(next, decision, nowMs);
        decisions.push(decision);
      }
    }
    return decisions;
  }

  #recordDecided(
    { ask }: WaitingWork,
    decision: AskDecision,
    nowMs: number,
  ): void {
    this.#waiting.remove(ask.askId);
    this.#recordOutcome(ask.rank, "targetId" in decision, nowMs);
  }

  #orderContext(nowMs: number): OrderContext {
    return { promoted: this.#promoted(nowMs), nowMs };
  }

  #beginPass(nowMs: number): SchedulingPass {
    return { ...this.#selector.snapshot(nowMs), ahead: 0 };
  }

  /** Ranks that go ahead of their turn with the next placement. */
  #promoted(nowMs: number): ReadonlySet<number> {
    return this.#starvedCreditMs > 0 ? this.#shares.starved(nowMs) : NO_RANKS;
  }

  #recordOutcome(rank: number, isPlaced: boolean, nowMs: number): void {
    this.#shares.recordOutcome(rank, isPlaced, nowMs);
    if (!isPlaced) {
      return;
    }
    const isStarved = this.#shares.starved(nowMs).has(rank);
    const workMs = this.#workMs(rank);
    this.#starvedCreditMs = isStarved
      ? this.#starvedCreditMs - workMs
      : Math.min(
        MAX_STARVED_CREDIT_MS,
        this.#starvedCreditMs + STARVED_TIME_SHARE * workMs,
      );
  }

  #workMs(rank: number): number {
    return this.#shares.workMs(rank) ?? this.#holdMs;
  }

  #decide(waiting: WaitingWork, pass: SchedulingPass): AskDecision | undefined {
    const { ask } = waiting;
    const { askId, holderId, excluded } = ask;
    const { targets } = pass;
    const excludedTargets = excluded.flatMap((targetId) =>
      targets.get(targetId) ?? []
    );
    if (excludedTargets.length === targets.size) {
      return {
        askId,
        holderId,
        refusal: AskRefusal.NoTarget,
        retryAfterMs: NO_TARGET_RETRY_AFTER_MS,
        figures: { usable: targets.size, excluded: excluded.length },
      };
    }
    const { suspects } = this.#board;
    const heldForMs = suspects.heldForMs(ask.fingerprint, pass.nowMs);
    if (heldForMs > 0) {
      return quarantineRefusal(ask, heldForMs);
    }
    const canaryChoice = this.#selector.chooseCanary(ask, pass);
    if (canaryChoice !== undefined) {
      pass.canary = [];
      return this.#placeAt(waiting, canaryChoice, pass);
    }
    const choice = this.#selector.choose(ask, pass);
    if (choice !== undefined) {
      return this.#selector.isWorthWaiting(waiting, choice, pass)
        ? undefined
        : this.#placeAt(waiting, choice, pass);
    }
    return this.#refuseIfTooLate(waiting, pass, excludedTargets);
  }

  /** Refuses a request that would wait for longer than its caller. */
  #refuseIfTooLate(
    { ask, waitingSinceMs }: WaitingWork,
    pass: SchedulingPass,
    excludedTargets: readonly Candidate[],
  ): AskDecision | undefined {
    const { nowMs, ahead } = pass;
    const excludedSlots = excludedTargets
      .reduce((sum, { target }) => sum + this.#slotsOf(target), 0);
    const slots = Math.max(MIN_SLOTS, this.#usableSlots(pass) - excludedSlots);
    const slotsAbove = this.#load.slotsAbove(ask.rank, nowMs);
    const available = Math.max(slots - slotsAbove, STARVED_TIME_SHARE * slots);
    const waitMs = (ahead + 1) * this.#holdMs / available;
    const leftMs = ask.patienceLeftMs - (nowMs - waitingSinceMs);
    if (waitMs <= leftMs) {
      return undefined;
    }
    return {
      askId: ask.askId,
      holderId: ask.holderId,
      refusal: AskRefusal.Overload,
      retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs),
      figures: {
        ahead,
        slots: Math.round(slots),
        available: Math.round(available),
        holdMs: Math.round(this.#holdMs),
        waitMs: Math.round(waitMs),
        leftMs: Math.round(leftMs),
      },
    };
  }

  /** Slots of the pool, less those that rate limits keep idle. */
  #usableSlots(pass: SchedulingPass): number {
    pass.usableSlots ??= this.#board.rateLimits.limitedIds()
      .flatMap((targetId) => pass.targets.get(targetId) ?? [])
      .reduce(
        (sum, { target }) => sum - target.slots + this.#slotsOf(target),
        pass.targets.slots,
      );
    return pass.usableSlots;
  }

  #slotsOf(target: KnownTarget): number {
    return this.#limiter.usableSlots(target, this.#holdMs);
  }

  #placeAt(
    waiting: WaitingWork,
    choice: Choice,
    pass: SchedulingPass,
  ): AskDecision {
    const { ask, cameBackMs } = waiting;
    const { targetId } = choice.target;
    const { askId, holderId, rank, promptTokens, outputTokens } = ask;
    const work = {
      askId,
      holderId,
      targetId,
      rank,
      promptTokens,
      outputTokens,
      placedAtMs: pass.nowMs,
      tokensAhead: this.#placed.use(targetId).tokensAhead,
      expectedMs: choice.firstMs,
      cameBackMs,
      firstSeen: false,
      trialOf: this.#board.suspects.isSuspect(ask.fingerprint)
        ? ask.fingerprint
        : undefined,
      route: ask.route,
    };
    this.#placed.put(work);
    this.#limiter.consume(targetId, pass.nowMs);
    this.#board.rollouts.placed(choice.target);
    return decisionOf(work);
  }
}

function decisionOf(work: PlacedWork): AskDecision {
  const { askId, holderId, targetId, expectedMs, cameBackMs, trialOf } = work;
  const decision = { askId, holderId, targetId, expectedMs, cameBackMs };
  return trialOf === undefined ? decision : { ...decision, isTrial: true };
}

/**
 * @param ask A request under which targets ended.
 * @param heldForMs How long it is still held back.
 * @returns The decision that gives it no place.
 */
export function quarantineRefusal(
  { askId, holderId }: WorkAsk,
  heldForMs: number,
): AskDecision {
  return {
    askId,
    holderId,
    refusal: AskRefusal.Quarantined,
    retryAfterMs: heldForMs,
    figures: { heldForMs: Math.round(heldForMs) },
  };
}
