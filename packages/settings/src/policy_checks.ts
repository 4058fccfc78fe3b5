/** Checks that the values in force for each policy fit one another. */

import type { PolicyScope } from "./policy.ts";
import type { PolicyField } from "./policy_fields.ts";
import { type LayerValue, layerValues, LEVEL_ORDER } from "./policy_layers.ts";
import { namesAt } from "./raw_view.ts";
import type { PlacedFault } from "./placed_fault.ts";
import { SettingsFaultKind } from "./settings_fault.ts";

interface OrderRule {
  readonly smaller: PolicyField;
  readonly larger: PolicyField;
}

const RULES: readonly OrderRule[] = [
  { smaller: "deadlineMs", larger: "maxDeadlineMs" },
  { smaller: "expectedOutputTokens", larger: "maxOutputTokens" },
];

/** Fields of a workspace that can change what is checked here. */
const CHECKED_FIELDS: ReadonlySet<string> = new Set([
  ...RULES.flatMap(({ smaller, larger }) => [smaller, larger]),
  "tiers",
]);

/**
 * Checks every policy that the tree can resolve to.
 *
 * @param root The parsed tree.
 * @returns One fault a place, told for the first policy that it breaks.
 */
export function policyFaults(root: unknown): PlacedFault[] {
  const byPath = new Map<string, PlacedFault>();
  for (const scope of scopesOf(root)) {
    for (const rule of RULES) {
      const found = ruleFault(root, rule, { scope });
      if (found === undefined || byPath.has(found.fault.path)) continue;
      byPath.set(found.fault.path, found);
    }
  }
  return [...byPath.values()];
}

function* scopesOf(root: unknown): Generator<PolicyScope> {
  const regions = namesAt(root, ["regions"]);
  const workspaces = unlikeWorkspaces(root, regions);
  const tiers = namesAt(root, ["tiers"]);
  for (const region of regions) {
    for (const workspace of workspaces) {
      for (const tier of tiers) yield { region, workspace, tier };
    }
  }
}

/** Workspaces that set nothing checked here are alike: the first stands for all. */
function unlikeWorkspaces(root: unknown, regions: string[]): string[] {
  const maps = regions.map((region) => ["regions", region, "workspaces"]);
  const setsChecked = (workspace: string) =>
    [["workspaces"], ...maps].some((path) =>
      namesAt(root, [...path, workspace])
        .some((field) => CHECKED_FIELDS.has(field))
    );
  const workspaces = namesAt(root, ["workspaces"]);
  const plain = workspaces.find((workspace) => !setsChecked(workspace));
  return workspaces
    .filter((workspace) => workspace === plain || setsChecked(workspace));
}

function ruleFault(
  root: unknown,
  { smaller, larger }: OrderRule,
  { scope }: { readonly scope: PolicyScope },
): PlacedFault | undefined {
  const low = inForce(root, smaller, { scope });
  const high = inForce(root, larger, { scope });
  if (typeof low.value !== "number") return undefined;
  if (typeof high.value !== "number") return undefined;
  if (low.value <= high.value) return undefined;
  const culprit = strongerOf(low, high);
  return {
    steps: culprit.path.split("."),
    fault: {
      kind: SettingsFaultKind.Conflict,
      path: culprit.path,
      found: String(culprit.value),
      allowed: `${smaller} of at most ${larger}`,
      message: `in region ${scope.region}, workspace ${scope.workspace}, ` +
        `tier ${scope.tier}, ${smaller} is ${low.value} and ` +
        `${larger} is ${high.value}`,
    },
  };
}

function inForce(
  root: unknown,
  field: PolicyField,
  { scope }: { readonly scope: PolicyScope },
): LayerValue {
  return layerValues(root, field, { scope }).at(-1) as LayerValue;
}

/** The value set at the stronger level is the one that broke the order. */
function strongerOf(left: LayerValue, right: LayerValue): LayerValue {
  const leftLevel = LEVEL_ORDER.indexOf(left.level);
  const rightLevel = LEVEL_ORDER.indexOf(right.level);
  return leftLevel >= rightLevel ? left : right;
}
