/** Parses and validates a settings text, reporting all its faults at once. */

import { err, ok, Result } from "neverthrow";
import { crossFieldFaults } from "./cross_field_checks.ts";
import type { LocatedFault } from "./located_fault.ts";
import { schemaFaults } from "./schema_faults.ts";
import { type SettingsFault, SettingsFaultKind } from "./settings_fault.ts";
import { type SettingsTree, settingsTreeSchema } from "./tree_schema.ts";
import {
  findLine,
  keyFaults,
  MAX_SETTINGS_BYTES,
  parseYaml,
  syntaxFaults,
  type YamlSource,
} from "./yaml_source.ts";

/**
 * Parses and validates a settings text. For text that is not valid YAML only
 * the parser's errors are reported, since its tree is unreliable; otherwise
 * faults of keys, fields and references are reported together.
 *
 * @param yamlText The settings text, as YAML.
 * @returns The checked settings tree, or all faults in the order of their
 * lines.
 */
export function readSettings(
  yamlText: string,
): Result<SettingsTree, SettingsFault[]> {
  const sizeBytes = Buffer.byteLength(yamlText);
  if (sizeBytes > MAX_SETTINGS_BYTES) return err([oversizedFault(sizeBytes)]);
  const source = parseYaml(yamlText);
  const syntaxErrors = syntaxFaults(source);
  if (syntaxErrors.length > 0) return err(syntaxErrors);
  return toPlainValue(source).andThen((root) => checkRoot(source, root));
}

function checkRoot(
  source: YamlSource,
  root: unknown,
): Result<SettingsTree, SettingsFault[]> {
  const parsed = settingsTreeSchema.safeParse(root);
  const located = [
    ...schemaFaults(root, parsed.error?.issues ?? []),
    ...crossFieldFaults(root),
  ];
  const faults = [
    ...keyFaults(source),
    ...located.map((fault) => withLine(source, fault)),
  ];
  if (faults.length === 0 && parsed.success) return ok(parsed.data);
  return err(sortByLine(faults));
}

function toPlainValue(source: YamlSource): Result<unknown, SettingsFault[]> {
  const convert = Result.fromThrowable(
    () => source.document.toJS() as unknown,
    (error) => [aliasFault(error)],
  );
  return convert();
}

function withLine(
  source: YamlSource,
  { steps, fault }: LocatedFault,
): SettingsFault {
  return { ...fault, line: findLine(source, steps) };
}

function sortByLine(faults: readonly SettingsFault[]): SettingsFault[] {
  return [...faults].sort((left, right) =>
    (left.line ?? 0) - (right.line ?? 0)
  );
}

function oversizedFault(sizeBytes: number): SettingsFault {
  return {
    kind: SettingsFaultKind.BadValue,
    path: "",
    found: `${sizeBytes} bytes`,
    allowed: `at most ${MAX_SETTINGS_BYTES} bytes`,
    message: "the text is too large",
  };
}

function aliasFault(error: unknown): SettingsFault {
  return {
    kind: SettingsFaultKind.Syntax,
    path: "",
    found: "aliases that cannot be resolved",
    allowed: "a few aliases to anchors in the same file",
    message: error instanceof Error ? error.message : String(error),
  };
}
