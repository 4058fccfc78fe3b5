/** Plans the signals that targets send in a seed of the soak. */

import { Draw } from "./soak_draw.ts";

/** Signals that targets send in headers of their answers. */
export enum SoakSignal {
  /** A rate limit, which holds to the end of the seed. */
  RateLimit = "rate_limit",
  /** The target is leaving; its row is written as leaving only later. */
  Leaving = "leaving",
  /** A backoff on each request, which the target rejects for some time. */
  Backoff = "backoff",
}

/** A signal of one target, with its time and value. */
export interface PlannedSignal {
  readonly signal: SoakSignal;
  readonly atMs: number;
  /** Selects the target, modulo their number. */
  readonly index: number;
  /** Requests per second of a rate limit; seconds of a back-off. */
  readonly value: number;
  /**
   * Delay until the row is written, or time for which requests are rejected.
   */
  readonly forMs: number;
}

/** Added to a seed, so that signals do not change the faults drawn for it. */
const SEED_OFFSETS: Readonly<Record<SoakSignal, number>> = {
  [SoakSignal.RateLimit]: 200_000,
  [SoakSignal.Leaving]: 300_000,
  [SoakSignal.Backoff]: 400_000,
};

const MAX_TARGETS = 3;
const EARLY_SHARE = 0.2;
const MIDDLE_SHARE = 0.6;
const MAX_RATE_LIMIT_PER_S = 12;
const MAX_BACKOFF_S = 3;
const MIN_DURATION_MS = 300;
const MAX_DURATION_MS = 5000;
/** Drawn values are whole tenths. */
const TENTHS = 10;

const PLANNERS: Readonly<
  Record<SoakSignal, (draw: Draw, lengthMs: number) => PlannedSignal>
> = {
  [SoakSignal.RateLimit]: (draw, lengthMs) => ({
    signal: SoakSignal.RateLimit,
    atMs: draw.between(0, EARLY_SHARE * lengthMs),
    index: draw.between(0, 1000),
    value: draw.between(0, MAX_RATE_LIMIT_PER_S * TENTHS) / TENTHS,
    forMs: Infinity,
  }),
  [SoakSignal.Leaving]: (draw, lengthMs) => ({
    signal: SoakSignal.Leaving,
    atMs: draw.between(0, MIDDLE_SHARE * lengthMs),
    index: draw.between(0, 1000),
    value: 1,
    forMs: draw.between(MIN_DURATION_MS, MAX_DURATION_MS),
  }),
  [SoakSignal.Backoff]: (draw, lengthMs) => ({
    signal: SoakSignal.Backoff,
    atMs: draw.between(0, MIDDLE_SHARE * lengthMs),
    index: draw.between(0, 1000),
    value: draw.between(TENTHS, MAX_BACKOFF_S * TENTHS + 1) / TENTHS,
    forMs: draw.between(MIN_DURATION_MS, MAX_DURATION_MS),
  }),
};

/**
 * Plans signals of some targets.
 *
 * @param seed The seed.
 * @param lengthMs Duration of the seed's load in milliseconds.
 * @param signals Kinds of signals to plan.
 * @returns The signals, which are the same for the same arguments.
 */
export function planSignals(
  seed: number,
  lengthMs: number,
  signals: readonly SoakSignal[],
): PlannedSignal[] {
  return signals.flatMap((signal) => {
    const draw = new Draw(seed + SEED_OFFSETS[signal]);
    const count = draw.between(1, MAX_TARGETS + 1);
    return Array.from(
      { length: count },
      () => PLANNERS[signal](draw, lengthMs),
    );
  });
}
