/** Faults together with their place, until their lines are looked up. */

import { joinPath, type SettingsFault } from "./settings_fault.ts";

/** A fault together with the steps of its path. */
export interface PlacedFault {
  readonly steps: readonly PropertyKey[];
  readonly fault: SettingsFault;
}

/**
 * Builds a fault at a path.
 *
 * @param steps The path.
 * @param fault The rest of the fault.
 * @returns The fault with its path.
 */
export function faultAt(
  steps: readonly PropertyKey[],
  fault: Omit<SettingsFault, "path">,
): PlacedFault {
  return { steps, fault: { ...fault, path: joinPath(steps) } };
}
