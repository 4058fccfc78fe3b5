/**
 * Short-lived cache of a coordinator's refusals, kept by the holder that asked.
 * An ask that would certainly be refused as well is refused locally at no cost
 * to the coordinator.
 *
 * It limits the load of a surge in which refused callers retry within a second.
 * Most asks then resemble one that was just refused, and they would take the
 * processor time in which the coordinator places requests.
 */

import type { AskDecision, WorkAsk } from "./work_ask.ts";
import { AskRefusal } from "./work_ask.ts";

/** A decision that refuses an ask. */
export type Refusal = Extract<AskDecision, { refusal: AskRefusal }>;

/**
 * Time for which a refusal for overload is reused. A queue at its bound
 * advances by tens of requests meanwhile; a caller that might have been placed
 * gets the same retry delay as all others.
 */
const OVERLOAD_TTL_MS = 100;

/**
 * Upper bound of the time for which a refusal for a spent allotment is reused.
 * The allotment frees up no sooner than the coordinator predicted, unless a
 * request that was charged never runs.
 */
const MAX_ALLOTMENT_TTL_MS = 200;

/** Upper bound of cached entries; the oldest are evicted first. */
const MAX_ENTRIES = 64;

interface Entry {
  readonly ask: WorkAsk;
  readonly refusal: Refusal;
  readonly recordedAtMs: number;
  readonly expiresAtMs: number;
}

/**
 * Time for which each kind of refusal is reused; other kinds are not cached.
 */
const TTL_MS: Readonly<
  Partial<Record<AskRefusal, (refusal: Refusal) => number>>
> = {
  [AskRefusal.Overload]: () => OVERLOAD_TTL_MS,
  [AskRefusal.Allotment]: ({ retryAfterMs }) =>
    Math.min(MAX_ALLOTMENT_TTL_MS, retryAfterMs),
};

/** Whether an ask would certainly be refused where another one was. */
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

/** Cache of the last refusals. */
export class RecentRefusals {
  #entries: Entry[] = [];

  /**
   * Caches a refusal, if its kind may be reused.
   *
   * @param ask The refused ask.
   * @param refusal The coordinator's refusal.
   * @param nowMs Current local time in milliseconds.
   */
  record(ask: WorkAsk, refusal: Refusal, nowMs: number): void {
    const ttlMs = TTL_MS[refusal.refusal]?.(refusal) ?? 0;
    // Asks that any target may serve are not refused because of one version.
    const isOfOneVersion = ask.version !== undefined || ask.takesUp === true;
    if (ttlMs > 0 && !isOfOneVersion) {
      const expiresAtMs = nowMs + ttlMs;
      this.#entries.push({ ask, refusal, recordedAtMs: nowMs, expiresAtMs });
      this.#entries = this.#entries.slice(-MAX_ENTRIES);
    }
  }

  /**
   * Finds a cached refusal that covers an ask.
   *
   * @param ask The ask.
   * @param nowMs Current local time in milliseconds.
   * @returns A refusal of this ask with the figures and retry delay of the
   * cached one; undefined if none covers it.
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

  /** Clears the cache, as another coordinator may decide otherwise. */
  clear(): void {
    this.#entries = [];
  }
}
