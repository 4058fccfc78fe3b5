/** Differences between two settings trees, path by path. */

import { isMap } from "./unchecked_tree.ts";
import { joinPath } from "./settings_fault.ts";
import type { SettingsTree } from "./tree_schema.ts";

/** Kinds of difference between two settings trees at one path. */
export enum DifferenceKind {
  Added = "added",
  Removed = "removed",
  Changed = "changed",
}

/** One path at which two settings trees differ, with both values. */
export interface SettingsDifference {
  readonly kind: DifferenceKind;
  /** Path joined by dots; a list member follows in brackets at the end. */
  readonly path: string;
  /** Value in the earlier tree; absent when added. */
  readonly before?: unknown;
  /** Value in the later tree; absent when removed. */
  readonly after?: unknown;
}

/**
 * Lists the differences between two trees, in the order of their paths.
 *
 * @param before The earlier tree.
 * @param after The later tree.
 * @returns One entry for each value added, removed or changed.
 */
export function diffTrees(
  before: SettingsTree,
  after: SettingsTree,
): SettingsDifference[] {
  return compareValues([], { before, after });
}

/**
 * Renders a difference as one line of text.
 *
 * @param difference The difference.
 * @returns `+`, `-` or `~`, then the path and the values.
 */
export function describeDifference(difference: SettingsDifference): string {
  return RENDER_BY_KIND[difference.kind](difference);
}

const RENDER_BY_KIND: Record<
  DifferenceKind,
  (difference: SettingsDifference) => string
> = {
  [DifferenceKind.Added]: ({ path, after }) =>
    `+ ${path}: ${renderValue(after)}`,
  [DifferenceKind.Removed]: ({ path, before }) =>
    `- ${path}: ${renderValue(before)}`,
  [DifferenceKind.Changed]: ({ path, before, after }) =>
    `~ ${path}: ${renderValue(before)} -> ${renderValue(after)}`,
};

interface ValuePair {
  readonly before: unknown;
  readonly after: unknown;
}

function compareValues(
  path: string[],
  values: ValuePair,
): SettingsDifference[] {
  const { before, after } = values;
  if (Array.isArray(before) || Array.isArray(after)) {
    return compareLists(path, values);
  }
  if (isMap(before) || isMap(after)) return compareMaps(path, values);
  if (before === after) return [];
  return [{ kind: differenceKind(values), path: joinPath(path), ...values }];
}

function compareMaps(path: string[], values: ValuePair): SettingsDifference[] {
  const before = isMap(values.before) ? values.before : {};
  const after = isMap(values.after) ? values.after : {};
  const inBoth = isMap(values.before) && isMap(values.after);
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...names].sort().flatMap((name) => {
    const entry = { before: before[name], after: after[name] };
    if (!setsNothing(entry.before) || !setsNothing(entry.after)) {
      return compareValues([...path, name], entry);
    }
    return inBoth ? comparePresence([...path, name], entry) : [];
  });
}

/**
 * Compares entries that set no values: reports one that exists on one side
 * only, such as a workspace that has a name and nothing else.
 */
function comparePresence(
  path: string[],
  values: ValuePair,
): SettingsDifference[] {
  const before = values.before === undefined ? undefined : {};
  const after = values.after === undefined ? undefined : {};
  if ((before === undefined) === (after === undefined)) return [];
  const kind = differenceKind({ before, after });
  return [{ kind, path: joinPath(path), before, after }];
}

/** Whether a value is absent, or a map whose values all set nothing. */
function setsNothing(value: unknown): boolean {
  if (value === undefined) return true;
  return isMap(value) && Object.values(value).every(setsNothing);
}

/** Compares lists of names as sets, since their order has no meaning. */
function compareLists(path: string[], values: ValuePair): SettingsDifference[] {
  const before: unknown[] = Array.isArray(values.before) ? values.before : [];
  const after: unknown[] = Array.isArray(values.after) ? values.after : [];
  const members = new Set([...before, ...after]);
  return [...members].flatMap((member) => {
    const presence = {
      before: before.includes(member) ? member : undefined,
      after: after.includes(member) ? member : undefined,
    };
    if (presence.before === presence.after) return [];
    return [{
      kind: differenceKind(presence),
      path: `${joinPath(path)}[${member}]`,
      ...presence,
    }];
  });
}

function differenceKind({ before, after }: ValuePair): DifferenceKind {
  if (before === undefined) return DifferenceKind.Added;
  if (after === undefined) return DifferenceKind.Removed;
  return DifferenceKind.Changed;
}

function renderValue(value: unknown): string {
  return JSON.stringify(value);
}
