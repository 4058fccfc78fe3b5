/**
 * Checks that involve several fields of the settings tree. They run on a tree
 * that may violate the schema, so that all faults are reported at once, and
 * skip values that the schema reports.
 */

import { faultAt, type LocatedFault } from "./located_fault.ts";
import { policyFaults } from "./policy_checks.ts";
import { poolFaults } from "./pool_checks.ts";
import { isMap, valueAt } from "./unchecked_tree.ts";
import { referenceFaults } from "./reference_checks.ts";
import { uniquenessFaults } from "./uniqueness_checks.ts";
import { SettingsFaultKind } from "./settings_fault.ts";
import { timingFaults } from "./timing_checks.ts";

type Check = (root: unknown) => LocatedFault[];

const CHECKS: readonly Check[] = [
  emptySectionFaults,
  uniquenessFaults,
  referenceFaults,
  poolFaults,
  timingFaults,
  policyFaults,
];

const REQUIRED_SECTIONS = ["regions", "tiers", "workspaces", "pools"];

/**
 * Runs every check that involves several fields.
 *
 * @param root Root of the parsed tree.
 * @returns All faults found.
 */
export function crossFieldFaults(root: unknown): LocatedFault[] {
  return CHECKS.flatMap((check) => check(root));
}

function emptySectionFaults(root: unknown): LocatedFault[] {
  if (!isMap(root ?? {})) return [];
  return REQUIRED_SECTIONS
    .filter((section) => isEmptySection(valueAt(root, [section])))
    .map((section) =>
      faultAt([section], {
        kind: SettingsFaultKind.Missing,
        found: "nothing",
        allowed: "at least one entry",
        message: `no ${section} are described`,
      })
    );
}

function isEmptySection(value: unknown): boolean {
  if (value === undefined || value === null) return true;
  return isMap(value) && Object.keys(value).length === 0;
}
