/** Checks that the times of `fleet.timing` fit one another. */

import { TIMING_FIELDS, type TimingField } from "./policy_fields.ts";
import { numberAt, type TreePath } from "./raw_view.ts";
import type { PlacedFault } from "./placed_fault.ts";
import { joinPath, SettingsFaultKind } from "./settings_fault.ts";

interface TimingRule {
  readonly longer: TimingField;
  readonly shorter: TimingField;
  /** How many times the shorter must fit into the longer. */
  readonly times: number;
  readonly reason: string;
}

const RULES: readonly TimingRule[] = [
  {
    longer: "memberTimeoutMs",
    shorter: "heartbeatMs",
    times: 3,
    reason: "two lost heartbeats must not make a member count as gone",
  },
  {
    longer: "grantLifetimeMs",
    shorter: "askTimeoutMs",
    times: 2,
    reason: "a grant must outlive the ask that it answers",
  },
  {
    longer: "askExpiryMs",
    shorter: "holderReportMs",
    times: 2,
    reason: "one lost report must not drop a waiting ask",
  },
];

/**
 * Checks the times against one another.
 *
 * @param root The parsed tree.
 * @returns One fault for each rule that is broken.
 */
export function timingFaults(root: unknown): PlacedFault[] {
  return RULES.flatMap((rule) => {
    const longerMs = timeOf(root, rule.longer);
    const leastMs = timeOf(root, rule.shorter) * rule.times;
    if (longerMs >= leastMs) return [];
    const steps = pathOf(rule.longer);
    return [{
      steps,
      fault: {
        kind: SettingsFaultKind.Conflict,
        path: joinPath(steps),
        found: String(longerMs),
        allowed: `at least ${rule.times} times ${rule.shorter} (${leastMs} ms)`,
        message: rule.reason,
      },
    }];
  });
}

function timeOf(root: unknown, field: TimingField): number {
  return numberAt(root, pathOf(field)) ?? TIMING_FIELDS[field].initial;
}

function pathOf(field: TimingField): TreePath {
  return ["fleet", "timing", field];
}
