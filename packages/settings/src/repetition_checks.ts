/** Checks for entries that exclude one another because they are alike. */

import { faultAt, type PlacedFault } from "./placed_fault.ts";
import {
  namesAt,
  numberAt,
  textAt,
  textsAt,
  type TreePath,
} from "./raw_view.ts";
import { SettingsFaultKind } from "./settings_fault.ts";

interface NamedPlace {
  readonly name: string;
  readonly steps: TreePath;
  readonly holder: string;
}

/**
 * Finds what stands twice: failure domains, ranks, addresses and drains.
 *
 * @param root The parsed tree.
 * @returns One fault for each second entry.
 */
export function repetitionFaults(root: unknown): PlacedFault[] {
  return [
    ...domainsInTwoRegions(root),
    ...duplicateRanks(root),
    ...duplicateAddresses(root),
    ...repeatedDrains(root),
  ];
}

function domainsInTwoRegions(root: unknown): PlacedFault[] {
  const places = namesAt(root, ["regions"]).flatMap((region) =>
    textsAt(root, ["regions", region, "failureDomains"]).map((name) => ({
      name,
      steps: ["regions", region, "failureDomains"],
      holder: `region ${region}`,
    }))
  );
  return repeated(places, "a failure domain in one region, once");
}

function duplicateRanks(root: unknown): PlacedFault[] {
  const places = namesAt(root, ["tiers"]).flatMap((tier) => {
    const rank = numberAt(root, ["tiers", tier, "rank"]);
    if (rank === undefined) return [];
    return [{
      name: String(rank),
      steps: ["tiers", tier, "rank"],
      holder: `tier ${tier}`,
    }];
  });
  return repeated(places, "a rank of its own for each tier");
}

function duplicateAddresses(root: unknown): PlacedFault[] {
  const places = namesAt(root, ["targets"]).flatMap((target) => {
    const name = textAt(root, ["targets", target, "address"]);
    if (name === undefined) return [];
    return [{
      name,
      steps: ["targets", target, "address"],
      holder: `target ${target}`,
    }];
  });
  return repeated(places, "an address of its own for each target");
}

function repeatedDrains(root: unknown): PlacedFault[] {
  const places = textsAt(root, ["drainingInstances"]).map((name) => ({
    name,
    steps: ["drainingInstances"],
    holder: "an earlier entry",
  }));
  return repeated(places, "each instance once");
}

function repeated(
  places: readonly NamedPlace[],
  allowed: string,
): PlacedFault[] {
  const holders = new Map<string, string>();
  return places.flatMap(({ name, steps, holder }) => {
    const first = holders.get(name);
    if (first === undefined) holders.set(name, holder);
    if (first === undefined) return [];
    return [faultAt(steps, {
      kind: SettingsFaultKind.Conflict,
      found: name,
      allowed,
      message: `${name} is already used by ${first}`,
    })];
  });
}
