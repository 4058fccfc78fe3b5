/**
 * Reads values out of a parsed YAML tree whose shape may still be wrong, so
 * that checks across the tree run even where single fields are faulty.
 */

/** A path from the root of the tree. */
export type TreePath = readonly string[];

/**
 * Tells a map from every other value.
 *
 * @param value Any value.
 * @returns Whether it is a map.
 */
export function isMap(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/**
 * Reads the value at a path, looking at own fields only.
 *
 * @param root The parsed tree.
 * @param path Steps from the root.
 * @returns The value, or `undefined` where the path leads nowhere.
 */
export function valueAt(root: unknown, path: TreePath): unknown {
  let value = root;
  for (const step of path) {
    if (!isMap(value) || !Object.hasOwn(value, step)) return undefined;
    value = value[step];
  }
  return value;
}

/**
 * Lists the entries of the map at a path.
 *
 * @param root The parsed tree.
 * @param path Steps from the root.
 * @returns The entries; none where no map stands there.
 */
export function entriesAt(root: unknown, path: TreePath): [string, unknown][] {
  const value = valueAt(root, path);
  return isMap(value) ? Object.entries(value) : [];
}

/**
 * Lists the names in the map at a path.
 *
 * @param root The parsed tree.
 * @param path Steps from the root.
 * @returns The names; none where no map stands there.
 */
export function namesAt(root: unknown, path: TreePath): string[] {
  return entriesAt(root, path).map(([name]) => name);
}

/**
 * Reads a text at a path.
 *
 * @param root The parsed tree.
 * @param path Steps from the root.
 * @returns The text, or `undefined` where none stands there.
 */
export function textAt(root: unknown, path: TreePath): string | undefined {
  const value = valueAt(root, path);
  return typeof value === "string" ? value : undefined;
}

/**
 * Reads a number at a path.
 *
 * @param root The parsed tree.
 * @param path Steps from the root.
 * @returns The number, or `undefined` where none stands there.
 */
export function numberAt(root: unknown, path: TreePath): number | undefined {
  const value = valueAt(root, path);
  return typeof value === "number" ? value : undefined;
}

/**
 * Lists the texts of the list at a path.
 *
 * @param root The parsed tree.
 * @param path Steps from the root.
 * @returns The texts; none where no list stands there.
 */
export function textsAt(root: unknown, path: TreePath): string[] {
  const value = valueAt(root, path);
  if (!Array.isArray(value)) return [];
  return value.filter((item) => typeof item === "string");
}
