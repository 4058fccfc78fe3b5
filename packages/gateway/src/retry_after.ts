/** Errors and retry times that refused callers receive. */

import { RoutedError } from "@chestnuthatch/routing/routed_error";
import { AskRefusal } from "@chestnuthatch/routing/work_ask";
import { deadlineAtMs, type RoutedCall } from "./routed_call.ts";

/** Least retry time, as a share of the time until the caller's deadline. */
const RETRY_AFTER_SHARE = 0.3;

/** Time after which a refused caller retries, where none was computed. */
export const DEFAULT_RETRY_AFTER_MS = 500;

/** Retry time for callers of a leaving instance, who reach another one. */
export const LEAVING_RETRY_AFTER_MS = 50;

/** Errors for callers, by the coordinator's reason to refuse the ask. */
export const REFUSAL_ERRORS: Readonly<Record<AskRefusal, RoutedError>> = {
  [AskRefusal.Overload]: RoutedError.Overload,
  [AskRefusal.Allotment]: RoutedError.Allotment,
  [AskRefusal.NoTarget]: RoutedError.NoTarget,
  [AskRefusal.NoTargetOfVersion]: RoutedError.VersionGone,
  [AskRefusal.UnknownStream]: RoutedError.UnknownStream,
  [AskRefusal.RetryBudget]: RoutedError.NoTarget,
  [AskRefusal.Quarantined]: RoutedError.Quarantined,
};

/**
 * Refusals whose cause ends at a time of its own. The version of a stream may
 * be known as soon as other instances have reported it.
 */
const ENDS_WITHOUT_SURGE: ReadonlySet<AskRefusal> = new Set([
  AskRefusal.UnknownStream,
]);

/**
 * Computes the time after which a refused caller is to retry.
 *
 * A load surge lasts much longer than one request waits, and a caller that
 * retries during it is refused again. So callers are sent the longest time that
 * they follow, a third of the time until their deadline.
 *
 * @param call The refused request.
 * @param of The coordinator's reason, the time in ms until it expects that the
 * request can be placed, and the local time in ms.
 * @returns A duration in milliseconds.
 */
export function retryAfterMsOf(
  call: RoutedCall,
  { refusal, retryAfterMs, nowMs }: {
    refusal: AskRefusal;
    retryAfterMs: number;
    nowMs: number;
  },
): number {
  if (ENDS_WITHOUT_SURGE.has(refusal)) {
    return retryAfterMs;
  }
  const leftMs = deadlineAtMs(call) - nowMs;
  return Math.max(retryAfterMs, RETRY_AFTER_SHARE * leftMs);
}
