/** Reads a settings text, and tells all its faults at once. */

import { err, ok, Result } from "neverthrow";
import { crossFaults } from "./cross_checks.ts";
import type { PlacedFault } from "./placed_fault.ts";
import { schemaFaults } from "./schema_faults.ts";
import { type SettingsFault, SettingsFaultKind } from "./settings_fault.ts";
import { type SettingsTree, settingsTreeSchema } from "./tree_schema.ts";
import {
  keyFaults,
  lineOf,
  MAX_SETTINGS_BYTES,
  parseSource,
  syntaxFaults,
  type YamlSource,
} from "./yaml_source.ts";

/**
 * Reads and checks a settings text. A text that is not YAML gets the parser's
 * faults alone, since nothing certain is known of its tree; otherwise faults of
 * keys, fields and names across the tree are told together.
 *
 * @param yamlText The text.
 * @returns The checked tree, or all its faults in the order of their lines.
 */
export function readSettings(
  yamlText: string,
): Result<SettingsTree, SettingsFault[]> {
  const bytes = Buffer.byteLength(yamlText);
  if (bytes > MAX_SETTINGS_BYTES) return err([tooLarge(bytes)]);
  const source = parseSource(yamlText);
  const syntax = syntaxFaults(source);
  if (syntax.length > 0) return err(syntax);
  return toPlainValue(source).andThen((root) => checkRoot(source, root));
}

function checkRoot(
  source: YamlSource,
  root: unknown,
): Result<SettingsTree, SettingsFault[]> {
  const parsed = settingsTreeSchema.safeParse(root);
  const placed = [
    ...schemaFaults(root, parsed.error?.issues ?? []),
    ...crossFaults(root),
  ];
  const faults = [
    ...keyFaults(source),
    ...placed.map((fault) => withLine(source, fault)),
  ];
  if (faults.length === 0 && parsed.success) return ok(parsed.data);
  return err(inLineOrder(faults));
}

function toPlainValue(source: YamlSource): Result<unknown, SettingsFault[]> {
  const convert = Result.fromThrowable(
    () => source.document.toJS() as unknown,
    (error) => [unreadable(error)],
  );
  return convert();
}

function withLine(
  source: YamlSource,
  { steps, fault }: PlacedFault,
): SettingsFault {
  return { ...fault, line: lineOf(source, steps) };
}

function inLineOrder(faults: readonly SettingsFault[]): SettingsFault[] {
  return [...faults].sort((left, right) =>
    (left.line ?? 0) - (right.line ?? 0)
  );
}

function tooLarge(bytes: number): SettingsFault {
  return {
    kind: SettingsFaultKind.BadValue,
    path: "",
    found: `${bytes} bytes`,
    allowed: `at most ${MAX_SETTINGS_BYTES} bytes`,
    message: "the text is too large",
  };
}

function unreadable(error: unknown): SettingsFault {
  return {
    kind: SettingsFaultKind.Syntax,
    path: "",
    found: "aliases that cannot be resolved",
    allowed: "a few aliases to anchors in the same file",
    message: error instanceof Error ? error.message : String(error),
  };
}
