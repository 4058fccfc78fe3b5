/** When connections to the store fall silent in a seed of the soak. */

import { Draw } from "./soak_draw.ts";

/** What happens to an instance during the silence. */
export enum DuringSilence {
  Nothing = "nothing",
  Killed = "killed",
  Paused = "paused",
}

/** A silence, and the versions of the configuration that follow on it. */
export interface PlannedSilence {
  readonly atMs: number;
  /** Part of the connections that fall silent. */
  readonly share: number;
  /** Time from the silence to each version. */
  readonly versionsAfterMs: readonly number[];
  readonly during: DuringSilence;
  /** Which instance, counted round. */
  readonly index: number;
  readonly forMs: number;
}

/** Added to a seed, so that the faults drawn for it stay as they are. */
const SEED_OFFSET = 500_000;

const SILENCES_PER_S = 0.2;
const MS_PER_S = 1000;
const ALL_SHARE = 0.7;
const MOST_VERSIONS = 3;
const LONGEST_AFTER_MS = 1500;
const SHORTEST_MS = 200;
const LONGEST_MS = 1500;

/**
 * @param seed The seed.
 * @param lengthMs How long it is.
 * @returns The seed's silences.
 */
export function planSilences(seed: number, lengthMs: number): PlannedSilence[] {
  const draw = new Draw(seed + SEED_OFFSET);
  const kinds = Object.values(DuringSilence);
  const count = Math.ceil(lengthMs / MS_PER_S * SILENCES_PER_S);
  return Array.from({ length: count }, () => ({
    atMs: draw.between(0, lengthMs),
    share: draw.isWithin(ALL_SHARE) ? 1 : draw.share(),
    versionsAfterMs: Array.from(
      { length: draw.between(1, MOST_VERSIONS + 1) },
      () => draw.between(0, LONGEST_AFTER_MS),
    ),
    during: draw.oneOf(kinds),
    index: draw.between(0, 1000),
    forMs: draw.between(SHORTEST_MS, LONGEST_MS),
  }));
}
