/** Converts the issues of the schema into faults for operators. */

import type * as z from "zod";
import { nearestName } from "./nearest_name.ts";
import { faultAt, type LocatedFault } from "./located_fault.ts";
import { describeValue, SettingsFaultKind } from "./settings_fault.ts";
import { KNOWN_FIELDS_PREFIX } from "./tree_schema.ts";

type Issue = z.core.$ZodIssue;
type IssueWithCode<C extends Issue["code"]> = Extract<Issue, { code: C }>;

/**
 * Converts issues of the schema into settings faults.
 *
 * @param root Root of the parsed tree that the schema was applied to.
 * @param issues The issues that the schema reported.
 * @returns One fault per path, even where a value violates several rules.
 */
export function schemaFaults(
  root: unknown,
  issues: readonly Issue[],
): LocatedFault[] {
  const faults = issues.flatMap((issue) => issueFaults(root, issue));
  const byPath = new Map(
    faults.map((located) => [located.fault.path, located]),
  );
  return [...byPath.values()];
}

function issueFaults(root: unknown, issue: Issue): LocatedFault[] {
  if (issue.code === "unrecognized_keys") return fieldNameFaults(root, issue);
  if (issue.code === "invalid_key") return [invalidNameFault(issue)];
  return [invalidValueFault(root, issue)];
}

function fieldNameFaults(
  root: unknown,
  issue: IssueWithCode<"unrecognized_keys">,
): LocatedFault[] {
  const known = issue.message.slice(KNOWN_FIELDS_PREFIX.length).split(", ");
  return issue.keys.map((key) => {
    const steps = [...issue.path, key];
    const nearest = nearestName(key, known);
    const hint = nearest === undefined ? "" : `, did you mean "${nearest}"?`;
    return faultAt(steps, {
      kind: SettingsFaultKind.UnknownField,
      found: describeValue(valueAtSteps(root, steps)),
      allowed: issue.message,
      message: `unknown field "${key}"${hint}`,
    });
  });
}

function invalidNameFault(issue: IssueWithCode<"invalid_key">): LocatedFault {
  const name = issue.path.at(-1);
  return faultAt(issue.path, {
    kind: SettingsFaultKind.BadName,
    found: describeValue(name),
    allowed: issue.issues[0]?.message ?? issue.message,
    message: "not a valid name",
  });
}

function invalidValueFault(root: unknown, issue: Issue): LocatedFault {
  const value = valueAtSteps(root, issue.path);
  const missing = value === undefined || value === null;
  return faultAt(issue.path, {
    kind: missing ? SettingsFaultKind.Missing : SettingsFaultKind.BadValue,
    found: describeValue(value),
    allowed: issue.message,
    message: missing ? "missing" : "not allowed here",
  });
}

/** Reads the value at a path that may include positions in lists. */
function valueAtSteps(root: unknown, steps: readonly PropertyKey[]): unknown {
  return steps.reduce<unknown>((value, step) => {
    if (typeof value !== "object" || value === null) return undefined;
    if (!Object.hasOwn(value, step)) return undefined;
    return (value as Record<PropertyKey, unknown>)[step];
  }, root);
}
