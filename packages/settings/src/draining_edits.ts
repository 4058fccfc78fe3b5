/**
 * Edits of a settings text that start or stop draining a target or an
 * instance, preserving comments and layout.
 */

import { err, ok, Result } from "neverthrow";
import { type Document, isSeq } from "yaml";
import { nearestName } from "./nearest_name.ts";
import { readSettings } from "./read_settings.ts";
import { type SettingsFault, SettingsFaultKind } from "./settings_fault.ts";
import type { SettingsTree } from "./tree_schema.ts";
import { parseYaml } from "./yaml_source.ts";

type DocumentEdit = (document: Document) => void;

/** Preserves the file's layout: no folded lines, no padding in lists. */
const STRINGIFY_OPTIONS = { lineWidth: 0, flowCollectionPadding: false };

const DRAINING_INSTANCES_KEY = "drainingInstances";

/**
 * Sets or removes the `draining` flag of a target, preserving comments.
 *
 * @param yamlText Settings tree in force, as YAML.
 * @param change The target, and whether it is to drain.
 * @returns The new YAML text, or the faults of the old or the new text.
 */
export function withTargetDraining(
  yamlText: string,
  { targetId, draining }: {
    readonly targetId: string;
    readonly draining: boolean;
  },
): Result<string, SettingsFault[]> {
  return readSettings(yamlText)
    .andThen((tree) => checkTargetExists(tree, targetId))
    .andThen(() =>
      applyEdit(yamlText, (document) => {
        const path = ["targets", targetId, "draining"];
        if (draining) document.setIn(path, true);
        else document.deleteIn(path);
      })
    );
}

/**
 * Adds an instance to the list `drainingInstances` or removes it, preserving
 * comments. The settings do not list instances, so every id is accepted.
 *
 * @param yamlText Settings tree in force, as YAML.
 * @param change The instance, and whether it is to drain.
 * @returns The new YAML text, or the faults of the old or the new text.
 */
export function withInstanceDraining(
  yamlText: string,
  { instanceId, draining }: {
    readonly instanceId: string;
    readonly draining: boolean;
  },
): Result<string, SettingsFault[]> {
  return readSettings(yamlText).andThen((tree) => {
    const isDraining = tree.drainingInstances.includes(instanceId);
    if (isDraining === draining) return ok(yamlText);
    return applyEdit(yamlText, (document) => {
      if (draining) addInstance(document, instanceId);
      else removeInstance(document, instanceId);
    });
  });
}

function addInstance(document: Document, instanceId: string): void {
  const list = document.get(DRAINING_INSTANCES_KEY);
  if (isSeq(list)) list.add(document.createNode(instanceId));
  else document.set(DRAINING_INSTANCES_KEY, document.createNode([instanceId]));
}

function removeInstance(document: Document, instanceId: string): void {
  const list = document.get(DRAINING_INSTANCES_KEY);
  if (!isSeq(list)) return;
  const names = list.toJSON() as unknown[];
  list.delete(names.indexOf(instanceId));
}

/** Applies an edit and validates the resulting text. */
function applyEdit(
  yamlText: string,
  edit: DocumentEdit,
): Result<string, SettingsFault[]> {
  const document = parseYaml(yamlText).document as unknown as Document;
  const apply = Result.fromThrowable(
    () => edit(document),
    (error) => [aliasEditFault(error)],
  );
  return apply()
    .map(() => document.toString(STRINGIFY_OPTIONS))
    .andThen((newText) => readSettings(newText).map(() => newText));
}

function checkTargetExists(
  tree: SettingsTree,
  targetId: string,
): Result<string, SettingsFault[]> {
  if (Object.hasOwn(tree.targets, targetId)) return ok(targetId);
  const known = Object.keys(tree.targets);
  const nearest = nearestName(targetId, known);
  const hint = nearest === undefined ? "" : `, did you mean "${nearest}"?`;
  return err([{
    kind: SettingsFaultKind.UnknownReference,
    path: "targets",
    found: JSON.stringify(targetId),
    allowed: known.join(", "),
    message: `unknown target "${targetId}"${hint}`,
  }]);
}

/** The YAML library refuses to edit a node through an alias. */
function aliasEditFault(error: unknown): SettingsFault {
  return {
    kind: SettingsFaultKind.Conflict,
    path: "",
    found: "an alias at the place to change",
    allowed: "the entry written out",
    message: error instanceof Error ? error.message : String(error),
  };
}
