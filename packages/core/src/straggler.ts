/** Finds targets that have become slow, cuts their slots, lets them recover. */

import type { TargetSettings } from "@chestnuthatch/settings/settings_types";
import type { GrantAccount, Target } from "./blackboard.ts";
import { paceOf } from "./learned_rates.ts";

/** A target this much slower than it should be is cut. */
const CUT_ABOVE = 2;
/** A target that is being cut is cut until it is less slow than this. */
const RECOVERED_BELOW = 1.5;
/** A cut is told of when this share or less of the former slots is left. */
const CLEAR_CUT_SHARE = 0.9;
/** Smallest share of its slots left; at least one slot is left as a probe. */
const MIN_SLOT_SHARE = 0.05;
/** Share of its slots that comes back in a second. */
const RECOVERY_SHARE_PER_SECOND = 0.05;
/** Share of its slots that a target gets when it first answers again. */
const RETURN_SLOT_SHARE = 0.25;
/** Work running this many times its predicted time counts against a target. */
const OVERDUE_RATIO = 3;
const MIN_OVERDUE_MS = 1000;

/** Samples without which a target is not compared. */
const MIN_SAMPLES = 5;

const MS_PER_SECOND = 1000;

/**
 * Compares a target's recent rates with its own past and with its kind.
 *
 * @param target The target.
 * @param kind Other targets of the same pool and hardware.
 * @returns Its slowdown; 1 is normal, above 1 is slower.
 */
export function slowdownOf(target: Target, kind: readonly Target[]): number {
  if (target.rates.samples < MIN_SAMPLES) {
    return 1;
  }
  const peers = kind.filter((peer) => peer.rates.samples >= MIN_SAMPLES);
  const ownChange = changeOf(target);
  if (peers.length === 0) {
    return Math.max(1, ownChange);
  }
  // A load that slows the whole kind makes nobody a straggler.
  const kindChange = Math.max(1, medianOf(peers.map(changeOf)));
  const ratios = (["prefillMsPerToken", "decodeMsPerToken", "callMs"] as const)
    .map((name) =>
      ratioOf(
        target.rates[name],
        medianOf(peers.map((peer) => peer.rates[name])),
      )
    );
  return Math.max(1, ownChange / kindChange, ...ratios);
}

/**
 * Tells how far running work is beyond its predicted time: what a target that
 * stands still shows first.
 *
 * @param grants Used grants on one target.
 * @param nowMs The local time.
 * @returns The second largest ratio where several run, else the only one; 1
 * while it is within bounds.
 */
export function overdueRatio(
  grants: readonly GrantAccount[],
  nowMs: number,
): number {
  const ratios = grants
    .filter((grant) => nowMs - grant.expectedEndMs > MIN_OVERDUE_MS)
    .map((grant) =>
      (nowMs - grant.grantedAtMs) /
      Math.max(1, grant.expectedEndMs - grant.grantedAtMs)
    )
    .sort((a, b) => b - a);
  const telling = grants.length > 1 ? ratios[1] : ratios[0];
  return telling !== undefined && telling >= OVERDUE_RATIO ? telling : 1;
}

/**
 * Cuts a slow target's slots at once, or lets them come back slowly.
 *
 * @param target The target.
 * @param settings Its settings.
 * @param seen Its slowdown now, and the local time.
 * @returns Whether its slots were clearly cut now.
 */
export function adjustSlots(
  target: Target,
  settings: TargetSettings,
  seen: { slowdown: number; nowMs: number },
): boolean {
  const { slowdown, nowMs } = seen;
  target.rates.slowdown = slowdown;
  if (target.pace === undefined && slowdown <= CUT_ABOVE) {
    return false;
  }
  const pace = paceOf(target, settings);
  const limit = pace.slotShare < 1 ? RECOVERED_BELOW : CUT_ABOVE;
  const share = slowdown <= limit ? 1 : Math.max(MIN_SLOT_SHARE, 1 / slowdown);
  const elapsedMs = Math.min(MS_PER_SECOND, nowMs - pace.lastRecoveryAtMs);
  pace.lastRecoveryAtMs = nowMs;
  const isCut = share < pace.slotShare;
  const regained = RECOVERY_SHARE_PER_SECOND * elapsedMs / MS_PER_SECOND;
  const isClearCut = share < pace.slotShare * CLEAR_CUT_SHARE;
  pace.slotShare = isCut ? share : Math.min(share, pace.slotShare + regained);
  return isClearCut;
}

/**
 * Lets a target that was unreachable begin with a part of its slots.
 *
 * @param target The target.
 * @param settings Its settings.
 * @param nowMs The local time.
 */
export function beginReturn(
  target: Target,
  settings: TargetSettings,
  nowMs: number,
): void {
  const pace = paceOf(target, settings);
  pace.slotShare = Math.min(pace.slotShare, RETURN_SLOT_SHARE);
  pace.lastRecoveryAtMs = nowMs;
}

function changeOf({ rates, pace }: Target): number {
  if (pace === undefined) {
    return 1;
  }
  return Math.max(
    ratioOf(rates.prefillMsPerToken, pace.longTerm.prefillMsPerToken),
    ratioOf(rates.decodeMsPerToken, pace.longTerm.decodeMsPerToken),
    ratioOf(rates.callMs, pace.longTerm.callMs),
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
