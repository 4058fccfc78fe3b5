/** Checks that every name that the settings tree refers to is defined in it. */

import { nearestName } from "./nearest_name.ts";
import { faultAt, type LocatedFault } from "./located_fault.ts";
import {
  namesAt,
  stringAt,
  stringsAt,
  type TreePath,
} from "./unchecked_tree.ts";
import { describeValue, SettingsFaultKind } from "./settings_fault.ts";

/**
 * Finds references to tiers, workspaces, pools and failure domains that the
 * tree does not define.
 *
 * @param root Root of the parsed tree.
 * @returns One fault for each undefined reference.
 */
export function referenceFaults(root: unknown): LocatedFault[] {
  return [...overrideReferenceFaults(root), ...targetReferenceFaults(root)];
}

function overrideReferenceFaults(root: unknown): LocatedFault[] {
  const tiers = namesAt(root, ["tiers"]);
  const workspaces = namesAt(root, ["workspaces"]);
  const regionPaths = namesAt(root, ["regions"])
    .map((region) => ["regions", region]);
  const workspaceMaps = regionPaths.map((path) => [...path, "workspaces"]);
  const workspacePaths = [["workspaces"], ...workspaceMaps]
    .flatMap((path) => namesAt(root, path).map((name) => [...path, name]));
  const tierMaps = [...regionPaths, ...workspacePaths]
    .map((path) => [...path, "tiers"]);
  return [
    ...workspaceMaps.flatMap((path) =>
      unknownKeyFaults(root, {
        path,
        known: workspaces,
        entryKind: "workspace",
      })
    ),
    ...tierMaps.flatMap((path) =>
      unknownKeyFaults(root, { path, known: tiers, entryKind: "tier" })
    ),
  ];
}

function unknownKeyFaults(
  root: unknown,
  { path, known, entryKind }: {
    readonly path: TreePath;
    readonly known: readonly string[];
    readonly entryKind: string;
  },
): LocatedFault[] {
  return namesAt(root, path)
    .flatMap((name) =>
      unknownReferenceFaults({ steps: [...path, name], name, known, entryKind })
    );
}

function targetReferenceFaults(root: unknown): LocatedFault[] {
  const pools = namesAt(root, ["pools"]);
  const domains = namesAt(root, ["regions"]).flatMap((region) =>
    stringsAt(root, ["regions", region, "failureDomains"])
  );
  return namesAt(root, ["targets"]).flatMap((target) => {
    const poolSteps = ["targets", target, "pool"];
    const domainSteps = ["targets", target, "failureDomain"];
    return [
      ...unknownReferenceFaults({
        steps: poolSteps,
        name: stringAt(root, poolSteps),
        known: pools,
        entryKind: "pool",
      }),
      ...unknownReferenceFaults({
        steps: domainSteps,
        name: stringAt(root, domainSteps),
        known: domains,
        entryKind: "failure domain",
      }),
    ];
  });
}

function unknownReferenceFaults({ steps, name, known, entryKind }: {
  readonly steps: TreePath;
  readonly name: string | undefined;
  readonly known: readonly string[];
  readonly entryKind: string;
}): LocatedFault[] {
  if (name === undefined || known.includes(name)) return [];
  // Where no names are defined, the empty or faulty section is the fault.
  if (known.length === 0) return [];
  const nearest = nearestName(name, known);
  const hint = nearest === undefined ? "" : `, did you mean "${nearest}"?`;
  return [faultAt(steps, {
    kind: SettingsFaultKind.UnknownReference,
    found: describeValue(name),
    allowed: [...new Set(known)].join(", "),
    message: `unknown ${entryKind} "${name}"${hint}`,
  })];
}
