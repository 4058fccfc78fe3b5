/** What a refused caller is told, and when it is asked to come back. */

import { RoutedError } from "@chestnuthatch/routing/routed_error";
import { AskRefusal } from "@chestnuthatch/routing/work_ask";
import { deadlineAtMs, type RoutedCall } from "./routed_call.ts";

/** Share of a caller's time left after which it is asked to come back. */
const COME_BACK_SHARE = 0.3;

/** Time that a refused caller is asked to wait where nothing says more. */
export const RETRY_AFTER_MS = 500;

/** The error that a caller gets where a coordinator gives no place. */
export const REFUSAL_ERRORS: Readonly<Record<AskRefusal, RoutedError>> = {
  [AskRefusal.Overload]: RoutedError.Overload,
  [AskRefusal.Allotment]: RoutedError.Allotment,
  [AskRefusal.NoTarget]: RoutedError.NoTarget,
  [AskRefusal.RetryBudget]: RoutedError.NoTarget,
  [AskRefusal.Quarantined]: RoutedError.Quarantined,
};

/**
 * A surge outlasts the wait of one request by far, and a caller that comes back
 * into it is refused again. So it is asked to wait for as long as callers heed,
 * a third of the time that they have left.
 *
 * @param call A request that is refused.
 * @param retryAfterMs When the coordinator expects to have a place.
 * @param nowMs The local time.
 * @returns A duration in milliseconds.
 */
export function comeBackMs(
  call: RoutedCall,
  retryAfterMs: number,
  nowMs: number,
): number {
  const leftMs = deadlineAtMs(call) - nowMs;
  return Math.max(retryAfterMs, COME_BACK_SHARE * leftMs);
}
