/** Tells for any (region, workspace, tier) where each value comes from. */

import type { PolicyScope, TierPolicy } from "./policy.ts";
import { POLICY_FIELD_NAMES, type PolicyField } from "./policy_fields.ts";
import { type LayerValue, layerValues, PolicyLevel } from "./policy_layers.ts";
import type { SettingsTree } from "./tree_schema.ts";

/** One value in force, and what it overrode. */
export interface ExplainedValue {
  readonly field: PolicyField;
  readonly value: TierPolicy[PolicyField];
  readonly level: PolicyLevel;
  /** Path of the value in the tree; empty for the shipped default. */
  readonly path: string;
  /** Values that lost, the strongest first. */
  readonly overridden: readonly LayerValue[];
}

/**
 * Explains every value of one policy.
 *
 * @param tree The checked tree.
 * @param scope Where the policy is asked for.
 * @returns One entry a field, in a fixed order.
 */
export function explainPolicy(
  tree: SettingsTree,
  scope: PolicyScope,
): ExplainedValue[] {
  return POLICY_FIELD_NAMES.map((field) => {
    const [inForce, ...overridden] = layerValues(tree, field, { scope })
      .reverse();
    return { field, ...inForce, overridden };
  });
}

/**
 * Renders an explained value as one line of text.
 *
 * @param explained The value.
 * @returns Field, value, origin and what it overrode.
 */
export function describeExplained(explained: ExplainedValue): string {
  const { field, value, overridden } = explained;
  const losers = overridden
    .map((loser) => `${loser.value} from ${describeOrigin(loser)}`);
  const over = losers.length === 0 ? "" : `, overrides ${losers.join(", ")}`;
  return `${field} = ${value} from ${describeOrigin(explained)}${over}`;
}

function describeOrigin({ level, path }: LayerValue): string {
  return level === PolicyLevel.Default ? "the shipped default" : path;
}
