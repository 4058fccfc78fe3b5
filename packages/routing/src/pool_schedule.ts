/**
 * The account of one pool: what runs at each target, and which requests wait.
 *
 * Targets admit work in order of arrival and know no ranks, so the order is
 * made here: no target is given more than it has slots for, and what finds no
 * slot waits in order of rank. A request whose turn would come too late for its
 * caller is refused as soon as that can be foreseen.
 */

import type { RateLimiter } from "./rate_limiter.ts";
import { type PlacedWork, PlacedWorks } from "./placed_works.ts";
import { PlacementChoice, type PlacementLook } from "./placement_choice.ts";
import type { OrderFacts, WaitingWork } from "./queue_order.ts";
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
const STARTING_HOLD_MS = 600;
const HOLD_LEARNING_RATE = 0.05;

/**
 * Share of the time at targets that neglected ranks get ahead of their turn, so
 * that their queues don't hold up all ranks above. It is counted in time and not
 * in placements, as work of a low rank may hold a slot for much longer.
 */
const NEGLECTED_TIME_SHARE = 0.15;

/** Time at targets that neglected ranks may save up, about one long stream. */
const MOST_NEGLECTED_CREDIT_MS = 1000;

/** Least number of slots that waits are estimated with. */
const MIN_SLOTS = 0.1;

/** Requests that may be passed by while a free slot is given away. */
const MOST_PASSED = 8;

/**
 * Age of a decision from which it counts as lost where its holder still waits.
 * Under load, reports are a tenth of a second old when they are read.
 */
const DECISION_LOST_MS = 150;

/** Shortest time after which a refused caller is asked to come back. */
const MIN_RETRY_AFTER_MS = 500;

/** How long a pool without any usable target is waited for. */
const NO_TARGET_RETRY_MS = 1000;

/** What one look at the queue works with. */
interface Look extends PlacementLook {
  /** Requests that stay ahead in the queue. */
  ahead: number;
  /** Slots that can be busy; absent until a wait is estimated. */
  usableSlots?: number;
}

