/**
 * The levels of the tree that speak for one (region, workspace, tier), lowest
 * first. A level overrides all before it. Levels that name no tier come first
 * (fleet, region, workspace, workspace in that region); then those that name
 * the tier, in the same order. So what is said of a tier always beats what is
 * said without naming one.
 */

import type { PolicyScope, TierPolicy } from "./policy.ts";
import { POLICY_FIELDS, type PolicyField } from "./policy_fields.ts";
import { joinPath } from "./settings_fault.ts";
import { type TreePath, valueAt } from "./raw_view.ts";

/** A level of the tree at which a value can be set. */
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

/** A value as one level sets it. */
export interface LayerValue {
  readonly value: TierPolicy[PolicyField];
  readonly level: PolicyLevel;
  /** Path of the value in the tree; empty for the shipped default. */
  readonly path: string;
}

interface PolicyLayer {
  readonly level: PolicyLevel;
  readonly pathFor: (scope: PolicyScope) => TreePath;
}

const LAYERS: readonly PolicyLayer[] = [
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

/** Levels from the weakest to the strongest. */
export const LEVEL_ORDER: readonly PolicyLevel[] = [
  PolicyLevel.Default,
  ...LAYERS.map(({ level }) => level),
];

/**
 * Lists every value set for one field, weakest first. The last is in force.
 *
 * @param root A checked tree, or one whose shape may still be wrong.
 * @param field The field.
 * @param scope Where the field is asked for.
 * @returns The values; the first is the shipped default.
 */
export function layerValues(
  root: unknown,
  field: PolicyField,
  { scope }: { readonly scope: PolicyScope },
): LayerValue[] {
  const values: LayerValue[] = [{
    value: POLICY_FIELDS[field].initial,
    level: PolicyLevel.Default,
    path: "",
  }];
  for (const { level, pathFor } of LAYERS) {
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
