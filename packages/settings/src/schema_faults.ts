/** Turns what the schema found into faults that operators can act on. */

import type * as z from "zod";
import { nearestName } from "./nearest_name.ts";
import { faultAt, type PlacedFault } from "./placed_fault.ts";
import { describeValue, SettingsFaultKind } from "./settings_fault.ts";
import { KNOWN_FIELDS_PREFIX } from "./tree_schema.ts";

type Issue = z.core.$ZodIssue;
type IssueOf<C extends Issue["code"]> = Extract<Issue, { code: C }>;

/**
 * Turns issues of the schema into faults.
 *
 * @param root The parsed tree the schema was applied to.
 * @param issues What the schema found.
 * @returns One fault a place, however many rules the value breaks.
 */
export function schemaFaults(
  root: unknown,
  issues: readonly Issue[],
): PlacedFault[] {
  const faults = issues.flatMap((issue) => faultsOfIssue(root, issue));
  const byPath = new Map(faults.map((placed) => [placed.fault.path, placed]));
  return [...byPath.values()];
}

function faultsOfIssue(root: unknown, issue: Issue): PlacedFault[] {
  if (issue.code === "unrecognized_keys") return unknownFields(root, issue);
  if (issue.code === "invalid_key") return [badName(issue)];
  return [badValue(root, issue)];
}

function unknownFields(
  root: unknown,
  issue: IssueOf<"unrecognized_keys">,
): PlacedFault[] {
  const known = issue.message.slice(KNOWN_FIELDS_PREFIX.length).split(", ");
  return issue.keys.map((key) => {
    const steps = [...issue.path, key];
    const nearest = nearestName(key, known);
    const hint = nearest === undefined ? "" : `, did you mean "${nearest}"?`;
    return faultAt(steps, {
      kind: SettingsFaultKind.UnknownField,
      found: describeValue(lookUp(root, steps)),
      allowed: issue.message,
      message: `unknown field "${key}"${hint}`,
    });
  });
}

function badName(issue: IssueOf<"invalid_key">): PlacedFault {
  const name = issue.path.at(-1);
  return faultAt(issue.path, {
    kind: SettingsFaultKind.BadName,
    found: describeValue(name),
    allowed: issue.issues[0]?.message ?? issue.message,
    message: "not a valid name",
  });
}

function badValue(root: unknown, issue: Issue): PlacedFault {
  const value = lookUp(root, issue.path);
  const missing = value === undefined || value === null;
  return faultAt(issue.path, {
    kind: missing ? SettingsFaultKind.Missing : SettingsFaultKind.BadValue,
    found: describeValue(value),
    allowed: issue.message,
    message: missing ? "missing" : "not allowed here",
  });
}

/** Also walks into lists, where the path holds positions. */
function lookUp(root: unknown, steps: readonly PropertyKey[]): unknown {
  return steps.reduce<unknown>((value, step) => {
    if (typeof value !== "object" || value === null) return undefined;
    if (!Object.hasOwn(value, step)) return undefined;
    return (value as Record<PropertyKey, unknown>)[step];
  }, root);
}
