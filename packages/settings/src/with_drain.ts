/** Edits a settings text so that a target or an instance drains, or no more. */

import { err, ok, Result } from "neverthrow";
import { type Document, isSeq } from "yaml";
import { nearestName } from "./nearest_name.ts";
import { readSettings } from "./read_tree.ts";
import { type SettingsFault, SettingsFaultKind } from "./settings_fault.ts";
import type { SettingsTree } from "./tree_schema.ts";
import { parseSource } from "./yaml_source.ts";

type Edit = (document: Document) => void;

/** Keeps the text as it stands: no folded lines, no padding in lists. */
const TEXT_OPTIONS = { lineWidth: 0, flowCollectionPadding: false };

const DRAINING_INSTANCES = "drainingInstances";

/**
 * Sets or removes the draining mark of a target, keeping the file's comments.
 *
 * @param yamlText The settings in force.
 * @param change The target, and whether it is to drain.
 * @returns The new text, or the faults that keep it from being one.
 */
export function withTargetDraining(
  yamlText: string,
  { targetId, draining }: {
    readonly targetId: string;
    readonly draining: boolean;
  },
): Result<string, SettingsFault[]> {
  return readSettings(yamlText)
    .andThen((tree) => knownTarget(tree, targetId))
    .andThen(() =>
      edited(yamlText, (document) => {
        const path = ["targets", targetId, "draining"];
        if (draining) document.setIn(path, true);
        else document.deleteIn(path);
      })
    );
}

/**
 * Puts an instance on the draining list or takes it off, keeping the file's
 * comments. Instances are not described in the settings, so any id is taken.
 *
 * @param yamlText The settings in force.
 * @param change The instance, and whether it is to drain.
 * @returns The new text, or the faults that keep it from being one.
 */
export function withInstanceDraining(
  yamlText: string,
  { instanceId, draining }: {
    readonly instanceId: string;
    readonly draining: boolean;
  },
): Result<string, SettingsFault[]> {
  return readSettings(yamlText).andThen((tree) => {
    const listed = tree.drainingInstances.includes(instanceId);
    if (listed === draining) return ok(yamlText);
    return edited(yamlText, (document) => {
      if (draining) addInstance(document, instanceId);
      else removeInstance(document, instanceId);
    });
  });
}

function addInstance(document: Document, instanceId: string): void {
  const list = document.get(DRAINING_INSTANCES);
  if (isSeq(list)) list.add(document.createNode(instanceId));
  else document.set(DRAINING_INSTANCES, document.createNode([instanceId]));
}

function removeInstance(document: Document, instanceId: string): void {
  const list = document.get(DRAINING_INSTANCES);
  if (!isSeq(list)) return;
  const names = list.toJSON() as unknown[];
  list.delete(names.indexOf(instanceId));
}

/** The edited text is read again: an edit must never give a faulty file. */
function edited(yamlText: string, edit: Edit): Result<string, SettingsFault[]> {
  const document = parseSource(yamlText).document as unknown as Document;
  const apply = Result.fromThrowable(
    () => edit(document),
    (error) => [notEditable(error)],
  );
  return apply()
    .map(() => document.toString(TEXT_OPTIONS))
    .andThen((newText) => readSettings(newText).map(() => newText));
}

function knownTarget(
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

/** The parser refuses to change what an alias stands for. */
function notEditable(error: unknown): SettingsFault {
  return {
    kind: SettingsFaultKind.Conflict,
    path: "",
    found: "an alias at the place to change",
    allowed: "the entry written out",
    message: error instanceof Error ? error.message : String(error),
  };
}
