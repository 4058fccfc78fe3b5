/** How long a silent target is waited for before its work goes elsewhere. */

import type { RoutePolicy } from "@chestnuthatch/routing/fleet_configuration";
import type { TargetPace } from "@chestnuthatch/routing/target_pace";

/**
 * Share of the longest gap that callers accept. What is left has to suffice for
 * another target to read the prompt and go on.
 */
const GAP_SHARE = 0.6;

/** A gap this many times the usual one is no longer chance. */
const USUAL_GAPS = 4;

/** Share of the objective after which a first event is overdue. */
const OBJECTIVE_SHARE = 0.7;

/** A first event this many times later than expected is no longer chance. */
const EXPECTED_TIMES = 3;

/**
 * @param route The stream's route.
 * @param pace How fast its target is.
 * @returns Longest silence between events, in milliseconds.
 */
export function gapLimitMs(route: RoutePolicy, pace: TargetPace): number {
  return Math.max(
    GAP_SHARE * route.longestGapMs,
    USUAL_GAPS * pace.eventGapMs,
  );
}

/**
 * @param route The request's route.
 * @param expectedMs When the coordinator expected the first event or answer.
 * @returns Longest silence before it, in milliseconds.
 */
export function firstEventLimitMs(
  route: RoutePolicy,
  expectedMs: number,
): number {
  return Math.max(
    OBJECTIVE_SHARE * route.objectiveMs,
    EXPECTED_TIMES * expectedMs,
  );
}
