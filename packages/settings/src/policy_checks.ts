/** Checks that the resolved values of each policy are consistent. */

import type { PolicyScope } from "./settings_types.ts";
import type { PolicyField } from "./policy_fields.ts";
import { LEVEL_ORDER, type LevelValue, levelValues } from "./policy_levels.ts";
import { namesAt } from "./unchecked_tree.ts";
import type { LocatedFault } from "./located_fault.ts";
import { SettingsFaultKind } from "./settings_fault.ts";

/** Requires one policy field to be at most as large as another. */
interface OrderRule {
  readonly smaller: PolicyField;
  readonly larger: PolicyField;
}

const ORDER_RULES: readonly OrderRule[] = [
  { smaller: "deadlineMs", larger: "maxDeadlineMs" },
  { smaller: "expectedOutputTokens", larger: "maxOutputTokens" },
];

/** Keys of a workspace that can change the result of {@link ORDER_RULES}. */
const RULE_RELEVANT_KEYS: ReadonlySet<string> = new Set([
  ...ORDER_RULES.flatMap(({ smaller, larger }) => [smaller, larger]),
  "tiers",
]);

/**
 * Checks {@link ORDER_RULES} for every policy that the tree can resolve to.
 *
 * @param root Root of the parsed tree.
 * @returns At most one fault per path, for the first policy affected.
 */
export function policyFaults(root: unknown): LocatedFault[] {
  const byPath = new Map<string, LocatedFault>();
  for (const scope of distinctScopes(root)) {
    for (const rule of ORDER_RULES) {
      const found = orderFault(root, rule, { scope });
      if (found === undefined || byPath.has(found.fault.path)) continue;
      byPath.set(found.fault.path, found);
    }
  }
  return [...byPath.values()];
}

function* distinctScopes(root: unknown): Generator<PolicyScope> {
  const regions = namesAt(root, ["regions"]);
  const workspaces = distinctWorkspaces(root, regions);
  const tiers = namesAt(root, ["tiers"]);
  for (const region of regions) {
    for (const workspace of workspaces) {
      for (const tier of tiers) yield { region, workspace, tier };
    }
  }
}

/**
 * Lists the workspaces to check. Workspaces that set none of the checked fields
 * resolve to the same values, so only the first of them is listed.
 */
function distinctWorkspaces(root: unknown, regions: string[]): string[] {
  const maps = regions.map((region) => ["regions", region, "workspaces"]);
  const setsRuleField = (workspace: string) =>
    [["workspaces"], ...maps].some((path) =>
      namesAt(root, [...path, workspace])
        .some((field) => RULE_RELEVANT_KEYS.has(field))
    );
  const workspaces = namesAt(root, ["workspaces"]);
  const representative = workspaces.find((workspace) =>
    !setsRuleField(workspace)
  );
  return workspaces
    .filter((workspace) =>
      workspace === representative || setsRuleField(workspace)
    );
}

function orderFault(
  root: unknown,
  { smaller, larger }: OrderRule,
  { scope }: { readonly scope: PolicyScope },
): LocatedFault | undefined {
  const smallerValue = effectiveValue(root, smaller, { scope });
  const largerValue = effectiveValue(root, larger, { scope });
  if (typeof smallerValue.value !== "number") return undefined;
  if (typeof largerValue.value !== "number") return undefined;
  if (smallerValue.value <= largerValue.value) return undefined;
  const overriding = higherPrecedence(smallerValue, largerValue);
  return {
    steps: overriding.path.split("."),
    fault: {
      kind: SettingsFaultKind.Conflict,
      path: overriding.path,
      found: String(overriding.value),
      allowed: `${smaller} of at most ${larger}`,
      message: `in region ${scope.region}, workspace ${scope.workspace}, ` +
        `tier ${scope.tier}, ${smaller} is ${smallerValue.value} and ` +
        `${larger} is ${largerValue.value}`,
    },
  };
}

function effectiveValue(
  root: unknown,
  field: PolicyField,
  { scope }: { readonly scope: PolicyScope },
): LevelValue {
  return levelValues(root, field, { scope }).at(-1) as LevelValue;
}

/** The value of higher precedence overrode the other, so the fault is there. */
function higherPrecedence(left: LevelValue, right: LevelValue): LevelValue {
  const leftLevel = LEVEL_ORDER.indexOf(left.level);
  const rightLevel = LEVEL_ORDER.indexOf(right.level);
  return leftLevel >= rightLevel ? left : right;
}
