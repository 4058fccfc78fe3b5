/**
 * The levels of the settings tree that apply to one (region, workspace, tier),
 * in ascending precedence: each level overrides all before it. Levels that name
 * no tier come first (fleet, region, workspace, workspace in that region); then
 * the levels that name the tier, in the same order. A value set for a tier
 * therefore always overrides a value set without one.
 */

import type { PolicyScope, TierPolicy } from "./settings_types.ts";
import { POLICY_FIELDS, type PolicyField } from "./policy_fields.ts";
import { joinPath } from "./settings_fault.ts";
import { type TreePath, valueAt } from "./unchecked_tree.ts";

/** Levels of the settings tree at which a policy field can be set. */
export enum PolicyLevel {
  Default = "default",
  Fleet = "fleet",
  Region = "region",
  Workspace = "workspace",
  RegionWorkspace = "region_workspace",
  Tier = "tier",
  RegionTier = "region_tier",
  WorkspaceTier = "workspace_tier",
  RegionWorkspaceTier = "region_workspace_tier",
}

/** The value of a policy field at one level of the settings tree. */
export interface LevelValue {
  readonly value: TierPolicy[PolicyField];
  readonly level: PolicyLevel;
  /** Path of the value in the tree; empty for the shipped default. */
  readonly path: string;
}

/** Where the settings tree stores the fields of one level. */
interface LevelLookup {
  readonly level: PolicyLevel;
  readonly pathFor: (scope: PolicyScope) => TreePath;
}

const LEVEL_LOOKUPS: readonly LevelLookup[] = [
  { level: PolicyLevel.Fleet, pathFor: () => ["fleet"] },
  {
    level: PolicyLevel.Region,
    pathFor: ({ region }) => ["regions", region],
  },
  {
    level: PolicyLevel.Workspace,
    pathFor: ({ workspace }) => ["workspaces", workspace],
  },
  {
    level: PolicyLevel.RegionWorkspace,
    pathFor: ({ region, workspace }) => [
      "regions",
      region,
      "workspaces",
      workspace,
    ],
  },
  { level: PolicyLevel.Tier, pathFor: ({ tier }) => ["tiers", tier] },
  {
    level: PolicyLevel.RegionTier,
    pathFor: ({ region, tier }) => ["regions", region, "tiers", tier],
  },
  {
    level: PolicyLevel.WorkspaceTier,
    pathFor: ({ workspace, tier }) => [
      "workspaces",
      workspace,
      "tiers",
      tier,
    ],
  },
  {
    level: PolicyLevel.RegionWorkspaceTier,
    pathFor: ({ region, workspace, tier }) => [
      "regions",
      region,
      "workspaces",
      workspace,
      "tiers",
      tier,
    ],
  },
];

/** All levels in ascending precedence. */
export const LEVEL_ORDER: readonly PolicyLevel[] = [
  PolicyLevel.Default,
  ...LEVEL_LOOKUPS.map(({ level }) => level),
];

/**
 * Lists the values that the levels set for one policy field, in ascending
 * precedence. The last one is in force.
 *
 * @param root Root of a settings tree, checked or not.
 * @param field The policy field.
 * @param options The region, workspace and tier to resolve the field for.
 * @returns The values; the first is the shipped default.
 */
export function levelValues(
  root: unknown,
  field: PolicyField,
  { scope }: { readonly scope: PolicyScope },
): LevelValue[] {
  const values: LevelValue[] = [{
    value: POLICY_FIELDS[field].initial,
    level: PolicyLevel.Default,
    path: "",
  }];
  for (const { level, pathFor } of LEVEL_LOOKUPS) {
    const path = [...pathFor(scope), field];
    const value = valueAt(root, path);
    if (value === undefined) continue;
    values.push({
      value: value as TierPolicy[PolicyField],
      level,
      path: joinPath(path),
    });
  }
  return values;
}
