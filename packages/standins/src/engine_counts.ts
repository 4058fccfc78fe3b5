/** Counts of a simulated engine, for tests and measurements. */

import { emptyTargetCounts, type TargetCounts } from "./target_counts.ts";

/**
 * Counts since the engine was constructed; a restart keeps them. The names are
 * the keys in the answer of `GET /standin/counts`.
 */
export interface EngineCounts extends TargetCounts {
  /** Prefilled prompt tokens per request, including unfinished requests. */
  readonly promptTokensPrefilledByRequestId: Map<string, number>;
  promptTokensPrefilled: number;
  promptTokensCached: number;
  tokensGenerated: number;
  cancelled: number;
  /** Most KV memory that was in use at any time. */
  maxKvUsedTokens: number;
  /** Fencing numbers of the obeyed orders, in the order of arrival. */
  readonly ordersObeyed: number[];
}

/** @returns New counts, all zero. */
export function emptyEngineCounts(): EngineCounts {
  return {
    ...emptyTargetCounts(),
    promptTokensPrefilledByRequestId: new Map(),
    promptTokensPrefilled: 0,
    promptTokensCached: 0,
    tokensGenerated: 0,
    cancelled: 0,
    maxKvUsedTokens: 0,
    ordersObeyed: [],
  };
}
