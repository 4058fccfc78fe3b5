/** How long a silent target is waited for before its work goes elsewhere. */

import type { RoutePolicy } from "@chestnuthatch/routing/fleet_configuration";
import type { TargetPace } from "@chestnuthatch/routing/target_pace";

/**
 * Share of the longest gap that callers accept. What is left has to suffice for
 * another target to read the prompt and go on.
 */
const GAP_SHARE = 0.6;

/**
 * Longest gaps after which a silent target is given up where another could not
 * go on in time anyway. Targets fall silent for a gap or two while they read
 * long prompts of others; moved then, a stream is late for certain, has its
 * prompt read twice and takes two places.
 */
const LATE_GAPS = 2;

/** A gap this many times the usual one is no longer chance. */
const USUAL_GAPS = 4;

/** Share of the objective after which a first event is overdue. */
const OBJECTIVE_SHARE = 0.7;

/** A first event this many times later than expected is no longer chance. */
const EXPECTED_TIMES = 3;

/** A stream whose target is silent between two events. */
export interface SilentStream {
  readonly route: RoutePolicy;
  /** How fast its target is. */
  readonly pace: TargetPace;
  readonly promptTokens: number;
  /** Longest gap that its caller has seen. */
  readonly seenGapMs: number;
}

/**
 * @param stream A stream.
 * @returns Longest silence between events, in milliseconds.
 */
export function gapLimitMs(
  { route, pace, promptTokens, seenGapMs }: SilentStream,
): number {
  const { longestGapMs } = route;
  const usualMs = USUAL_GAPS * pace.eventGapMs;
  const limitMs = Math.max(GAP_SHARE * longestGapMs, usualMs);
  const elsewhereMs = limitMs + pace.firstEventMs(promptTokens, 0);
  const canBeInTime = Math.max(seenGapMs, elsewhereMs) <= longestGapMs;
  return canBeInTime ? limitMs : Math.max(LATE_GAPS * longestGapMs, usualMs);
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
