/** Parses the YAML text, and knows on which line each path stands. */

import {
  type Document,
  isMap,
  isPair,
  isScalar,
  isSeq,
  LineCounter,
  type Node,
  type ParsedNode,
  parseDocument,
  visit,
  type YAMLError,
  type YAMLMap,
} from "yaml";
import { NAME_RULE } from "./tree_schema.ts";
import {
  joinPath,
  type SettingsFault,
  SettingsFaultKind,
} from "./settings_fault.ts";

/** Largest settings text that is read, in bytes of UTF-8. */
export const MAX_SETTINGS_BYTES = 262_144;

/** A parsed settings text. */
export interface YamlSource {
  readonly document: Document<ParsedNode>;
  readonly lines: LineCounter;
}

/**
 * Parses a YAML text without judging it.
 *
 * @param text The text.
 * @returns The document with the positions of its lines.
 */
export function parseSource(text: string): YamlSource {
  const lines = new LineCounter();
  const document = parseDocument(text, {
    lineCounter: lines,
    prettyErrors: false,
    // Duplicates are looked for in the whole tree instead, to tell their path.
    uniqueKeys: false,
    stringKeys: true,
  });
  return { document, lines };
}

/**
 * Lists everything the YAML parser objected to.
 *
 * @param source The parsed text.
 * @returns One fault for each error or warning.
 */
export function syntaxFaults(source: YamlSource): SettingsFault[] {
  const { errors, warnings } = source.document;
  return [...errors, ...warnings].map((error) => syntaxFault(source, error));
}

/**
 * Lists keys that stand twice in one map, and keys no map can hold.
 *
 * @param source The parsed text.
 * @returns One fault for each such key.
 */
export function keyFaults(source: YamlSource): SettingsFault[] {
  const faults: SettingsFault[] = [];
  visit(source.document, {
    Map(_, map, ancestors) {
      const path = pathOf(map, ancestors as Node[]);
      faults.push(...mapKeyFaults(source, { map, path }));
    },
  });
  return faults;
}

/**
 * Finds the line of a path, or of its closest parent that exists.
 *
 * @param source The parsed text.
 * @param path Steps from the root.
 * @returns The line number from 1, or `undefined` for an empty text.
 */
export function lineOf(
  source: YamlSource,
  path: readonly PropertyKey[],
): number | undefined {
  let node: unknown = source.document.contents;
  let offset = startOf(node);
  for (const step of path) {
    const child = childOf(node, step);
    if (child === undefined) break;
    offset = child.offset ?? offset;
    node = child.value;
  }
  return offset === undefined ? undefined : source.lines.linePos(offset).line;
}

function childOf(node: unknown, step: PropertyKey) {
  if (isSeq(node)) {
    const value = node.items[Number(step)];
    return value === undefined ? undefined : { value, offset: startOf(value) };
  }
  if (!isMap(node)) return undefined;
  const pair = node.items.findLast((item) => keyText(item.key) === step);
  if (pair === undefined) return undefined;
  return { value: pair.value, offset: startOf(pair.key) };
}

function mapKeyFaults(
  source: YamlSource,
  { map, path }: { map: YAMLMap; path: string[] },
): SettingsFault[] {
  const seen = new Map<string, number | undefined>();
  const faults: SettingsFault[] = [];
  for (const { key } of map.items) {
    const name = keyText(key);
    const line = lineAt(source, startOf(key));
    const at = { path: joinPath([...path, name]), line };
    if (name === "__proto__") faults.push(reservedName(at));
    if (seen.has(name)) faults.push(duplicateKey(at, seen.get(name)));
    else seen.set(name, line);
  }
  return faults;
}

type Place = Pick<SettingsFault, "path" | "line">;

function duplicateKey(at: Place, firstLine?: number): SettingsFault {
  return {
    kind: SettingsFaultKind.DuplicateKey,
    ...at,
    found: "a second entry of this name",
    allowed: "each name once in a map",
    message: `stands twice, first on line ${firstLine}`,
  };
}

function reservedName(at: Place): SettingsFault {
  return {
    kind: SettingsFaultKind.BadName,
    ...at,
    found: '"__proto__"',
    allowed: NAME_RULE,
    message: "this name cannot be used",
  };
}

function syntaxFault(source: YamlSource, error: YAMLError): SettingsFault {
  const place = source.lines.linePos(error.pos[0]);
  return {
    kind: SettingsFaultKind.Syntax,
    path: "",
    line: place.line,
    column: place.col,
    found: error.code,
    allowed: "one valid YAML document",
    message: error.message,
  };
}

function pathOf(node: Node, ancestors: readonly unknown[]): string[] {
  const chain = [...ancestors, node];
  return chain.flatMap((ancestor, index) => {
    if (isPair(ancestor)) return [keyText(ancestor.key)];
    if (!isSeq(ancestor)) return [];
    return [String(ancestor.items.indexOf(chain[index + 1]))];
  });
}

function keyText(key: unknown): string {
  return String(isScalar(key) ? key.value : key);
}

function startOf(node: unknown): number | undefined {
  return (node as Node | null | undefined)?.range?.[0];
}

function lineAt(source: YamlSource, offset?: number): number | undefined {
  return offset === undefined ? undefined : source.lines.linePos(offset).line;
}
