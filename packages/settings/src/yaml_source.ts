/** Parses a settings text as YAML and finds the line of each path. */

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

/** Largest settings text accepted, in bytes of UTF-8. */
export const MAX_SETTINGS_BYTES = 262_144;

/** A settings text parsed as YAML, with the offsets of its lines. */
export interface YamlSource {
  readonly document: Document<ParsedNode>;
  readonly lineCounter: LineCounter;
}

/**
 * Parses a text as YAML. Errors are recorded in the document, not thrown.
 *
 * @param text The settings text.
 * @returns The document with the offsets of its lines.
 */
export function parseYaml(text: string): YamlSource {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, {
    lineCounter,
    prettyErrors: false,
    // `keyFaults` reports duplicate keys instead, together with their path.
    uniqueKeys: false,
    stringKeys: true,
  });
  return { document, lineCounter };
}

/**
 * Lists the errors and warnings of the YAML parser.
 *
 * @param source The parsed text.
 * @returns One fault for each error or warning.
 */
export function syntaxFaults(source: YamlSource): SettingsFault[] {
  const { errors, warnings } = source.document;
  return [...errors, ...warnings].map((error) => syntaxFault(source, error));
}

/**
 * Lists keys that occur twice in one map, and the reserved key `__proto__`.
 *
 * @param source The parsed text.
 * @returns One fault for each such key.
 */
export function keyFaults(source: YamlSource): SettingsFault[] {
  const faults: SettingsFault[] = [];
  visit(source.document, {
    Map(_, map, ancestors) {
      const path = nodePath(map, ancestors as Node[]);
      faults.push(...mapKeyFaults(source, { map, path }));
    },
  });
  return faults;
}

/**
 * Finds the line of a path, or of its closest existing ancestor.
 *
 * @param source The parsed text.
 * @param path Keys from the root.
 * @returns The line number from 1, or `undefined` for an empty text.
 */
export function findLine(
  source: YamlSource,
  path: readonly PropertyKey[],
): number | undefined {
  let node: unknown = source.document.contents;
  let offset = startOffset(node);
  for (const step of path) {
    const child = findChild(node, step);
    if (child === undefined) break;
    offset = child.offset ?? offset;
    node = child.value;
  }
  return offset === undefined
    ? undefined
    : source.lineCounter.linePos(offset).line;
}

function findChild(node: unknown, step: PropertyKey) {
  if (isSeq(node)) {
    const value = node.items[Number(step)];
    return value === undefined
      ? undefined
      : { value, offset: startOffset(value) };
  }
  if (!isMap(node)) return undefined;
  const pair = node.items.findLast((item) => keyToString(item.key) === step);
  if (pair === undefined) return undefined;
  return { value: pair.value, offset: startOffset(pair.key) };
}

function mapKeyFaults(
  source: YamlSource,
  { map, path }: { map: YAMLMap; path: string[] },
): SettingsFault[] {
  const lines = new Map<string, number | undefined>();
  const faults: SettingsFault[] = [];
  for (const { key } of map.items) {
    const name = keyToString(key);
    const line = lineAtOffset(source, startOffset(key));
    const place = { path: joinPath([...path, name]), line };
    if (name === "__proto__") faults.push(reservedNameFault(place));
    if (lines.has(name)) faults.push(duplicateKeyFault(place, lines.get(name)));
    else lines.set(name, line);
  }
  return faults;
}

type FaultPosition = Pick<SettingsFault, "path" | "line">;

function duplicateKeyFault(
  position: FaultPosition,
  firstLine?: number,
): SettingsFault {
  return {
    kind: SettingsFaultKind.DuplicateKey,
    ...position,
    found: "a second entry of this name",
    allowed: "each name once in a map",
    message: `stands twice, first on line ${firstLine}`,
  };
}

function reservedNameFault(position: FaultPosition): SettingsFault {
  return {
    kind: SettingsFaultKind.BadName,
    ...position,
    found: '"__proto__"',
    allowed: NAME_RULE,
    message: "this name cannot be used",
  };
}

function syntaxFault(source: YamlSource, error: YAMLError): SettingsFault {
  const position = source.lineCounter.linePos(error.pos[0]);
  return {
    kind: SettingsFaultKind.Syntax,
    path: "",
    line: position.line,
    column: position.col,
    found: error.code,
    allowed: "one valid YAML document",
    message: error.message,
  };
}

function nodePath(node: Node, ancestors: readonly unknown[]): string[] {
  const nodes = [...ancestors, node];
  return nodes.flatMap((ancestor, index) => {
    if (isPair(ancestor)) return [keyToString(ancestor.key)];
    if (!isSeq(ancestor)) return [];
    return [String(ancestor.items.indexOf(nodes[index + 1]))];
  });
}

function keyToString(key: unknown): string {
  return String(isScalar(key) ? key.value : key);
}

function startOffset(node: unknown): number | undefined {
  return (node as Node | null | undefined)?.range?.[0];
}

function lineAtOffset(source: YamlSource, offset?: number): number | undefined {
  return offset === undefined
    ? undefined
    : source.lineCounter.linePos(offset).line;
}
