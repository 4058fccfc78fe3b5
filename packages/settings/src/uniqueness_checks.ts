/** Checks that values which must be unique occur only once. */

import { faultAt, type LocatedFault } from "./located_fault.ts";
import {
  namesAt,
  numberAt,
  stringAt,
  stringsAt,
  type TreePath,
} from "./unchecked_tree.ts";
import { SettingsFaultKind } from "./settings_fault.ts";

/** One occurrence of a value that must be unique. */
interface NameUse {
  readonly name: string;
  readonly steps: TreePath;
  /** Entry that uses the name, as the fault message shows it. */
  readonly usedBy: string;
}

/**
 * Finds failure domains, tier ranks, target addresses and draining instances
 * that occur more than once.
 *
 * @param root Root of the parsed tree.
 * @returns One fault for each occurrence after the first.
 */
export function uniquenessFaults(root: unknown): LocatedFault[] {
  return [
    ...duplicateFailureDomains(root),
    ...duplicateRanks(root),
    ...duplicateAddresses(root),
    ...duplicateDrainingInstances(root),
  ];
}

function duplicateFailureDomains(root: unknown): LocatedFault[] {
  const uses = namesAt(root, ["regions"]).flatMap((region) =>
    stringsAt(root, ["regions", region, "failureDomains"]).map((name) => ({
      name,
      steps: ["regions", region, "failureDomains"],
      usedBy: `region ${region}`,
    }))
  );
  return duplicateFaults(uses, "a failure domain in one region, once");
}

function duplicateRanks(root: unknown): LocatedFault[] {
  const uses = namesAt(root, ["tiers"]).flatMap((tier) => {
    const rank = numberAt(root, ["tiers", tier, "rank"]);
    if (rank === undefined) return [];
    return [{
      name: String(rank),
      steps: ["tiers", tier, "rank"],
      usedBy: `tier ${tier}`,
    }];
  });
  return duplicateFaults(uses, "a rank of its own for each tier");
}

function duplicateAddresses(root: unknown): LocatedFault[] {
  const uses = namesAt(root, ["targets"]).flatMap((target) => {
    const name = stringAt(root, ["targets", target, "address"]);
    if (name === undefined) return [];
    return [{
      name,
      steps: ["targets", target, "address"],
      usedBy: `target ${target}`,
    }];
  });
  return duplicateFaults(uses, "an address of its own for each target");
}

function duplicateDrainingInstances(root: unknown): LocatedFault[] {
  const uses = stringsAt(root, ["drainingInstances"]).map((name) => ({
    name,
    steps: ["drainingInstances"],
    usedBy: "an earlier entry",
  }));
  return duplicateFaults(uses, "each instance once");
}

function duplicateFaults(
  uses: readonly NameUse[],
  allowed: string,
): LocatedFault[] {
  const firstUserByName = new Map<string, string>();
  return uses.flatMap(({ name, steps, usedBy }) => {
    const firstUser = firstUserByName.get(name);
    if (firstUser === undefined) firstUserByName.set(name, usedBy);
    if (firstUser === undefined) return [];
    return [faultAt(steps, {
      kind: SettingsFaultKind.Conflict,
      found: name,
      allowed,
      message: `${name} is already used by ${firstUser}`,
    })];
  });
}
