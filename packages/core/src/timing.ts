/** Intervals and timeouts in force, with defaults until settings arrive. */

import type { TimingSettings } from "@chestnuthatch/settings/settings_types";
import { TIMING_FIELDS } from "@chestnuthatch/settings/policy_fields";
import type { Blackboard } from "./blackboard.ts";
import type { RandomSource } from "./random_source.ts";

/** Intervals and timeouts used until the first settings are in force. */
export const DEFAULT_TIMING = Object.fromEntries(
  Object.entries(TIMING_FIELDS).map(([name, field]) => [name, field.initial]),
) as unknown as TimingSettings;

/** Largest deviation of a polling interval, as a share of the interval. */
const JITTER_SHARE = 0.2;

/**
 * Returns the intervals and timeouts in force.
 *
 * @param board The instance's state.
 * @returns Those of the settings in force, or the defaults before any.
 */
export function timingInForce(board: Blackboard): TimingSettings {
  return board.settings.inForce?.timing ?? DEFAULT_TIMING;
}

/**
 * Adds jitter to an interval, so that instances do not poll at the same time.
 *
 * @param intervalMs The interval, in milliseconds.
 * @param random The source of random numbers.
 * @returns The interval, up to a fifth shorter or longer, in milliseconds.
 */
export function withJitter(intervalMs: number, random: RandomSource): number {
  return intervalMs * (1 + JITTER_SHARE * (2 * random.next() - 1));
}
