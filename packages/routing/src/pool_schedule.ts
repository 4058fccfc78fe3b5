/**
 * The account of one pool: what runs at each target, and which requests wait.
 *
 * Targets admit work in order of arrival and know no ranks, so the order is
 * made here: no target is given more than it has slots for, and what finds no
 * slot waits in order of rank. A request whose turn would come too late for its
 * caller is refused as soon as that can be foreseen.
 */

import type { PoolPolicy } from "./fleet_configuration.ts";
import { RankShares } from "./rank_shares.ts";
import type { RoutingBoard } from "./routing_board.ts";
import {
  type Candidate,
  chooseTarget,
  firstMsAt,
  IDLE,
  restMsAt,
} from "./target_choice.ts";
import {
  type AskDecision,
  AskRefusal,
  type RunningWork,
  type WorkAsk,
} from "./work_ask.ts";

/** Work at a target. */
export interface PlacedWork {
  readonly askId: string;
  readonly holderId: string;
  readonly targetId: string;
  readonly rank: number;
  readonly promptTokens: number;
  readonly kvTokens: number;
  readonly placedAtMs: number;
  /** Prompt tokens that waited at the target when it was placed. */
  readonly tokensAhead: number;
  /** Whether its first event came, so that its prompt was read. */
  firstSeen: boolean;
  readonly decision: AskDecision;
}

const NO_RANKS: ReadonlySet<number> = new Set();

interface WaitingWork {
  readonly ask: WorkAsk;
  readonly sinceMs: number;
}

/** Time that work holds a slot where learning starts. */
const STARTING_HOLD_MS = 600;
const HOLD_LEARNING_RATE = 0.05;

/**
 * Placements of other ranks between two that a neglected rank gets ahead of its
 * turn. A long queue of short work would else hold up all ranks above it.
 */
const PLACED_BETWEEN_NEGLECTED = 2;

/**
 * Part that a first event is allowed to take longer than foreseen where it is
 * judged whether a request can still be on time. Requests are served just before
 * it would be too late when a pool is full, so what is foreseen must hold.
 */
const FIRST_MARGIN = 1.4;

/** A deadline within so many times the caller's patience bounds the start. */
const SHORT_LIVED_PATIENCES = 2;

/** Shortest time after which a refused caller is asked to come back. */
const MIN_RETRY_AFTER_MS = 500;

/** How long a pool without any usable target is waited for. */
const NO_TARGET_RETRY_MS = 1000;

/** Places and queue of one pool. */
export class PoolSchedule {
  readonly #board: RoutingBoard;
  readonly #pool: string;
  readonly #placed = new Map<string, PlacedWork>();
  readonly #byTarget = new Map<string, Map<string, PlacedWork>>();
  readonly #waiting = new Map<string, WaitingWork>();
  readonly #shares = new RankShares();
  #holdMs = STARTING_HOLD_MS;
  #placedSinceNeglected = 0;

  /**
   * @param pool The pool's name.
   * @param board What the instance believes.
   */
  constructor(pool: string, board: RoutingBoard) {
    this.#pool = pool;
    this.#board = board;
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
   * @returns Where it was placed, if it was.
   */
  placed(askId: string): PlacedWork | undefined {
    return this.#placed.get(askId);
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
   * @param nowMs The local time.
   * @returns Decisions on this ask and on others that it displaced.
   */
  add(ask: WorkAsk, nowMs: number): AskDecision[] {
    this.#waiting.set(ask.askId, { ask, sinceMs: nowMs });
    return this.#settle(nowMs);
  }

  /**
   * Notes that a stream's prompt was read.
   *
   * @param askId The ask it was placed by.
   */
  firstSeen(askId: string): void {
    const work = this.#placed.get(askId);
    if (work !== undefined) {
      work.firstSeen = true;
    }
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
    this.#waiting.delete(askId);
    const work = this.#placed.get(askId);
    if (work === undefined) {
      return { decisions: [] };
    }
    this.#placed.delete(askId);
    this.#byTarget.get(work.targetId)?.delete(askId);
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
    if (this.#placed.has(running.askId)) {
      if (running.firstSeen) {
        this.firstSeen(running.askId);
      }
      return;
    }
    const { askId, targetId, rank, promptTokens, outputTokens, firstSeen } =
      running;
    const decision = { askId, holderId, targetId, expectedMs: 0 };
    this.#waiting.delete(askId);
    this.#place({
      askId,
      holderId,
      targetId,
      rank,
      promptTokens,
      kvTokens: promptTokens + outputTokens,
      placedAtMs: nowMs,
      tokensAhead: 0,
      firstSeen,
      decision,
    });
  }

