/** Checks that names used in one part of the tree are described in another. */

import { nearestName } from "./nearest_name.ts";
import { faultAt, type PlacedFault } from "./placed_fault.ts";
import { namesAt, textAt, textsAt, type TreePath } from "./raw_view.ts";
import { describeValue, SettingsFaultKind } from "./settings_fault.ts";

/**
 * Finds names that nothing describes.
 *
 * @param root The parsed tree.
 * @returns One fault for each use of such a name.
 */
export function referenceFaults(root: unknown): PlacedFault[] {
  return [...refinementFaults(root), ...targetFaults(root)];
}

function refinementFaults(root: unknown): PlacedFault[] {
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
      unknownNames(root, { path, known: workspaces, what: "workspace" })
    ),
    ...tierMaps.flatMap((path) =>
      unknownNames(root, { path, known: tiers, what: "tier" })
    ),
  ];
}

function unknownNames(
  root: unknown,
  { path, known, what }: {
    readonly path: TreePath;
    readonly known: readonly string[];
    readonly what: string;
  },
): PlacedFault[] {
  return namesAt(root, path)
    .flatMap((name) =>
      unknownName({ steps: [...path, name], name, known, what })
    );
}

function targetFaults(root: unknown): PlacedFault[] {
  const pools = namesAt(root, ["pools"]);
  const domains = namesAt(root, ["regions"]).flatMap((region) =>
    textsAt(root, ["regions", region, "failureDomains"])
  );
  return namesAt(root, ["targets"]).flatMap((target) => {
    const poolSteps = ["targets", target, "pool"];
    const domainSteps = ["targets", target, "failureDomain"];
    return [
      ...unknownName({
        steps: poolSteps,
        name: textAt(root, poolSteps),
        known: pools,
        what: "pool",
      }),
      ...unknownName({
        steps: domainSteps,
        name: textAt(root, domainSteps),
        known: domains,
        what: "failure domain",
      }),
    ];
  });
}

function unknownName({ steps, name, known, what }: {
  readonly steps: TreePath;
  readonly name: string | undefined;
  readonly known: readonly string[];
  readonly what: string;
}): PlacedFault[] {
  if (name === undefined || known.includes(name)) return [];
  // With nothing to refer to, the empty or faulty section is told instead.
  if (known.length === 0) return [];
  const nearest = nearestName(name, known);
  const hint = nearest === undefined ? "" : `, did you mean "${nearest}"?`;
  return [faultAt(steps, {
    kind: SettingsFaultKind.UnknownReference,
    found: describeValue(name),
    allowed: [...new Set(known)].join(", "),
    message: `unknown ${what} "${name}"${hint}`,
  })];
}
