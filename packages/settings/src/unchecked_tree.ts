/**
 * Reads values from a parsed YAML tree that has not passed the schema, so that
 * checks across fields run even where single fields are faulty.
 */

/** Keys that lead from the root of the settings tree to a value. */
export type TreePath = readonly string[];

/**
 * Checks whether a value is a map: an object other than a list.
 *
 * @param value Any value.
 * @returns Whether it is a map.
 */
export function isMap(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/**
 * Reads the value at a path. Inherited properties are ignored.
 *
 * @param root Root of the parsed tree.
 * @param path Keys from the root.
 * @returns The value, or `undefined` where the path does not exist.
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
 * @param root Root of the parsed tree.
 * @param path Keys from the root.
 * @returns Names and values; none where the value is not a map.
 */
export function entriesAt(root: unknown, path: TreePath): [string, unknown][] {
  const value = valueAt(root, path);
  return isMap(value) ? Object.entries(value) : [];
}

/**
 * Lists the names in the map at a path.
 *
 * @param root Root of the parsed tree.
 * @param path Keys from the root.
 * @returns The names; none where the value is not a map.
 */
export function namesAt(root: unknown, path: TreePath): string[] {
  return entriesAt(root, path).map(([name]) => name);
}

/**
 * Reads the string at a path.
 *
 * @param root Root of the parsed tree.
 * @param path Keys from the root.
 * @returns The string, or `undefined` where the value is not a string.
 */
export function stringAt(root: unknown, path: TreePath): string | undefined {
  const value = valueAt(root, path);
  return typeof value === "string" ? value : undefined;
}

/**
 * Reads the number at a path.
 *
 * @param root Root of the parsed tree.
 * @param path Keys from the root.
 * @returns The number, or `undefined` where the value is not a number.
 */
export function numberAt(root: unknown, path: TreePath): number | undefined {
  const value = valueAt(root, path);
  return typeof value === "number" ? value : undefined;
}

/**
 * Lists the strings in the list at a path.
 *
 * @param root Root of the parsed tree.
 * @param path Keys from the root.
 * @returns The strings; none where the value is not a list.
 */
export function stringsAt(root: unknown, path: TreePath): string[] {
  const value = valueAt(root, path);
  if (!Array.isArray(value)) return [];
  return value.filter((item) => typeof item === "string");
}
