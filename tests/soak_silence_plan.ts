/** When connections to the store fall silent in a seed of the soak. */

import { seededRandomness } from "@chestnuthatch/core/randomness";

/** What befalls an instance beside the silence. */
export enum BesideSilence {
  Nothing = "nothing",
  /** The one that has run longest, which often follows the store for all. */
  Killed = "killed",
  Paused = "paused",
}

/** Connections that fall silent, and versions that are written after that. */
export interface PlannedSilence {
  readonly atMs: number;
  /** Part of the connections that fall silent. */
  readonly share: number;
  /** Time from the silence to each version. */
  readonly versionsAfterMs: readonly number[];
  readonly beside: BesideSilence;
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
  const random = seededRandomness(seed + SEED_OFFSET);
  const between = (least: number, below: number) =>
    Math.floor(least + (below - least) * random.next());
  const besides = Object.values(BesideSilence);
  const count = Math.ceil(lengthMs / MS_PER_S * SILENCES_PER_S);
  return Array.from({ length: count }, () => ({
    atMs: between(0, lengthMs),
    share: random.next() < ALL_SHARE ? 1 : random.next(),
    versionsAfterMs: Array.from(
      { length: between(1, MOST_VERSIONS + 1) },
      () => between(0, LONGEST_AFTER_MS),
    ),
    beside: besides[between(0, besides.length)]!,
    index: between(0, 1000),
    forMs: between(SHORTEST_MS, LONGEST_MS),
  }));
}
