/** Compares two trees by path. */

import { isMap } from "./raw_view.ts";
import { joinPath } from "./settings_fault.ts";
import type { SettingsTree } from "./tree_schema.ts";

/** What happened at one path. */
export enum DifferenceKind {
  Added = "added",
  Removed = "removed",
  Changed = "changed",
}

/** One path at which two trees differ. */
export interface SettingsDifference {
  readonly kind: DifferenceKind;
  /** The path; members of a list stand in brackets at its end. */
  readonly path: string;
  /** Absent when added. */
  readonly before?: unknown;
  /** Absent when removed. */
  readonly after?: unknown;
}

/**
 * Lists the differences of two trees, in the order of their paths.
 *
 * @param before The earlier tree.
 * @param after The later tree.
 * @returns One entry for each value added, removed or changed.
 */
export function diffTrees(
  before: SettingsTree,
  after: SettingsTree,
): SettingsDifference[] {
  return compare([], { before, after });
}

/**
 * Renders a difference as one line of text.
 *
 * @param difference The difference.
 * @returns Sign, path and values.
 */
export function describeDifference(difference: SettingsDifference): string {
  return RENDERERS[difference.kind](difference);
}

const RENDERERS: Record<
  DifferenceKind,
  (difference: SettingsDifference) => string
> = {
  [DifferenceKind.Added]: ({ path, after }) => `+ ${path}: ${show(after)}`,
  [DifferenceKind.Removed]: ({ path, before }) => `- ${path}: ${show(before)}`,
  [DifferenceKind.Changed]: ({ path, before, after }) =>
    `~ ${path}: ${show(before)} -> ${show(after)}`,
};

interface Sides {
  readonly before: unknown;
  readonly after: unknown;
}

function compare(path: string[], sides: Sides): SettingsDifference[] {
  const { before, after } = sides;
  if (Array.isArray(before) || Array.isArray(after)) {
    return compareLists(path, sides);
  }
  if (isMap(before) || isMap(after)) return compareMaps(path, sides);
  if (before === after) return [];
  return [{ kind: kindOf(sides), path: joinPath(path), ...sides }];
}

function compareMaps(path: string[], sides: Sides): SettingsDifference[] {
  const before = isMap(sides.before) ? sides.before : {};
  const after = isMap(sides.after) ? sides.after : {};
  const inBoth = isMap(sides.before) && isMap(sides.after);
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...names].sort().flatMap((name) => {
    const entry = { before: before[name], after: after[name] };
    if (!isHollow(entry.before) || !isHollow(entry.after)) {
      return compare([...path, name], entry);
    }
    return inBoth ? compareHollow([...path, name], entry) : [];
  });
}

/** An entry that is only named, such as a workspace, came or went. */
function compareHollow(path: string[], sides: Sides): SettingsDifference[] {
  const before = sides.before === undefined ? undefined : {};
  const after = sides.after === undefined ? undefined : {};
  if ((before === undefined) === (after === undefined)) return [];
  const kind = kindOf({ before, after });
  return [{ kind, path: joinPath(path), before, after }];
}

/** Tells values that set nothing: absent, or maps of nothing but such. */
function isHollow(value: unknown): boolean {
  if (value === undefined) return true;
  return isMap(value) && Object.values(value).every(isHollow);
}

/** Lists of names are compared as sets: their order has no meaning. */
function compareLists(path: string[], sides: Sides): SettingsDifference[] {
  const before: unknown[] = Array.isArray(sides.before) ? sides.before : [];
  const after: unknown[] = Array.isArray(sides.after) ? sides.after : [];
  const members = new Set([...before, ...after]);
  return [...members].flatMap((member) => {
    const memberSides = {
      before: before.includes(member) ? member : undefined,
      after: after.includes(member) ? member : undefined,
    };
    if (memberSides.before === memberSides.after) return [];
    return [{
      kind: kindOf(memberSides),
      path: `${joinPath(path)}[${member}]`,
      ...memberSides,
    }];
  });
}

function kindOf({ before, after }: Sides): DifferenceKind {
  if (before === undefined) return DifferenceKind.Added;
  if (after === undefined) return DifferenceKind.Removed;
  return DifferenceKind.Changed;
}

function show(value: unknown): string {
  return JSON.stringify(value);
}