/** Places and queue of one pool. */
export class PoolSchedule {
  readonly #board: RoutingBoard;
  readonly #limiter: RateLimiter;
  readonly #placed = new PlacedWorks((targetId, use) =>
    this.#choices.used(targetId, use)
  );
  readonly #choices: PlacementChoice;
  readonly #waiting = new WaitingQueue();
  readonly #shares = new RankShares();
  readonly #load = new RankLoad();
  #holdMs = STARTING_HOLD_MS;
  /** Time at targets that neglected ranks may take ahead of their turn. */
  #neglectedCreditMs = 0;

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
    this.#choices = new PlacementChoice(pool, { board, placed, limiter });
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
      nowMs - work.placedAtMs >= DECISION_LOST_MS;
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
   * long queue follow with the next look at it.
   */
  add(
    ask: WorkAsk,
    { cameBackMs, nowMs }: { cameBackMs: number; nowMs: number },
  ): AskDecision[] {
    const work = { ask, cameBackMs, sinceMs: nowMs };
    this.#load.note(ask.rank, this.#workMs(ask.rank), nowMs);
    this.#waiting.add(work);
    return this.#settle(nowMs);
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
  learnFirst(promptTokens: number, firstMs: number): void {
    this.#waiting.learnFirst(promptTokens, firstMs);
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
    const tookMs = nowMs - work.placedAtMs;
    this.#holdMs += HOLD_LEARNING_RATE * (tookMs - this.#holdMs);
    this.#shares.noteWork(work.rank, tookMs, nowMs);
    return { work, decisions: this.#settle(nowMs) };
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
    return this.#settle(nowMs);
  }

  #settle(nowMs: number): AskDecision[] {
    if (this.#waiting.size === 0) {
      return [];
    }
    return this.#waiting.isDue(nowMs)
      ? this.#lookAtAll(nowMs)
      : this.#fillSlots(nowMs);
  }

  /** Decides on all that can be decided now. */
  #lookAtAll(nowMs: number): AskDecision[] {
    const look = this.#look(nowMs);
    const facts = this.#orderFacts(nowMs);
    const decisions: AskDecision[] = [];
    const typical = look.targets.typical(nowMs);
    for (const waiting of this.#waiting.lookAt(typical, facts)) {
      const decision = this.#decide(waiting, look);
      if (decision === undefined) {
        look.ahead++;
      } else {
        this.#noteDecided(waiting, decision, nowMs);
        decisions.push(decision);
      }
    }
    return decisions;
  }

  /** Gives free slots to those that are next, in the order of the last look. */
  #fillSlots(nowMs: number): AskDecision[] {
    const look = this.#look(nowMs);
    if (!look.targets.hasFree) {
      return [];
    }
    const facts = this.#orderFacts(nowMs);
    const passed = new Set<string>();
    const decisions: AskDecision[] = [];
    while (look.targets.hasFree && passed.size < MOST_PASSED) {
      const next = this.#waiting.next(facts, passed);
      if (next === undefined) {
        break;
      }
      const decision = this.#decide(next, look);
      if (decision === undefined) {
        look.ahead++;
        passed.add(next.ask.askId);
      } else {
        this.#noteDecided(next, decision, nowMs);
        decisions.push(decision);
      }
    }
    return decisions;
  }

  #noteDecided(
    { ask }: WaitingWork,
    decision: AskDecision,
    nowMs: number,
  ): void {
    this.#waiting.remove(ask.askId);
    this.#notePlaced(ask.rank, "targetId" in decision, nowMs);
  }

  #orderFacts(nowMs: number): OrderFacts {
    return { promoted: this.#promoted(nowMs), nowMs };
  }

  #look(nowMs: number): Look {
    return { ...this.#choices.look(nowMs), ahead: 0 };
  }

  /** Ranks that go ahead of their turn with the next placement. */
  #promoted(nowMs: number): ReadonlySet<number> {
    return this.#neglectedCreditMs > 0
      ? this.#shares.neglected(nowMs)
      : NO_RANKS;
  }

  #notePlaced(rank: number, isPlaced: boolean, nowMs: number): void {
    this.#shares.note(rank, isPlaced, nowMs);
    if (!isPlaced) {
      return;
    }
    const isNeglected = this.#shares.neglected(nowMs).has(rank);
    const workMs = this.#workMs(rank);
    this.#neglectedCreditMs = isNeglected
      ? this.#neglectedCreditMs - workMs
      : Math.min(
        MOST_NEGLECTED_CREDIT_MS,
        this.#neglectedCreditMs + NEGLECTED_TIME_SHARE * workMs,
      );
  }

  #workMs(rank: number): number {
    return this.#shares.workMs(rank) ?? this.#holdMs;
  }

  #decide(waiting: WaitingWork, look: Look): AskDecision | undefined {
    const { ask } = waiting;
    const { askId, holderId, excluded } = ask;
    const { targets } = look;
    const barred = excluded.flatMap((targetId) => targets.get(targetId) ?? []);
    if (barred.length === targets.size) {
      return {
        askId,
        holderId,
        refusal: AskRefusal.NoTarget,
        retryAfterMs: NO_TARGET_RETRY_MS,
        figures: { usable: targets.size, excluded: excluded.length },
      };
    }
    const { suspects } = this.#board;
    const heldForMs = suspects.quarantineLeftMs(ask.fingerprint, look.nowMs);
    if (heldForMs > 0) {
      return quarantined(ask, heldForMs);
    }
    const canaryChoice = this.#choices.chooseCanary(ask, look);
    if (canaryChoice !== undefined) {
      look.canary = [];
      return this.#placeAt(waiting, canaryChoice, look);
    }
    const choice = this.#choices.choose(ask, look);
    if (choice !== undefined) {
      return this.#choices.isWorthWaiting(waiting, choice, look)
        ? undefined
        : this.#placeAt(waiting, choice, look);
    }
    return this.#refuseIfTooLate(waiting, look, barred);
  }

  /** Refuses a request that would wait for longer than its caller. */
  #refuseIfTooLate(
    { ask, sinceMs }: WaitingWork,
    look: Look,
    barred: readonly Candidate[],
  ): AskDecision | undefined {
    const { nowMs, ahead } = look;
    const barredSlots = barred
      .reduce((sum, { target }) => sum + this.#slotsOf(target), 0);
    const slots = Math.max(MIN_SLOTS, this.#usableSlots(look) - barredSlots);
    const above = this.#load.slotsAbove(ask.rank, nowMs);
    const available = Math.max(slots - above, NEGLECTED_TIME_SHARE * slots);
    const waitMs = (ahead + 1) * this.#holdMs / available;
    const leftMs = ask.patienceLeftMs - (nowMs - sinceMs);
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
  #usableSlots(look: Look): number {
    look.usableSlots ??= this.#board.rateLimits.limitedIds()
      .flatMap((targetId) => look.targets.get(targetId) ?? [])
      .reduce(
        (sum, { target }) => sum - target.slots + this.#slotsOf(target),
        look.targets.slots,
      );
    return look.usableSlots;
  }

  #slotsOf(target: KnownTarget): number {
    return this.#limiter.usableSlots(target, this.#holdMs);
  }

  #placeAt(waiting: WaitingWork, choice: Choice, look: Look): AskDecision {
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
      placedAtMs: look.nowMs,
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
    this.#limiter.consume(targetId, look.nowMs);
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
export function quarantined(
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
