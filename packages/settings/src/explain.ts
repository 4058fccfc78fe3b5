/** Shows which level of the settings tree sets each value of a policy. */

import type { PolicyScope, TierPolicy } from "./settings_types.ts";
import { POLICY_FIELD_NAMES, type PolicyField } from "./policy_fields.ts";
import { type LevelValue, levelValues, PolicyLevel } from "./policy_levels.ts";
import type { SettingsTree } from "./tree_schema.ts";

/** One policy value in force, its origin and the values it overrides. */
export interface ExplainedValue {
  readonly field: PolicyField;
  readonly value: TierPolicy[PolicyField];
  readonly level: PolicyLevel;
  /** Path of the value in the tree; empty for the shipped default. */
  readonly path: string;
  /** Overridden values, in descending precedence. */
  readonly overridden: readonly LevelValue[];
}

/**
 * Lists every value of one policy with its origin.
 *
 * @param tree The checked settings tree.
 * @param scope Region, workspace and tier of the policy.
 * @returns One entry per field, in the order of {@link POLICY_FIELD_NAMES}.
 */
export function explainPolicy(
  tree: SettingsTree,
  scope: PolicyScope,
): ExplainedValue[] {
  return POLICY_FIELD_NAMES.map((field) => {
    const [inForce, ...overridden] = levelValues(tree, field, { scope })
      .reverse();
    return { field, ...inForce, overridden };
  });
}

/**
 * Renders an explained value as one line of text.
 *
 * @param explained The value.
 * @returns Field, value, origin and the overridden values.
 */
export function describeExplained(explained: ExplainedValue): string {
  const { field, value, overridden } = explained;
  const overriddenTexts = overridden
    .map((levelValue) =>
      `${levelValue.value} from ${describeOrigin(levelValue)}`
    );
  const overrideText = overriddenTexts.length === 0
    ? ""
    : `, overrides ${overriddenTexts.join(", ")}`;
  return `${field} = ${value} from ${describeOrigin(explained)}${overrideText}`;
}

function describeOrigin({ level, path }: LevelValue): string {
  return level === PolicyLevel.Default ? "the shipped default" : path;
}
