/** Plans silent connections to the store in a seed of the soak. */

import { Draw } from "./soak_draw.ts";

/** Disturbance of an instance while connections to the store are silent. */
export enum InstanceDisturbance {
  Nothing = "nothing",
  Killed = "killed",
  Paused = "paused",
}

/**
 * Connections to the store that fall silent for good, and the versions of the
 * configuration that are written afterwards.
 */
export interface PlannedSilence {
  readonly atMs: number;
  /** Share of the open connections that fall silent. */
  readonly share: number;
  /** Time from the start of the silence to each version. */
  readonly versionsAfterMs: readonly number[];
  readonly disturbance: InstanceDisturbance;
  /** Selects the disturbed instance, modulo their number. */
  readonly index: number;
  /** Duration of the disturbance. */
  readonly forMs: number;
}

/** Added to a seed, so that silences do not change the faults drawn for it. */
const SEED_OFFSET = 500_000;

const SILENCES_PER_S = 0.2;
const MS_PER_S = 1000;
const ALL_CONNECTIONS_SHARE = 0.7;
const MAX_VERSIONS = 3;
const MAX_VERSION_DELAY_MS = 1500;
const MIN_DISTURBANCE_MS = 200;
const MAX_DISTURBANCE_MS = 1500;

/**
 * Plans the silences of a seed.
 *
 * @param seed The seed.
 * @param lengthMs Duration of the seed's load in milliseconds.
 * @returns The silences, which are the same for the same seed and duration.
 */
export function planSilences(seed: number, lengthMs: number): PlannedSilence[] {
  const draw = new Draw(seed + SEED_OFFSET);
  const kinds = Object.values(InstanceDisturbance);
  const count = Math.ceil(lengthMs / MS_PER_S * SILENCES_PER_S);
  return Array.from({ length: count }, () => ({
    atMs: draw.between(0, lengthMs),
    share: draw.withProbability(ALL_CONNECTIONS_SHARE) ? 1 : draw.share(),
    versionsAfterMs: Array.from(
      { length: draw.between(1, MAX_VERSIONS + 1) },
      () => draw.between(0, MAX_VERSION_DELAY_MS),
    ),
    disturbance: draw.oneOf(kinds),
    index: draw.between(0, 1000),
    forMs: draw.between(MIN_DISTURBANCE_MS, MAX_DISTURBANCE_MS),
  }));
}
