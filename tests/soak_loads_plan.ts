/**
 * Plans uneven load in a seed of the soak: reports of targets on their load,
 * workspaces that send more than others, and targets that crash at once.
 */

import { Draw } from "./soak_draw.ts";

/** A workspace that sends calls beside the default one. */
export interface PlannedWorkspace {
  /** Its API key, and its name. */
  readonly key: string;
  /** Allotment in requests per second; 0 for none. */
  readonly allotmentPerS: number;
  readonly callsPerS: number;
  /** Rate during a period, which is several times the usual one for some. */
  readonly surge: {
    readonly callsPerS: number;
    readonly atMs: number;
    readonly forMs: number;
  };
}

/** Uneven load of one seed. */
export interface PlannedLoads {
  /** Number of instances: too many for a full mesh of heartbeats. */
  readonly instances: number;
  readonly workspaces: readonly PlannedWorkspace[];
  /** Consecutive targets that crash while the coordinator is killed. */
  readonly crash: {
    readonly atMs: number;
    readonly forMs: number;
    /** Selects the first target, modulo their number. */
    readonly index: number;
    readonly count: number;
  };
}

/** Added to a seed, so that this plan does not change the faults drawn for it. */
const SEED_OFFSET = 900_000;

/** The allotments are above the rates of surges, so that no call exceeds them. */
const ALLOTMENTS_PER_S = [100, 200, 0, 100];
const CALLS_PER_S = 6;

const FORGED_SHARE = 0.2;
const SLOW_SHARE = 0.15;

/** Values that are out of range, not numbers, absurd, or not four. */
const FORGED_LOADS = [
  "1,0,4,9",
  "1,0,4,10",
  "1,0,4,10000",
  "1,0,4,10001",
  "0,100000,100000,100",
  "100001,0,4,100",
  "-1,0,4,100",
  "1,0,4,1e3",
  "1,0,4,fast",
  "NaN,Infinity,null,undefined",
  "1,0,4,99999999999999999999999999",
  ",,,",
  "1,0,4,100,100",
  "1,0,4",
];

/**
 * Plans uneven load.
 *
 * @param seed The seed.
 * @param lengthMs Duration of the seed's load in milliseconds.
 * @returns The load, which is the same for the same arguments.
 */
export function planLoads(seed: number, lengthMs: number): PlannedLoads {
  const draw = new Draw(seed + SEED_OFFSET);
  const surges = draw.between(1, 3);
  return {
    instances: draw.between(14, 17),
    workspaces: ALLOTMENTS_PER_S.map((allotmentPerS, index) => ({
      key: `key-of-w-${index}`,
      allotmentPerS,
      callsPerS: CALLS_PER_S,
      surge: {
        callsPerS: CALLS_PER_S * (index < surges ? draw.between(5, 9) : 1),
        atMs: draw.between(0, lengthMs / 2),
        forMs: draw.between(2000, 4000),
      },
    })),
    crash: {
      atMs: draw.between(lengthMs / 4, lengthMs / 2),
      forMs: draw.between(500, 3000),
      index: draw.between(0, 1000),
      count: draw.between(2, 4),
    },
  };
}

/**
 * Draws the value of a header by which a target reports its load.
 *
 * @param draw Source of the draw.
 * @returns The value, which may be forged.
 */
export function drawLoadHeader(draw: Draw): string {
  if (draw.withProbability(FORGED_SHARE)) {
    return draw.oneOf(FORGED_LOADS);
  }
  const running = draw.between(0, 5);
  const waiting = running < 4 ? 0 : draw.between(0, 6);
  const percent = draw.withProbability(SLOW_SHARE) ? 250 : 100;
  return `${running},${waiting},4,${percent}`;
}
