/**
 * Forecasts of the waits that new asks are refused for.
 *
 * They address sustained overload, in which the coordinator would refuse most
 * asks: each refusal leads to another attempt, and refusing it takes processor
 * time at the one coordinator. Holders that know the waits refuse by themselves.
 */

import {
  compareWork,
  isOverShare,
  type KeyedWork,
  type OrderContext,
} from "./queue_order.ts";
import type { RecentAsks } from "./recent_asks.ts";

/** Wait that every new ask of a rank is predicted to have at least. */
export interface AdmissionForecast {
  readonly pool: string;
  readonly rank: number;
  /** Whole milliseconds. */
  readonly waitMs: number;
}

/**
 * Upper bound of the forecasts of a coordinator: they take about 1 KB of a
 * heartbeat, which is one datagram.
 */
export const MAX_ADMISSION_FORECASTS = 32;

/**
 * Upper bound of a forecast wait. It exceeds the patience of callers, and bounds
 * the retry delay that a forged forecast leads to.
 */
export const MAX_FORECAST_WAIT_MS = 60_000;

/** State of a pool without a free target that its forecasts depend on. */
export interface ForecastBasis {
  /** Queued work that is not refused now, in the order of the queue. */
  readonly kept: readonly KeyedWork[];
  /**
   * @param rank A rank.
   * @returns Mean time in milliseconds between two starts of its work.
   */
  startIntervalMs(rank: number): number;
  readonly recentAsks: RecentAsks;
  readonly context: OrderContext;
}

/**
 * Forecasts the waits of new asks for a pool. Promoted ranks are left out. A
 * starved rank that has used up its credit is announced, though it may be
 * promoted again before the next forecast: most refused asks are of such ranks,
 * and each forecast without the rank lets its asks through to use the credit.
 *
 * @param pool Name of the pool.
 * @param basis State of the pool.
 * @returns Forecasts of ranks whose wait exceeds the patience of a recent ask.
 */
export function forecastsOf(
  pool: string,
  basis: ForecastBasis,
): AdmissionForecast[] {
  const { recentAsks, context: { promoted, nowMs } } = basis;
  const smallestPatienceMs = recentAsks.smallestPatienceMs(nowMs);
  return recentAsks.ranks(nowMs)
    .filter((rank) => !promoted.has(rank))
    .map((rank) => {
      const waitMs = Math.min(minWaitMs(rank, basis), MAX_FORECAST_WAIT_MS);
      return { pool, rank, waitMs: Math.floor(waitMs) };
    })
    .filter(({ waitMs }) => waitMs > smallestPatienceMs);
}

/**
 * Predicts the wait that a new ask has at least: it is refused if its caller is
 * less patient than that. How many asks of its rank are ahead depends on its
 * patience, as the queue is sorted by it. The result is the shortest patience
 * that covers the wait of an ask with this patience.
 */
function minWaitMs(rank: number, basis: ForecastBasis): number {
  const { kept, context: { nowMs } } = basis;
  const startIntervalMs = basis.startIntervalMs(rank);
  const higher = kept.filter(({ work }) => work.ask.rank < rank).length;
  let waitMs = (higher + 1) * startIntervalMs;
  for (const [ahead, keyed] of kept.entries()) {
    if (keyed.work.ask.rank !== rank) {
      continue;
    }
    if (!isBeforeNewAsk(keyed, waitMs, basis)) {
      break;
    }
    // A request that becomes late in the queue is overtaken by new ones.
    const startsAtMs = nowMs + (ahead + 1) * startIntervalMs;
    if (startsAtMs <= keyed.key.latestOnTimeStartMs) {
      waitMs += startIntervalMs;
    }
  }
  return waitMs;
}

/**
 * Whether queued work is placed before a new ask of its rank that can meet its
 * objective and whose caller has the given patience, by the order of the queue.
 */
function isBeforeNewAsk(
  keyed: KeyedWork,
  patienceMs: number,
  { recentAsks, context }: ForecastBasis,
): boolean {
  const { nowMs } = context;
  const { rank } = keyed.work.ask;
  if (isOverShare(keyed.work.ask, context)) {
    // A new ask of a workspace within its share would go before it.
    return false;
  }
  const leadMs = recentAsks.deadlineLeadMs(rank, nowMs);
  const newWork: KeyedWork = {
    work: { ...keyed.work, cameBackMs: 0, waitingSinceMs: nowMs },
    key: {
      latestOnTimeStartMs: Infinity,
      latestStartMs: nowMs + patienceMs - leadMs,
    },
  };
  return compareWork(keyed, newWork, context) < 0;
}

/**
 * Selects the forecasts that holders are told.
 *
 * @param forecasts Forecasts of all pools and ranks.
 * @returns Those of the longest waits.
 */
export function longestWaits(
  forecasts: readonly AdmissionForecast[],
): AdmissionForecast[] {
  return [...forecasts].sort((a, b) => b.waitMs - a.waitMs)
    .slice(0, MAX_ADMISSION_FORECASTS);
}
