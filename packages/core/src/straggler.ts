/** Straggler detection: measures slowdowns and adjusts slot shares by them. */

import type { TargetSettings } from "@chestnuthatch/settings/settings_types";
import type { GrantRecord, Target } from "./blackboard.ts";
import { ensureStragglerState } from "./learned_rates.ts";

/** Slowdown above which a target's slot share is cut. */
const CUT_SLOWDOWN_RATIO = 2;
/** Slowdown to which a cut target must fall to regain all its slots. */
const RECOVERED_SLOWDOWN_RATIO = 1.5;
/** A cut is logged when less than this share of the previous slots is left. */
const SIGNIFICANT_CUT_SHARE = 0.9;
/** Lower bound on the slot share; at least one slot is left as a probe. */
const MIN_SLOT_SHARE = 0.05;
/** Share of its slots that a recovering target regains per second. */
const RECOVERY_SHARE_PER_S = 0.05;
/** Slot share of a target that has just become reachable again. */
const INITIAL_RETURN_SLOT_SHARE = 0.25;
/** Work running this many times its predicted time counts as a slowdown. */
const MIN_OVERDUE_RATIO = 3;
/** Time past its predicted end after which work counts as overdue. */
const MIN_OVERDUE_MS = 1000;

/** Samples that a target needs before its rates are compared. */
const MIN_SAMPLES = 5;

const MS_PER_SECOND = 1000;

/**
 * Compares a target's recent rates with its own long-term rates and with the
 * recent rates of comparable targets.
 *
 * @param target The target.
 * @param peers Comparable targets: the others of the same pool and hardware.
 * @returns Its slowdown as a ratio of times: 1 is normal, above 1 is slower.
 */
export function slowdownOf(target: Target, peers: readonly Target[]): number {
  if (target.rates.samples < MIN_SAMPLES) {
    return 1;
  }
  const measuredPeers = peers.filter((peer) =>
    peer.rates.samples >= MIN_SAMPLES
  );
  const ownRatio = longTermRatioOf(target);
  if (measuredPeers.length === 0) {
    return Math.max(1, ownRatio);
  }
  // A load that slows all comparable targets makes none of them a straggler.
  const peerRatio = Math.max(1, medianOf(measuredPeers.map(longTermRatioOf)));
  const rateRatios =
    (["prefillMsPerToken", "decodeMsPerToken", "callMs"] as const)
      .map((name) =>
        ratioOf(
          target.rates[name],
          medianOf(measuredPeers.map((peer) => peer.rates[name])),
        )
      );
  return Math.max(1, ownRatio / peerRatio, ...rateRatios);
}

/**
 * Measures how far running work is past its predicted time, which is the first
 * sign of a stalled target.
 *
 * @param grants Used grants on one target.
 * @param nowMs The local time in milliseconds.
 * @returns Time running over time predicted: the second largest ratio of
 * several grants, or that of the only one; 1 while it is below
 * {@link MIN_OVERDUE_RATIO}.
 */
export function overdueRatio(
  grants: readonly GrantRecord[],
  nowMs: number,
): number {
  const ratios = grants
    .filter((grant) => nowMs - grant.expectedEndMs > MIN_OVERDUE_MS)
    .map((grant) =>
      (nowMs - grant.grantedAtMs) /
      Math.max(1, grant.expectedEndMs - grant.grantedAtMs)
    )
    .sort((a, b) => b - a);
  const ratio = grants.length > 1 ? ratios[1] : ratios[0];
  return ratio !== undefined && ratio >= MIN_OVERDUE_RATIO ? ratio : 1;
}

/**
 * Cuts a slow target's slot share at once, or restores it gradually.
 *
 * @param target The target.
 * @param settings Its settings.
 * @param measured Its current slowdown as a ratio, and the local time in
 * milliseconds.
 * @returns Whether this call cut its slots to less than
 * {@link SIGNIFICANT_CUT_SHARE} of their previous share.
 */
export function adjustSlotShare(
  target: Target,
  settings: TargetSettings,
  measured: { slowdown: number; nowMs: number },
): boolean {
  const { slowdown, nowMs } = measured;
  target.rates.slowdown = slowdown;
  if (target.stragglerState === undefined && slowdown <= CUT_SLOWDOWN_RATIO) {
    return false;
  }
  const state = ensureStragglerState(target, settings);
  const thresholdRatio = state.slotShare < 1
    ? RECOVERED_SLOWDOWN_RATIO
    : CUT_SLOWDOWN_RATIO;
  const allowedShare = slowdown <= thresholdRatio
    ? 1
    : Math.max(MIN_SLOT_SHARE, 1 / slowdown);
  const elapsedMs = Math.min(MS_PER_SECOND, nowMs - state.lastAdjustedAtMs);
  state.lastAdjustedAtMs = nowMs;
  const isCut = allowedShare < state.slotShare;
  const regainedShare = RECOVERY_SHARE_PER_S * elapsedMs / MS_PER_SECOND;
  const isSignificantCut =
    allowedShare < state.slotShare * SIGNIFICANT_CUT_SHARE;
  state.slotShare = isCut
    ? allowedShare
    : Math.min(allowedShare, state.slotShare + regainedShare);
  return isSignificantCut;
}

/**
 * Limits a target that has become reachable again to
 * {@link INITIAL_RETURN_SLOT_SHARE} of its slots, from which it recovers.
 *
 * @param target The target.
 * @param settings Its settings.
 * @param nowMs The local time in milliseconds.
 */
export function limitReturnedTarget(
  target: Target,
  settings: TargetSettings,
  nowMs: number,
): void {
  const state = ensureStragglerState(target, settings);
  state.slotShare = Math.min(state.slotShare, INITIAL_RETURN_SLOT_SHARE);
  state.lastAdjustedAtMs = nowMs;
}

function longTermRatioOf({ rates, stragglerState }: Target): number {
  if (stragglerState === undefined) {
    return 1;
  }
  return Math.max(
    ratioOf(rates.prefillMsPerToken, stragglerState.longTerm.prefillMsPerToken),
    ratioOf(rates.decodeMsPerToken, stragglerState.longTerm.decodeMsPerToken),
    ratioOf(rates.callMs, stragglerState.longTerm.callMs),
  );
}

function ratioOf(rate: number, reference: number): number {
  return reference > 0 ? rate / reference : 1;
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted.length >> 1;
  return sorted.length % 2 === 1
    ? sorted[middle]
    : (sorted[middle - 1] + sorted[middle]) / 2;
}
