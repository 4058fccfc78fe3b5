/** The times in force, also before the instance has any settings. */

import type { TimingSettings } from "@chestnuthatch/settings/settings_types";
import { TIMING_FIELDS } from "@chestnuthatch/settings/policy_fields";
import type { Blackboard } from "./blackboard.ts";
import type { Randomness } from "./randomness.ts";

/** Times used until the first settings are in force. */
export const DEFAULT_TIMING = Object.fromEntries(
  Object.entries(TIMING_FIELDS).map(([name, field]) => [name, field.initial]),
) as unknown as TimingSettings;

/** How far a poll may come before or after its interval, as a share of it. */
const JITTER_SHARE = 0.2;

/**
 * Gives the times that govern the instance's working.
 *
 * @param board The instance's state.
 * @returns The times of the settings in force, else the defaults.
 */
export function timingOf(board: Blackboard): TimingSettings {
  return board.settings.inForce?.timing ?? DEFAULT_TIMING;
}

/**
 * Spreads an interval, so that instances do not poll together.
 *
 * @param intervalMs The interval.
 * @param random The source of randomness.
 * @returns The interval, up to a fifth shorter or longer.
 */
export function withJitter(intervalMs: number, random: Randomness): number {
  return intervalMs * (1 + JITTER_SHARE * (2 * random.next() - 1));
}
