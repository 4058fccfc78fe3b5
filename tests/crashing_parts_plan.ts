/** Plans runs in which parts of prompts crash the targets that run them. */

import { Draw } from "./soak_draw.ts";

/** Position of a crashing part among the parts of a prompt. */
export enum PartPosition {
  First = "first",
  Middle = "middle",
}

/** A part of prompts that crashes each target that begins to answer it. */
export interface CrashingPart {
  readonly id: string;
  readonly position: PartPosition;
  /** Requests with the part in a second. */
  readonly requestsPerS: number;
  /** When the first request with the part is sent. */
  readonly fromMs: number;
}

/** A disturbance of the fleet beside the crashes. */
export enum FleetFault {
  InstanceKilled = "instance_killed",
  TargetExits = "target_exits",
}

/** A disturbance and when it happens. */
export interface PlannedFleetFault {
  readonly fault: FleetFault;
  readonly atMs: number;
  /** Selects the instance or target, modulo their number. */
  readonly index: number;
}

/** Fleet, load and faults of a run. */
export interface CrashingPartsPlan {
  readonly seed: number;
  readonly instances: number;
  readonly engines: number;
  readonly parts: readonly CrashingPart[];
  /** Callers that send sound requests, one at a time. */
  readonly soundCallers: number;
  /** Sound requests of a caller that share the part of one session. */
  readonly requestsPerSession: number;
  /** Time from the start of a request to the crash. */
  readonly crashDelayMs: number;
  /** Time until a crashed target is started again. */
  readonly restartDelayMs: number;
  readonly lengthMs: number;
  readonly faults: readonly PlannedFleetFault[];
}

const FIRST_CRASH_MS = 1500;
const SECOND_PART_DELAY_MS = 3000;
const SECOND_PART_SHARE = 0.4;
const FAULT_SHARE = 0.5;
const REQUESTS_PER_S = [1, 5, 20];

/**
 * Plans a run.
 *
 * @param seed Any whole number.
 * @param lengthMs Duration of the load.
 * @returns The plan, which is the same for the same seed and duration.
 */
export function planCrashingParts(
  seed: number,
  lengthMs: number,
): CrashingPartsPlan {
  const draw = new Draw(seed);
  const count = draw.withProbability(SECOND_PART_SHARE) ? 2 : 1;
  const parts = Array.from({ length: count }, (_, index) => ({
    id: `bad${index}`,
    position: draw.oneOf(Object.values(PartPosition)),
    requestsPerS: draw.oneOf(REQUESTS_PER_S),
    fromMs: FIRST_CRASH_MS + index * draw.between(0, SECOND_PART_DELAY_MS),
  }));
  return {
    seed,
    instances: draw.between(3, 9),
    engines: draw.between(4, 13),
    parts,
    soundCallers: draw.between(8, 17),
    requestsPerSession: draw.between(1, 30),
    crashDelayMs: draw.between(5, 80),
    restartDelayMs: draw.between(500, 3000),
    lengthMs,
    faults: draw.withProbability(FAULT_SHARE)
      ? [planFault(draw, lengthMs), planFault(draw, lengthMs)]
      : [],
  };
}

function planFault(draw: Draw, lengthMs: number): PlannedFleetFault {
  return {
    fault: draw.oneOf(Object.values(FleetFault)),
    atMs: draw.between(0, lengthMs),
    index: draw.between(0, 1000),
  };
}
