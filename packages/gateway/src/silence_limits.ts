/** Timeouts after which a request at a silent target is retried elsewhere. */

import type { RoutePolicy } from "@chestnuthatch/routing/fleet_configuration";
import type { LatencyModel } from "@chestnuthatch/routing/latency_model";

/**
 * Share of the longest gap that callers accept, after which a stream moves. In
 * the rest another target has to read the prompt and send the next event.
 */
const LONGEST_GAP_SHARE = 0.6;

/**
 * Timeout, in longest gaps that callers accept, where no other target could
 * resume the stream in time. Targets pause for a gap or two while they read
 * long prompts of other requests; a stream that moves then is late in any case,
 * has its prompt read twice and uses two slots.
 */
const LATE_STREAM_GAP_RATIO = 2;

/** Shortest timeout between events, as a multiple of the target's usual gap. */
const USUAL_GAP_RATIO = 4;

/** Shortest timeout for a first event, as a share of the route's objective. */
const OBJECTIVE_SHARE = 0.7;

/** Shortest timeout for a first event, as a multiple of its expected time. */
const EXPECTED_TIME_RATIO = 3;

/** A stream that awaits its next event. */
export interface SilentStream {
  readonly route: RoutePolicy;
  /** Latency model of the stream's target. */
  readonly latencyModel: LatencyModel;
  readonly promptTokens: number;
  /** Longest gap between two events sent to the caller so far, in ms. */
  readonly longestSeenGapMs: number;
}

/**
 * Computes the timeout for a stream's next event.
 *
 * @param stream The stream, which has sent an event already.
 * @returns A duration in milliseconds.
 */
export function gapLimitMs(
  { route, latencyModel, promptTokens, longestSeenGapMs }: SilentStream,
): number {
  const { longestGapMs } = route;
  const usualMs = USUAL_GAP_RATIO * latencyModel.eventGapMs;
  const limitMs = Math.max(LONGEST_GAP_SHARE * longestGapMs, usualMs);
  const gapOnMoveMs = limitMs + latencyModel.firstEventMs(promptTokens, 0);
  const canResumeInTime =
    Math.max(longestSeenGapMs, gapOnMoveMs) <= longestGapMs;
  return canResumeInTime
    ? limitMs
    : Math.max(LATE_STREAM_GAP_RATIO * longestGapMs, usualMs);
}

/**
 * Computes the timeout for a request's first event, or for its answer.
 *
 * @param route The request's route.
 * @param expectedMs Time to the first event or the answer that the coordinator
 * expected, in milliseconds.
 * @returns A duration in milliseconds.
 */
export function firstEventLimitMs(
  route: RoutePolicy,
  expectedMs: number,
): number {
  return Math.max(
    OBJECTIVE_SHARE * route.objectiveMs,
    EXPECTED_TIME_RATIO * expectedMs,
  );
}
