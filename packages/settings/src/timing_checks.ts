/** Checks the ratios between the times of `fleet.timing`. */

import { TIMING_FIELDS, type TimingField } from "./policy_fields.ts";
import { numberAt, type TreePath } from "./unchecked_tree.ts";
import type { LocatedFault } from "./located_fault.ts";
import { joinPath, SettingsFaultKind } from "./settings_fault.ts";

/** A lower bound of one time as a multiple of another. */
interface TimingRule {
  readonly longer: TimingField;
  readonly shorter: TimingField;
  /** Smallest ratio of the longer time to the shorter one. */
  readonly minRatio: number;
  readonly message: string;
}

const TIMING_RULES: readonly TimingRule[] = [
  {
    longer: "memberTimeoutMs",
    shorter: "heartbeatMs",
    minRatio: 3,
    message: "two lost heartbeats must not make a member count as gone",
  },
  {
    longer: "grantLifetimeMs",
    shorter: "askTimeoutMs",
    minRatio: 2,
    message: "a grant must outlive the ask that it answers",
  },
  {
    longer: "askExpiryMs",
    shorter: "holderReportMs",
    minRatio: 2,
    message: "one lost report must not drop a waiting ask",
  },
];

/**
 * Checks the times of `fleet.timing` against {@link TIMING_RULES}.
 *
 * @param root Root of the parsed tree.
 * @returns One fault for each violated rule.
 */
export function timingFaults(root: unknown): LocatedFault[] {
  return TIMING_RULES.flatMap((rule) => {
    const longerMs = timingValueMs(root, rule.longer);
    const minMs = timingValueMs(root, rule.shorter) * rule.minRatio;
    if (longerMs >= minMs) return [];
    const steps = timingPath(rule.longer);
    return [{
      steps,
      fault: {
        kind: SettingsFaultKind.Conflict,
        path: joinPath(steps),
        found: String(longerMs),
        allowed:
          `at least ${rule.minRatio} times ${rule.shorter} (${minMs} ms)`,
        message: rule.message,
      },
    }];
  });
}

function timingValueMs(root: unknown, field: TimingField): number {
  return numberAt(root, timingPath(field)) ?? TIMING_FIELDS[field].initial;
}

function timingPath(field: TimingField): TreePath {
  return ["fleet", "timing", field];
}
