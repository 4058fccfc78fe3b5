/** Faults with the path that `readSettings` needs to find their line. */

import { joinPath, type SettingsFault } from "./settings_fault.ts";

/** A settings fault together with the keys of its path. */
export interface LocatedFault {
  /** Keys and list positions from the root of the settings tree. */
  readonly steps: readonly PropertyKey[];
  readonly fault: SettingsFault;
}

/**
 * Builds a settings fault at a path.
 *
 * @param steps Keys and list positions from the root of the settings tree.
 * @param fault The fault without its path.
 * @returns The fault with its path.
 */
export function faultAt(
  steps: readonly PropertyKey[],
  fault: Omit<SettingsFault, "path">,
): LocatedFault {
  return { steps, fault: { ...fault, path: joinPath(steps) } };
}
