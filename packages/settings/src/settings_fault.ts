/** Faults of a settings file and their rendering for operators. */

/** Kinds of fault in a settings file. */
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

/** One fault of a settings file: where it is, what it is and how to fix it. */
export interface SettingsFault {
  readonly kind: SettingsFaultKind;
  /** Path from the root joined by dots; empty for the file as a whole. */
  readonly path: string;
  /** The faulty value, rendered as text. */
  readonly found: string;
  /** The values allowed at this path, in words. */
  readonly allowed: string;
  readonly message: string;
  /** Line of the file, from 1. */
  readonly line?: number;
  /** Column of the line, from 1. */
  readonly column?: number;
}

const MAX_SHOWN_CHARACTERS = 60;

/**
 * Joins the keys of a path with dots.
 *
 * @param steps Keys and list positions from the root of the settings tree.
 * @returns The path as faults and `explain` show it.
 */
export function joinPath(steps: readonly PropertyKey[]): string {
  return steps.map(String).join(".");
}

/**
 * Renders a value of a settings file for a fault.
 *
 * @param value A value as parsed from YAML.
 * @returns The value as JSON, truncated where it is long; for a list or a map
 * only a summary.
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
 * Renders a settings fault as one line of text.
 *
 * @param fault The fault.
 * @returns Line and column, path, message, found value and allowed values.
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
