/** What every target counts about itself, for tests and measurements. */

/** Counts since the target was made; they outlive its death. */
export interface TargetCounts {
  /** Times each request was sent to this target, whatever came of it. */
  readonly dispatchesByRequestId: Map<string, number>;
  /** Times each request's work began. */
  readonly runsByRequestId: Map<string, number>;
  /** Times work began for each idempotency key. */
  readonly runsByKey: Map<string, number>;
  /** For each dispatch taken while leaving, time since leaving began. */
  readonly dispatchesAfterLeavingMs: number[];
}

/** @returns Counts that are all zero. */
export function emptyTargetCounts(): TargetCounts {
  return {
    dispatchesByRequestId: new Map(),
    runsByRequestId: new Map(),
    runsByKey: new Map(),
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
 * Counts that a request's work begins.
 *
 * @param counts The target's counts.
 * @param request The request.
 */
export function countRun(
  counts: TargetCounts,
  request: { readonly requestId: string; readonly idempotencyKey?: string },
): void {
  addTo(counts.runsByRequestId, request.requestId);
  if (request.idempotencyKey !== undefined) {
    addTo(counts.runsByKey, request.idempotencyKey);
  }
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
