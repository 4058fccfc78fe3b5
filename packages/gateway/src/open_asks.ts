/**
 * The asks of one holder: which wait here, which are out, and what runs.
 *
 * Few are out without any word. A coordinator that is late then has little
 * before it from each holder, where its socket else holds seconds of asks whose
 * callers leave before it comes to them.
 */

import type {
  AskDecision,
  RunningWork,
  WorkAsk,
} from "@chestnuthatch/routing/work_ask";

/** Asks for places in one pool that are out without any word. */
export const MOST_UNHEARD = 4;

/**
 * Part of a request's objective for which it is held back. Held for longer, it
 * would be late once it got a place, and its place would be taken from one that
 * is in time.
 */
const HOLD_PART = 0.5;

/** The least time for which one is held back, be it late already. */
const LEAST_HOLD_MS = 50;

/**
 * Time beyond a caller's patience by which the coordinator's refusal has come,
 * if it is to come.
 */
const PATIENCE_SLACK_MS = 100;

/**
 * Ended works that are remembered. An ask that was sent again under load is
 * answered again, often after its work has ended: such a place is not handed
 * back, as it is free already, and the coordinator has little time then.
 */
const MOST_ENDED = 256;

/** Whom an ask was sent to that was not sent yet. */
export const NOBODY = "";

/** An ask with what is known of it here. */
export interface OpenAsk {
  readonly ask: WorkAsk;
  readonly sinceMs: number;
  readonly onDecision: (decision: AskDecision) => void;
  coordinatorId: string;
  sentAtMs: number;
  /** When it was first sent to its present coordinator. */
  firstSentAtMs: number;
  /** Whether its present coordinator said that it has it. */
  heard: boolean;
  /** Time until it is sent again, while it is not heard. */
  againMs: number;
  running?: RunningWork;
}

/**
 * @param open An ask.
 * @returns Whether it was not sent yet.
 */
export function isHeld({ coordinatorId }: OpenAsk): boolean {
  return coordinatorId === NOBODY;
}

/**
 * @param open An ask that waits.
 * @returns How long it may do so, from when it began, before it is refused here.
 */
export function mayWaitMs(open: OpenAsk): number {
  const { objectiveLeftMs, patienceLeftMs } = open.ask;
  return isHeld(open)
    ? Math.max(LEAST_HOLD_MS, HOLD_PART * objectiveLeftMs)
    : Math.max(0, patienceLeftMs) + PATIENCE_SLACK_MS;
}

/** Asks by id. */
export class OpenAsks {
  readonly #byId = new Map<string, OpenAsk>();
  /** Work that ended last, whose decisions may come once more. */
  readonly #ended = new Set<string>();

  /** @param open An ask that begins. */
  add(open: OpenAsk): void {
    this.#byId.set(open.ask.askId, open);
  }

  /**
   * @param askId An ask's id.
   * @returns The ask, unless it has ended.
   */
  get(askId: string): OpenAsk | undefined {
    return this.#byId.get(askId);
  }

  /** @param askId An ask that came to nothing. */
  remove(askId: string): void {
    this.#byId.delete(askId);
  }

  /** @param askId An ask whose work has ended. */
  ended(askId: string): void {
    this.#byId.delete(askId);
    this.#ended.add(askId);
    if (this.#ended.size > MOST_ENDED) {
      const [oldest] = this.#ended;
      this.#ended.delete(oldest!);
    }
  }

  /**
   * @param askId An ask's id.
   * @returns Whether its work ended not long ago.
   */
  hasEnded(askId: string): boolean {
    return this.#ended.has(askId);
  }

  /**
   * @param open An ask.
   * @returns Whether it is still open and has no place.
   */
  isWaiting(open: OpenAsk): boolean {
    return open.running === undefined &&
      this.#byId.get(open.ask.askId) === open;
  }

  /** @returns Asks without a place, the oldest first. */
  waiting(): OpenAsk[] {
    return [...this.#byId.values()]
      .filter(({ running }) => running === undefined);
  }

  /** @returns Work that targets have. */
  running(): RunningWork[] {
    return [...this.#byId.values()].flatMap(({ running }) => running ?? []);
  }

  /** @returns Asks that may go out now, the most valuable of each pool. */
  toSend(): OpenAsk[] {
    const waiting = this.waiting();
    // Of the same rank, the oldest goes first: the sort is stable.
    const held = waiting.filter(isHeld)
      .sort((a, b) => a.ask.rank - b.ask.rank);
    if (held.length === 0) {
      return held;
    }
    const unheard = new Map<string, number>();
    for (const open of waiting) {
      const isOut = !open.heard && !isHeld(open);
      const count = unheard.get(open.ask.pool) ?? 0;
      unheard.set(open.ask.pool, count + Number(isOut));
    }
    return held.filter(({ ask }) => {
      const count = unheard.get(ask.pool)!;
      unheard.set(ask.pool, count + 1);
      return count < MOST_UNHEARD;
    });
  }

  /**
   * @param open An ask that is held back.
   * @returns Asks that go out before it, itself included.
   */
  heldUpTo({ ask }: OpenAsk): number {
    return this.waiting().filter((other) =>
      isHeld(other) && other.ask.pool === ask.pool &&
      other.ask.rank <= ask.rank
    ).length;
  }
}
