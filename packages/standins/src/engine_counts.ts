/** What an engine counts about itself, for tests and measurements. */

/** Counts since the engine was made; they outlive its death. */
export interface EngineCounts {
  /** Times each request was sent to this engine, whatever came of it. */
  readonly dispatchesByRequestId: Map<string, number>;
  /** Times each request's prompt work began. */
  readonly runsByRequestId: Map<string, number>;
  /** Times work began for each idempotency key. */
  readonly runsByKey: Map<string, number>;
  /** Prompt tokens worked for each request, also when it never ended. */
  readonly promptTokensPrefilledByRequestId: Map<string, number>;
  promptTokensPrefilled: number;
  promptTokensCached: number;
  tokensGenerated: number;
  cancelled: number;
  maxKvUsedTokens: number;
  /** Fencing numbers of the orders obeyed, in order. */
  readonly ordersObeyed: number[];
  /** For each dispatch taken while leaving, time since leaving began. */
  readonly dispatchesAfterLeavingMs: number[];
}

/** @returns Counts that are all zero. */
export function emptyEngineCounts(): EngineCounts {
  return {
    dispatchesByRequestId: new Map(),
    runsByRequestId: new Map(),
    runsByKey: new Map(),
    promptTokensPrefilledByRequestId: new Map(),
    promptTokensPrefilled: 0,
    promptTokensCached: 0,
    tokensGenerated: 0,
    cancelled: 0,
    maxKvUsedTokens: 0,
    ordersObeyed: [],
    dispatchesAfterLeavingMs: [],
  };
}

/**
 * Adds to a count in a map.
 *
 * @param counts The map.
 * @param key What is counted.
 * @param by How much to add.
 */
export function addTo(
  counts: Map<string, number>,
  key: string,
  by = 1,
): void {
  counts.set(key, (counts.get(key) ?? 0) + by);
}

/**
 * Turns the maps among counts into plain objects.
 *
 * @param counts The counts.
 * @returns The same counts, fit for JSON.
 */
export function plainCountsOf(counts: object): Record<string, unknown> {
  const entries = Object.entries(counts).map(([name, count]) => [
    name,
    count instanceof Map ? Object.fromEntries(count) : count,
  ]);
  return Object.fromEntries(entries);
}
