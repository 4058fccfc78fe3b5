/**
 * Checks that reach across the tree. They take a tree whose shape may still be
 * wrong, so that all faults are told at once; a value that the schema already
 * objects to is passed over here.
 */

import { faultAt, type PlacedFault } from "./placed_fault.ts";
import { policyFaults } from "./policy_checks.ts";
import { poolFaults } from "./pool_checks.ts";
import { isMap, valueAt } from "./raw_view.ts";
import { referenceFaults } from "./reference_checks.ts";
import { repetitionFaults } from "./repetition_checks.ts";
import { SettingsFaultKind } from "./settings_fault.ts";
import { timingFaults } from "./timing_checks.ts";

type Check = (root: unknown) => PlacedFault[];

const CHECKS: readonly Check[] = [
  emptySections,
  repetitionFaults,
  referenceFaults,
  poolFaults,
  timingFaults,
  policyFaults,
];

const REQUIRED_SECTIONS = ["regions", "tiers", "workspaces", "pools"];

/**
 * Runs every check across the tree.
 *
 * @param root The parsed tree.
 * @returns All faults found.
 */
export function crossFaults(root: unknown): PlacedFault[] {
  return CHECKS.flatMap((check) => check(root));
}

function emptySections(root: unknown): PlacedFault[] {
  if (!isMap(root ?? {})) return [];
  return REQUIRED_SECTIONS
    .filter((section) => isEmpty(valueAt(root, [section])))
    .map((section) =>
      faultAt([section], {
        kind: SettingsFaultKind.Missing,
        found: "nothing",
        allowed: "at least one entry",
        message: `no ${section} are described`,
      })
    );
}

function isEmpty(value: unknown): boolean {
  if (value === undefined || value === null) return true;
  return isMap(value) && Object.keys(value).length === 0;
}
