/**
 * Decides which targets of the holder's failure domain are good enough for a
 * request to stay there.
 *
 * Load: targets of several speeds in every failure domain, and traffic between
 * domains that costs money. If every request went to the target that completes
 * it first, most would go to fast targets of other domains, although slower
 * ones of their own meet their objectives.
 */

/**
 * Share of the longest gap that a route allows which the predicted mean time
 * between events may take up. Single gaps are longer than the mean.
 */
const MEAN_GAP_SHARE = 1 / 3;

/** Predicted latency of a request at a target. */
export interface PredictedLatency {
  /** Time to the first event, or to the answer of a plain call. */
  readonly firstMs: number;
  /** Mean time between events. */
  readonly eventGapMs: number;
  /** Time to the whole answer. */
  readonly slotMs: number;
}

/** What the caller of a request needs. */
export interface LatencyNeeds {
  /** Predicted time to the first event with which it is still on time. */
  readonly onTimeMs: number;
  /** Longest time between two events; absent if unknown, or for plain calls. */
  readonly longestGapMs?: number;
  /** Time until the whole answer has to arrive. */
  readonly deadlineLeftMs: number;
}

/**
 * Checks whether a target meets the needs of a request, so that faster targets
 * of other failure domains are not considered.
 *
 * @param predicted The request's predicted latency at the target.
 * @param needs What its caller needs.
 * @returns Whether the request may stay in its holder's failure domain.
 */
export function meetsNeeds(
  { firstMs, eventGapMs, slotMs }: PredictedLatency,
  { onTimeMs, longestGapMs, deadlineLeftMs }: LatencyNeeds,
): boolean {
  return firstMs <= onTimeMs && slotMs <= deadlineLeftMs &&
    (longestGapMs === undefined || eventGapMs <= MEAN_GAP_SHARE * longestGapMs);
}
