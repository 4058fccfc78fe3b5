/** Compares what embedded targets ran with what was promised. */

import type { EmbeddedFleet } from "./embedded_fleet.ts";

/**
 * Looks for requests dispatched twice and keys that ran twice.
 *
 * @param fleet The fleet whose stand-ins counted.
 * @returns One line for each broken promise.
 */
export function brokenPromises(fleet: EmbeddedFleet): string[] {
  return [...repeatedDispatches(fleet), ...repeatedKeys(fleet)];
}

function repeatedDispatches({ standins }: EmbeddedFleet): string[] {
  const servers = [...standins.engines.values(), ...standins.services.values()];
  const dispatches = new Map<string, number>();
  for (const { model } of servers) {
    for (const [id, times] of model.counts.dispatchesByRequestId) {
      dispatches.set(id, (dispatches.get(id) ?? 0) + times);
    }
  }
  return [...dispatches].filter(([, times]) => times > 1)
    .map(([id, times]) => `${id} was dispatched ${times} times`);
}

function repeatedKeys({ standins }: EmbeddedFleet): string[] {
  const runs = [...standins.services.values()]
    .flatMap(({ model }) => [...model.counts.runsByKey]);
  return runs.filter(([, times]) => times > 1)
    .map(([key, times]) => `key ${key} ran ${times} times`);
}
