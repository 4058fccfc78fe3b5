/** What targets tell of themselves in a seed of the soak. */

import {
  type Randomness,
  seededRandomness,
} from "@chestnuthatch/core/randomness";

/** What a target tells in its answers. */
export enum SoakSignal {
  /** So many requests a second, from some time on. */
  Limit = "limit",
  /** That it leaves, some time before the list says so. */
  Leaving = "leaving",
  /** For some time, that it wants no requests for so long. */
  Rest = "rest",
}

/** One target that tells something from some time on. */
export interface PlannedSignal {
  readonly signal: SoakSignal;
  readonly atMs: number;
  /** Which target, counted round. */
  readonly index: number;
  /** Requests a second of a limit; seconds of a rest. */
  readonly value: number;
  /** How long the list is behind, or requests are turned away. */
  readonly forMs: number;
}

/** Added to a seed, so that the faults drawn for it stay as they are. */
const SEED_OFFSETS: Readonly<Record<SoakSignal, number>> = {
  [SoakSignal.Limit]: 200_000,
  [SoakSignal.Leaving]: 300_000,
  [SoakSignal.Rest]: 400_000,
};

const MOST_TARGETS = 3;
const EARLY_PART = 0.2;
const MIDDLE_PART = 0.6;
const HIGHEST_PER_S = 12;
const LONGEST_REST_S = 3;
const SHORTEST_MS = 300;
const LONGEST_MS = 5000;
/** Values have one decimal place. */
const TENTHS = 10;

type Draw = (least: number, below: number) => number;

const PLANS: Readonly<
  Record<SoakSignal, (between: Draw, lengthMs: number) => PlannedSignal>
> = {
  [SoakSignal.Limit]: (between, lengthMs) => ({
    signal: SoakSignal.Limit,
    atMs: between(0, EARLY_PART * lengthMs),
    index: between(0, 1000),
    value: between(0, HIGHEST_PER_S * TENTHS) / TENTHS,
    forMs: Infinity,
  }),
  [SoakSignal.Leaving]: (between, lengthMs) => ({
    signal: SoakSignal.Leaving,
    atMs: between(0, MIDDLE_PART * lengthMs),
    index: between(0, 1000),
    value: 1,
    forMs: between(SHORTEST_MS, LONGEST_MS),
  }),
  [SoakSignal.Rest]: (between, lengthMs) => ({
    signal: SoakSignal.Rest,
    atMs: between(0, MIDDLE_PART * lengthMs),
    index: between(0, 1000),
    value: between(TENTHS, LONGEST_REST_S * TENTHS + 1) / TENTHS,
    forMs: between(SHORTEST_MS, LONGEST_MS),
  }),
};

/**
 * @param seed The seed.
 * @param lengthMs How long it is.
 * @param signals What targets tell.
 * @returns Which targets tell it, and when.
 */
export function planSignals(
  seed: number,
  lengthMs: number,
  signals: readonly SoakSignal[],
): PlannedSignal[] {
  return signals.flatMap((signal) => {
    const between = drawOf(seededRandomness(seed + SEED_OFFSETS[signal]));
    const count = between(1, MOST_TARGETS + 1);
    return Array.from(
      { length: count },
      () => PLANS[signal](between, lengthMs),
    );
  });
}

function drawOf(random: Randomness): Draw {
  return (least, below) => Math.floor(least + (below - least) * random.next());
}
