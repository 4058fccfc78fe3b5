/** What an engine counts about itself, for tests and measurements. */

import { emptyTargetCounts, type TargetCounts } from "./target_counts.ts";

/** Counts since the engine was made; they outlive its death. */
export interface EngineCounts extends TargetCounts {
  /** Prompt tokens worked for each request, also when it never ended. */
  readonly promptTokensPrefilledByRequestId: Map<string, number>;
  promptTokensPrefilled: number;
  promptTokensCached: number;
  tokensGenerated: number;
  cancelled: number;
  maxKvUsedTokens: number;
  /** Fencing numbers of the orders obeyed, in order. */
  readonly ordersObeyed: number[];
}

/** @returns Counts that are all zero. */
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
