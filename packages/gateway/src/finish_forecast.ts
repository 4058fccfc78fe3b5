/** Decides whether a request may run while its instance stops. */

import { RequestKind } from "@chestnuthatch/routing/fleet_configuration";
import { isStream } from "./target_attempt.ts";

/**
 * Time for writing the answer. Requests without an answer are ended some time
 * before answers that have begun are aborted.
 */
const WRITE_MARGIN_MS = 500;

/**
 * Time that is reserved for a run, relative to the expected time. A caller that
 * loses the answer to a request that may not be repeated cannot recover.
 */
const RESERVE_RATIOS: Readonly<Record<RequestKind, number>> = {
  [RequestKind.Repeatable]: 1.2,
  [RequestKind.ResumableStream]: 1.2,
  [RequestKind.AtMostOnce]: 1.5,
  [RequestKind.Stream]: 1.5,
};

/** A run that is about to begin at a target. */
export interface PlannedRun {
  readonly kind: RequestKind;
  /** Time until begun answers are aborted; infinite unless stopping. */
  readonly leftMs: number;
  /** Time until the request's deadline. */
  readonly deadlineLeftMs: number;
  /** Expected time to the end of the answer. */
  readonly expectedMs: number;
  /** Number of targets that may have run the request already. */
  readonly runCount: number;
  /** Whether a part of the answer was sent to the caller. */
  readonly hasBegun: boolean;
}

/**
 * Decides whether a request may be sent to a target.
 *
 * @param run The planned run.
 * @returns Whether it can be expected to end in time, or whether its caller
 * loses nothing if it does not.
 */
export function maySend(run: PlannedRun): boolean {
  // A begun answer is lost without another run.
  if (run.leftMs === Infinity || run.hasBegun) {
    return true;
  }
  // A run that is ended leaves the caller with the same error as no run.
  if (run.runCount > 0 && !isStream(run.kind)) {
    return true;
  }
  const reservedMs = RESERVE_RATIOS[run.kind] * run.expectedMs;
  return run.leftMs >=
    WRITE_MARGIN_MS + Math.min(reservedMs, run.deadlineLeftMs);
}
