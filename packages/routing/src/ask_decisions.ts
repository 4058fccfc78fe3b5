/** Builders of the decisions on asks. */

import type { PlacedWork } from "./placed_work_index.ts";
import { type AskDecision, AskRefusal, type WorkAsk } from "./work_ask.ts";

/** Lower bound of the retry delay that a refused caller is given. */
const MIN_RETRY_AFTER_MS = 500;

/** Retry delay of requests to a pool without a usable target. */
const NO_TARGET_RETRY_AFTER_MS = 1000;

/** Estimated wait of an ask that exceeds its caller's patience. */
export interface WaitEstimate {
  /** Number of queued requests that are placed before it. */
  readonly ahead: number;
  /** Slots of the targets that may run it. */
  readonly slots: number;
  /** Those of the slots that higher ranks leave to its rank. */
  readonly available: number;
  /** Mean time in milliseconds for which work occupies a slot. */
  readonly holdMs: number;
  /** Predicted time in milliseconds until it starts. */
  readonly waitMs: number;
  /** Remaining patience of its caller in milliseconds. */
  readonly leftMs: number;
}

/**
 * Builds the decision that places a request.
 *
 * @param work The placed work.
 * @returns The decision for its holder.
 */
export function decisionOf(work: PlacedWork): AskDecision {
  const { askId, holderId, targetId, expectedMs, cameBackMs, isTrial } = work;
  const decision = { askId, holderId, targetId, expectedMs, cameBackMs };
  return isTrial ? { ...decision, isTrial } : decision;
}

/**
 * Builds the refusal of a request that no usable target of its pool may run.
 *
 * @param ask The ask.
 * @param usable Number of usable targets, all of which the ask excludes.
 * @returns The decision that refuses it.
 */
export function noTargetRefusal(
  { askId, holderId, excluded }: WorkAsk,
  usable: number,
): AskDecision {
  return {
    askId,
    holderId,
    refusal: AskRefusal.NoTarget,
    retryAfterMs: NO_TARGET_RETRY_AFTER_MS,
    figures: { usable, excluded: excluded.length },
  };
}

/**
 * Builds the refusal of a request for a version that no usable target has.
 *
 * @param ask The ask.
 * @returns The decision that refuses it.
 */
export function versionRefusal(
  { askId, holderId, excluded }: WorkAsk,
): AskDecision {
  return {
    askId,
    holderId,
    refusal: AskRefusal.NoTargetOfVersion,
    retryAfterMs: NO_TARGET_RETRY_AFTER_MS,
    figures: { excluded: excluded.length },
  };
}

/**
 * Builds the refusal of a request that would wait for too long.
 *
 * @param ask The ask.
 * @param estimate The estimate of its wait.
 * @returns The decision that refuses it.
 */
export function overloadRefusal(
  { askId, holderId }: WorkAsk,
  { ahead, slots, available, holdMs, waitMs, leftMs }: WaitEstimate,
): AskDecision {
  return {
    askId,
    holderId,
    refusal: AskRefusal.Overload,
    retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs),
    figures: {
      ahead,
      slots: Math.round(slots),
      available: Math.round(available),
      holdMs: Math.round(holdMs),
      waitMs: Math.round(waitMs),
      leftMs: Math.round(leftMs),
    },
  };
}

/**
 * Builds the refusal of a quarantined request.
 *
 * @param ask Ask of a request during which targets' processes ended.
 * @param heldForMs Remaining time of its quarantine in milliseconds.
 * @returns The decision that refuses it.
 */
export function quarantineRefusal(
  { askId, holderId }: WorkAsk,
  heldForMs: number,
): AskDecision {
  return {
    askId,
    holderId,
    refusal: AskRefusal.Quarantined,
    retryAfterMs: heldForMs,
    figures: { heldForMs: Math.round(heldForMs) },
  };
}
