/**
 * Random series of disturbances for a simulated fleet: several of them may
 * overlap, as the operators saw.
 */

import type { RandomSource } from "@chestnuthatch/core/random_source";
import { DOMAIN_OF } from "./partition_test_support.ts";
import {
  IDS,
  SpendingFleet,
  WINDOW_MS,
} from "./spending_fleet_test_support.ts";

const DOMAINS = [...new Set(Object.values(DOMAIN_OF))];

/** Disturbances of a fleet. */
enum Disturbance {
  /** One instance is killed. */
  Kill = "kill",
  /** The coordinator is killed. */
  KillCoordinator = "kill_coordinator",
  /** Several instances are killed at once, or all of them. */
  KillMany = "kill_many",
  /** All instances are killed or stopped one after another. */
  RestartAll = "restart_all",
  /** One instance leaves and starts again. */
  Stop = "stop",
  /** One instance stands still. */
  Freeze = "freeze",
  /** A failure domain is cut off from the others. */
  Partition = "partition",
  /** The store gives no answers. */
  SilentStore = "silent_store",
}

/** Begins a disturbance; returns after a part of it at the latest. */
type Disturb = (fleet: SpendingFleet) => void;

const KINDS = Object.values(Disturbance);

const BEGIN: Readonly<Record<Disturbance, Disturb>> = {
  [Disturbance.Kill]: (fleet) => {
    fleet.restart(pick(IDS, fleet.random), downMs(fleet.random));
  },
  [Disturbance.KillCoordinator]: (fleet) => {
    fleet.restart(fleet.coordinatorId, downMs(fleet.random));
  },
  [Disturbance.KillMany]: (fleet) => {
    const { random } = fleet;
    const share = pick([0.4, 0.85, 1], random);
    const forMs = downMs(random);
    IDS.filter(() => random.next() < share)
      .forEach((id) => fleet.restart(id, forMs));
  },
  [Disturbance.RestartAll]: (fleet) => {
    const { random } = fleet;
    const end = random.next() < 0.5
      ? (id: string) => fleet.restart(id)
      : (id: string) => fleet.stop(id);
    let delayMs = 0;
    for (const id of shuffled(IDS, random)) {
      fleet.schedule(delayMs, () => end(id));
      delayMs += between(200, 1500, random);
    }
  },
  [Disturbance.Stop]: (fleet) => {
    const { random } = fleet;
    fleet.stop(pick(IDS, random), { downMs: downMs(random) });
  },
  [Disturbance.Freeze]: (fleet) => {
    const { random, coordinatorId } = fleet;
    const id = random.next() < 0.5 ? coordinatorId : pick(IDS, random);
    fleet.freeze(id, between(500, 6000, random));
  },
  [Disturbance.Partition]: (fleet) => {
    const { random } = fleet;
    if (!fleet.isPartitioned) {
      const forMs = random.next() < 0.3
        ? between(20_000, 35_000, random)
        : between(500, 9000, random);
      fleet.isolate(pick(DOMAINS, random), { fromStore: random.next() < 0.5 });
      fleet.schedule(forMs, () => fleet.isolate());
    }
  },
  [Disturbance.SilentStore]: (fleet) => {
    fleet.store.isSilent = true;
    fleet.schedule(between(300, 6000, fleet.random), () => {
      fleet.store.isSilent = false;
    });
  },
};

/**
 * Runs a fleet through a random series of disturbances.
 *
 * @param seed Seed of the demand and of the disturbances.
 * @param forMs Duration in milliseconds.
 * @returns The fleet, and what disturbed it.
 */
export async function runSeries(
  seed: number,
  forMs: number,
): Promise<{ fleet: SpendingFleet; disturbances: string[] }> {
  const isQueueing = seed % 3 === 0;
  const fleet = new SpendingFleet(
    isQueueing ? { seed, targets: 40, workMs: 2000 } : { seed },
  );
  const { random } = fleet;
  const disturbances: string[] = [];
  await fleet.run(WINDOW_MS);
  while (fleet.clock.atMs < forMs) {
    const kind = pick(KINDS, random);
    disturbances.push(`${fleet.clock.atMs} ${kind}`);
    BEGIN[kind](fleet);
    await fleet.run(between(200, 4000, random));
  }
  fleet.isolate();
  await fleet.run(WINDOW_MS);
  return { fleet, disturbances };
}

/**
 * Draws a whole number of steps of 20 ms.
 *
 * @param minMs Lowest duration in milliseconds.
 * @param maxMs Highest duration in milliseconds.
 * @param random Source of the draw.
 * @returns Duration in milliseconds.
 */
export function between(
  minMs: number,
  maxMs: number,
  random: RandomSource,
): number {
  const steps = Math.floor(random.next() * (maxMs - minMs) / 20);
  return minMs + steps * 20;
}

/**
 * @param items Any items.
 * @param random Source of the order.
 * @returns The items in random order.
 */
export function shuffled<T>(items: readonly T[], random: RandomSource): T[] {
  const result = [...items];
  for (let i = result.length - 1; i > 0; i--) {
    const j = Math.floor(random.next() * (i + 1));
    [result[i], result[j]] = [result[j]!, result[i]!];
  }
  return result;
}

function pick<T>(items: readonly T[], random: RandomSource): T {
  return items[Math.floor(random.next() * items.length)]!;
}

function downMs(random: RandomSource): number {
  return random.next() < 0.7 ? 600 : between(600, 8000, random);
}
