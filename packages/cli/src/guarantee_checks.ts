/** Checks the dispatch guarantees against the counts of stand-in targets. */

import type { EmbeddedFleet } from "./embedded_fleet.ts";

/**
 * Finds requests that were dispatched more than once and idempotency keys that
 * ran more than once.
 *
 * @param fleet Fleet whose stand-ins counted dispatches and runs.
 * @returns One line for each broken guarantee.
 */
export function findBrokenGuarantees(fleet: EmbeddedFleet): string[] {
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