  /**
   * @param holderId A holder.
   * @returns Ids of its asks that are placed and of those that wait.
   */
  asksOf(holderId: string): { placed: PlacedWork[]; waiting: string[] } {
    return {
      placed: [...this.#placed.values()]
        .filter((work) => work.holderId === holderId),
      waiting: [...this.#waiting.values()]
        .filter(({ ask }) => ask.holderId === holderId)
        .map(({ ask }) => ask.askId),
    };
  }

  /**
   * @param askId An ask that waits.
   * @returns When it began to wait.
   */
  waitingSince(askId: string): number | undefined {
    return this.#waiting.get(askId)?.sinceMs;
  }

  /**
   * Looks at the queue again: time has passed or targets have changed.
   *
   * @param nowMs The local time.
   * @returns Decisions on asks that waited.
   */
  tick(nowMs: number): AskDecision[] {
    return this.#waiting.size === 0 ? [] : this.#settle(nowMs);
  }

  #settle(nowMs: number): AskDecision[] {
    if (this.#waiting.size === 0) {
      return [];
    }
    const targets = this.#board.targets.usable(this.#pool, nowMs);
    const candidates = targets.map((target) =>
      this.#candidate(target.targetId)
    );
    const usable = candidates.filter((c) => c !== undefined);
    const decisions: AskDecision[] = [];
    let ahead = 0;
    for (const waiting of this.#inOrder(usable, nowMs)) {
      const decision = this.#decide(waiting, { usable, ahead, nowMs });
      if (decision === undefined) {
        ahead++;
        continue;
      }
      this.#waiting.delete(waiting.ask.askId);
      this.#notePlaced(waiting.ask.rank, "targetId" in decision, nowMs);
      decisions.push(decision);
      if ("targetId" in decision) {
        const index = usable.findIndex((c) =>
          c.target.targetId === decision.targetId
        );
        usable[index] = this.#candidate(decision.targetId)!;
      }
    }
    return decisions;
  }

  #notePlaced(rank: number, isPlaced: boolean, nowMs: number): void {
    this.#shares.note(rank, isPlaced, nowMs);
    if (!isPlaced) {
      return;
    }
    const isNeglected = this.#shares.neglected(nowMs).has(rank);
    this.#placedSinceNeglected = isNeglected
      ? 0
      : this.#placedSinceNeglected + 1;
  }

