/** Faults found in a settings file, and how they are told to operators. */

/** What kind of fault a settings file has. */
export enum SettingsFaultKind {
  Syntax = "syntax",
  DuplicateKey = "duplicate_key",
  UnknownField = "unknown_field",
  BadName = "bad_name",
  BadValue = "bad_value",
  Missing = "missing",
  UnknownReference = "unknown_reference",
  Conflict = "conflict",
}

/** One fault, with enough to find it and mend it. */
export interface SettingsFault {
  readonly kind: SettingsFaultKind;
  /** Path from the root joined by dots; empty for the file as a whole. */
  readonly path: string;
  /** What stands there. */
  readonly found: string;
  /** What may stand there. */
  readonly allowed: string;
  readonly message: string;
  /** Line of the file, from 1. */
  readonly line?: number;
  /** Column of the line, from 1. */
  readonly column?: number;
}

const MAX_SHOWN_CHARACTERS = 60;

/**
 * Joins the steps of a path.
 *
 * @param steps Field names and list positions from the root.
 * @returns The path as faults and `explain` show it.
 */
export function joinPath(steps: readonly PropertyKey[]): string {
  return steps.map(String).join(".");
}

/**
 * Shows a value of the file in a few words.
 *
 * @param value A value as read from YAML.
 * @returns The value, cut where it is long.
 */
export function describeValue(value: unknown): string {
  if (value === undefined || value === null) return "nothing";
  if (Array.isArray(value)) return `a list of ${value.length}`;
  if (typeof value === "object") return "a map";
  const text = JSON.stringify(value) ?? String(value);
  if (text.length <= MAX_SHOWN_CHARACTERS) return text;
  return `${text.slice(0, MAX_SHOWN_CHARACTERS)}…`;
}

/**
 * Renders a fault as one line of text.
 *
 * @param fault The fault.
 * @returns Place, path, reason, what was found and what is allowed.
 */
export function describeFault(fault: SettingsFault): string {
  const place = describePlace(fault);
  const path = fault.path === "" ? "settings" : fault.path;
  return `${place}${path}: ${fault.message}; ` +
    `found ${fault.found}, allowed: ${fault.allowed}`;
}

function describePlace({ line, column }: SettingsFault): string {
  if (line === undefined) return "";
  if (column === undefined) return `line ${line}: `;
  return `line ${line}, column ${column}: `;
}
