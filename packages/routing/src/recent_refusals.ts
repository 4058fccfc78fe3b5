/**
 * What a coordinator refused lately, for the holder that asked: what is sure to
 * be refused as well is refused at once and costs the coordinator nothing.
 *
 * It answers to a surge in which refused callers come back within a second:
 * there, most asks are such that the coordinator has just refused the like, and
 * they would take the processor time in which it gives places.
 */

import type { AskDecision, WorkAsk } from "./work_ask.ts";
import { AskRefusal } from "./work_ask.ts";

/** A decision that gives no place. */
export type Refusal = Extract<AskDecision, { refusal: AskRefusal }>;

/**
 * Time for which a full queue stands for itself. A queue at its bound moves by
 * some tens of places meanwhile, and a caller that might have got one is asked
 * back like all others.
 */
const OVERLOAD_TTL_MS = 100;

/**
 * The longest that a spent allotment stands for itself. It frees up no sooner
 * than the coordinator said, unless a request that was charged never runs.
 */
const MAX_ALLOTMENT_TTL_MS = 200;

/** Entries that are kept; the oldest make way. */
const MAX_ENTRIES = 64;

interface Entry {
  readonly ask: WorkAsk;
  readonly refusal: Refusal;
  readonly recordedAtMs: number;
  readonly expiresAtMs: number;
}

/** How long each kind of refusal holds for asks alike; others don't. */
const TTL_MS: Readonly<
  Partial<Record<AskRefusal, (refusal: Refusal) => number>>
> = {
  [AskRefusal.Overload]: () => OVERLOAD_TTL_MS,
  [AskRefusal.Allotment]: ({ retryAfterMs }) =>
    Math.min(MAX_ALLOTMENT_TTL_MS, retryAfterMs),
};

/** Whether an ask would fare no better than one that was refused. */
const IS_COVERED: Readonly<
  Partial<Record<AskRefusal, (ask: WorkAsk, refused: WorkAsk) => boolean>>
> = {
  [AskRefusal.Overload]: (ask, refused) =>
    ask.pool === refused.pool && ask.rank >= refused.rank &&
    ask.patienceLeftMs <= refused.patienceLeftMs,
  [AskRefusal.Allotment]: (ask, refused) =>
    ask.workspace === refused.workspace && ask.rank >= refused.rank &&
    ask.cost >= refused.cost,
};

/** Refusals of the last moments. */
export class RecentRefusals {
  #entries: Entry[] = [];

  /**
   * @param ask An ask that was refused.
   * @param refusal How.
   * @param nowMs The local time.
   */
  record(ask: WorkAsk, refusal: Refusal, nowMs: number): void {
    const ttlMs = TTL_MS[refusal.refusal]?.(refusal) ?? 0;
    if (ttlMs > 0) {
      const expiresAtMs = nowMs + ttlMs;
      this.#entries.push({ ask, refusal, recordedAtMs: nowMs, expiresAtMs });
      this.#entries = this.#entries.slice(-MAX_ENTRIES);
    }
  }

  /**
   * @param ask An ask.
   * @param nowMs The local time.
   * @returns Its refusal, where the like of it was refused just now.
   */
  refusalFor(ask: WorkAsk, nowMs: number): Refusal | undefined {
    this.#entries = this.#entries.filter(({ expiresAtMs }) =>
      nowMs < expiresAtMs
    );
    const entry = this.#entries.findLast((one) =>
      IS_COVERED[one.refusal.refusal]?.(ask, one.ask) === true
    );
    return entry && {
      askId: ask.askId,
      holderId: ask.holderId,
      refusal: entry.refusal.refusal,
      retryAfterMs: entry.refusal.retryAfterMs,
      figures: {
        ...entry.refusal.figures,
        rememberedMs: Math.round(nowMs - entry.recordedAtMs),
      },
    };
  }

  /** Forgets all: another coordinator may decide otherwise. */
  clear(): void {
    this.#entries = [];
  }
}
