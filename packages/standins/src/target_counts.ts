/** Counts that every simulated target has, for tests and measurements. */

/**
 * Counts since the target was constructed; a restart keeps them. The names are
 * the keys in the answer of `GET /standin/counts`.
 */
export interface TargetCounts {
  /** Number of dispatches received per request, whatever their outcome. */
  readonly dispatchesByRequestId: Map<string, number>;
  /** Number of times the work of each request started. */
  readonly runsByRequestId: Map<string, number>;
  /** Number of times work started per idempotency key. */
  readonly runsByKey: Map<string, number>;
  /** Per dispatch received while leaving, the time since leaving started. */
  readonly dispatchesAfterLeavingMs: number[];
}

/** @returns New counts, all zero. */
export function emptyTargetCounts(): TargetCounts {
  return {
    dispatchesByRequestId: new Map(),
    runsByRequestId: new Map(),
    runsByKey: new Map(),
    dispatchesAfterLeavingMs: [],
  };
}

/**
 * Increases a count in a map; a missing count is 0.
 *
 * @param counts The counts by key.
 * @param key Key of the count.
 * @param amount Amount to add; 1 if absent.
 */
export function increaseCount(
  counts: Map<string, number>,
  key: string,
  amount = 1,
): void {
  counts.set(key, (counts.get(key) ?? 0) + amount);
}

/**
 * Counts the start of a request's work, by request and by idempotency key.
 *
 * @param counts The target's counts.
 * @param request The request whose work starts.
 */
export function countRun(
  counts: TargetCounts,
  request: { readonly requestId: string; readonly idempotencyKey?: string },
): void {
  increaseCount(counts.runsByRequestId, request.requestId);
  if (request.idempotencyKey !== undefined) {
    increaseCount(counts.runsByKey, request.idempotencyKey);
  }
}

/**
 * Converts the maps among counts to plain objects.
 *
 * @param counts The counts.
 * @returns The same counts in a form that JSON can represent.
 */
export function toPlainCounts(counts: object): Record<string, unknown> {
  const entries = Object.entries(counts).map(([name, count]) => [
    name,
    count instanceof Map ? Object.fromEntries(count) : count,
  ]);
  return Object.fromEntries(entries);
}