  #decide(
    { ask, sinceMs }: WaitingWork,
    of: { usable: readonly Candidate[]; ahead: number; nowMs: number },
  ): AskDecision | undefined {
    const { askId, holderId } = ask;
    const { usable, ahead, nowMs } = of;
    const open = usable.filter((c) =>
      !ask.excluded.includes(c.target.targetId)
    );
    if (open.length === 0) {
      return {
        askId,
        holderId,
        refusal: AskRefusal.NoTarget,
        retryAfterMs: NO_TARGET_RETRY_MS,
        figures: { usable: usable.length, excluded: ask.excluded.length },
      };
    }
    const choice = chooseTarget(ask, open);
    if (choice !== undefined) {
      return this.#placeAt(ask, choice, nowMs);
    }
    const slots = open.reduce((sum, c) => sum + c.target.slots, 0);
    const waitMs = (ahead + 1) * this.#holdMs / slots;
    const leftMs = ask.patienceLeftMs - (nowMs - sinceMs);
    if (waitMs <= leftMs) {
      return undefined;
    }
    return {
      askId,
      holderId,
      refusal: AskRefusal.Overload,
      retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs),
      figures: {
        ahead,
        slots,
        holdMs: Math.round(this.#holdMs),
        waitMs: Math.round(waitMs),
        leftMs: Math.round(leftMs),
      },
    };
  }

  #placeAt(
    ask: WorkAsk,
    choice: { target: { targetId: string }; firstMs: number },
    nowMs: number,
  ): AskDecision {
    const { askId, holderId, promptTokens, outputTokens } = ask;
    const { targetId } = choice.target;
    const decision = {
      askId,
      holderId,
      targetId,
      expectedMs: choice.firstMs,
    };
    this.#place({
      askId,
      holderId,
      targetId,
      rank: ask.rank,
      promptTokens,
      kvTokens: promptTokens + outputTokens,
      placedAtMs: nowMs,
      tokensAhead: this.#tokensAhead(targetId),
      firstSeen: false,
      decision,
    });
    return decision;
  }

  /**
   * Orders the queue: a neglected rank first, then by rank; within a rank what
   * can still be on time goes before what cannot, and among these what has to
   * start soonest. Large requests need longer before their deadline: by age
   * alone, the largest tenth of short-lived work was served half as often.
   */
  #inOrder(usable: readonly Candidate[], nowMs: number): WaitingWork[] {
    const neglected = this.#placedSinceNeglected >= PLACED_BETWEEN_NEGLECTED
      ? this.#shares.neglected(nowMs)
      : NO_RANKS;
    const keyed = [...this.#waiting.values()].map((waiting) => {
      const { ask, sinceMs } = waiting;
      const firstMs = meanMs(usable, (c) => firstMsAt(c, ask, IDLE));
      const onTimeUntilMs = sinceMs + ask.objectiveLeftMs -
        FIRST_MARGIN * firstMs;
      const wholeUntilMs = sinceMs + ask.deadlineLeftMs - firstMs -
        meanMs(usable, (c) => restMsAt(c, ask));
      return {
        waiting,
        isLate: nowMs > onTimeUntilMs,
        startByMs: isShortLived(ask)
          ? Math.min(sinceMs + ask.patienceLeftMs, wholeUntilMs)
          : sinceMs + ask.patienceLeftMs,
        rank: neglected.has(ask.rank) ? -1 : ask.rank,
      };
    });
    keyed.sort((a, b) =>
      a.rank - b.rank ||
      Number(a.isLate) - Number(b.isLate) ||
      a.startByMs - b.startByMs
    );
    return keyed.map(({ waiting }) => waiting);
  }

  #place(work: PlacedWork): void {
    this.#placed.set(work.askId, work);
    const atTarget = this.#byTarget.get(work.targetId) ?? new Map();
    atTarget.set(work.askId, work);
    this.#byTarget.set(work.targetId, atTarget);
  }

  #candidate(targetId: string): Candidate | undefined {
    const target = this.#board.targets.get(targetId);
    if (target === undefined) {
      return undefined;
    }
    const works = this.#byTarget.get(targetId);
    const kvTokens = sum(works, (work) => work.kvTokens);
    return {
      target,
      use: {
        running: works?.size ?? 0,
        tokensAhead: this.#tokensAhead(targetId),
        kvTokens,
      },
      pace: this.#board.paces.of(targetId),
      kvCapacityTokens: this.#policy()?.engine?.kvCapacityTokens,
    };
  }

  #tokensAhead(targetId: string): number {
    return sum(
      this.#byTarget.get(targetId),
      (work) => work.firstSeen ? 0 : work.promptTokens,
    );
  }

  #policy(): PoolPolicy | undefined {
    return this.#board.routes?.pool(this.#pool);
  }
}

/** Whether the deadline is about as near as the end of the caller's patience. */
function isShortLived(ask: WorkAsk): boolean {
  return ask.deadlineLeftMs < SHORT_LIVED_PATIENCES * ask.patienceLeftMs;
}

/** Mean of a time over the targets of the pool. */
function meanMs(
  usable: readonly Candidate[],
  timeMs: (candidate: Candidate) => number,
): number {
  const total = usable.reduce((sum, candidate) => sum + timeMs(candidate), 0);
  return total / Math.max(1, usable.length);
}

function sum(
  works: ReadonlyMap<string, PlacedWork> | undefined,
  of: (work: PlacedWork) => number,
): number {
  let total = 0;
  for (const work of works?.values() ?? []) {
    total += of(work);
  }
  return total;
}
